// Package rwforward is the reverse proxy of an instance: it forwards callers'
// requests to backend servers and relays plain responses and event streams.
//
// The decisions are made in other packages: rwroute finds the route and the
// organisation, rwpick chooses servers, rwattempt decides whether a request may be
// sent to another server, rwrelay checks the order of a stream's events and detects
// stalls, rwretry holds the retry budget. HeaderCodec translates headers.
//
// A non-idempotent request runs at most once: package rwattempt sends it to another
// server only if no byte was sent or the server reported that it did not run it.
// Events are delivered at most once: package rwrelay passes each event id once.
package rwforward
