// Package rwforward carries callers' requests to backend servers and their
// answers back: plain requests and streams of events.
//
// It acts; the decisions are elsewhere. Package rwroute finds the route and the
// organisation, rwpick chooses servers, rwrelay judges a stream's events and
// silence, rwretry bounds repeats. What a header is called is the Wire's
// business.
//
// At most once: rwattempt.Plan sends a request that must not run twice to another
// server only if no byte was sent or the server said that it did not run it. No
// token twice: rwrelay.Order lets each event through once.
package rwforward
