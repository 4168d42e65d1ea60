// Package rwconn closes the idle connections of an http.Server without losing the
// response to a request that is being read. It also bounds the connections, and the memory
// that heads of requests take: crowds of clients that open many connections, or send heads
// of very many fields, would otherwise take the memory and descriptors of the process.
package rwconn
