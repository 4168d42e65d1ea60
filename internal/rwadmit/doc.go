// Package rwadmit decides who gets a model server when room is scarce: who goes now, who waits,
// and who is refused with which time to come back. It answers bursts of streams that differ in
// urgency: work that can wait until its target makes way for work that can't, before its
// prefill, so that it is neither refused nor preempted in the middle.
//
// Each instance decides alone, for its own callers, by the room that the notices of all runs
// show. So that many instances don't fill the same room, each takes only its part of it at a
// time. Nothing here sends, waits or reads a clock.
package rwadmit
