// Package rwpick selects backend servers for requests and streams. Its functions do
// no input or output: they take the known load of the servers and return a choice.
//
// A plain request goes to the server with the fewest requests per slot, counting
// this instance's requests and those of other instances as the servers report them.
// A stream goes to the server that can finish its prefill first and has enough
// memory. The copy of its KV cache goes to the server with the most free memory in
// another availability zone, since a whole zone can fail at once.
package rwpick
