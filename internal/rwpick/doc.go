// Package rwpick selects backend servers for requests and streams. Its functions do
// no input or output: they take the known load of the servers and return a choice.
//
// A plain request goes to the server that is expected to complete it first, of three that
// are drawn at random: instances that hear the same old news of uneven servers must not all
// run to the one that looked best. Where servers don't tell their load, it goes to the one
// with the fewest requests of this instance per slot.
// A stream goes to the server that can finish its prefill first and has enough
// memory. The copy of its KV cache goes to the server with the most free memory in
// another availability zone, since a whole zone can fail at once.
package rwpick
