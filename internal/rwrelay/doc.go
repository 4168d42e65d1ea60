// Package rwrelay holds the per-stream logic of the forwarder: it splits a response
// into whole events, filters events by id across attempts, and decides from the time
// since the last event whether a server is alive, has to be probed or hangs. It
// reads from the readers that it is given and sends nothing.
//
// The caller receives each token exactly once: Sequencer passes an event only if its
// id is higher than that of the last event passed, and reports a gap if ids are
// missing, which ends the attempt.
package rwrelay
