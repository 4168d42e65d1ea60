// Package rwpath connects an instance to backend servers: directly or, while its own path to
// the servers of a service is broken, through another instance that reaches them.
//
// An instance that can't reach a server doesn't know whether the server or the path has
// failed. When it fails to reach servers in several availability zones in a row, it asks
// another instance to connect to one of them. If that succeeds, the path is broken: from then
// on the service's connections are relayed, and what was concluded from failures over the
// own path counts against no server and no request. A few direct connections a second find
// out when the path is back.
//
// What is sent over a relayed connection is sent by this instance alone: it decides on
// attempts, deadlines, retries and refusals as over a direct one. A relay connects directly
// or not at all, so that there is never a second hop. It says at once if it can't reach the
// server or doubts its own path.
package rwpath
