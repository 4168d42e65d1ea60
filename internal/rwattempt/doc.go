// Package rwattempt runs a request as a sequence of attempts at backend servers
// and decides after each attempt whether to return its result or to go on to
// another server. It is the only place that enforces at-most-once execution, both
// for callers of the platform and for callers of ragwortwall's own API. It does no
// input or output: its users supply the attempts as functions.
package rwattempt
