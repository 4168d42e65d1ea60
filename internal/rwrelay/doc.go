// Package rwrelay holds the decisions about one stream of events: what is a
// whole event, which event may follow which, when silence means that the server
// was lost, and where the stream goes on. It does no input or output of its own.
//
// No token twice, none missing: Order lets an event through only if its id is
// higher than the last one that the caller was given, and ends the attempt when
// ids are left out.
package rwrelay
