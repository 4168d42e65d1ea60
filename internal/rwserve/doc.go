// Package rwserve builds and runs an entry instance: the HTTP servers for callers
// and operators, the RPC server for other instances, and the background loops
// that keep membership, settings and load up to date.
package rwserve
