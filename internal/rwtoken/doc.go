// Package rwtoken holds the tokens of one answer.
//
// A Journal is an append-only list of tokens with a digest after each. The
// digest is a chain over the run's identity and every token so far: two copies
// that agree on (offset, digest) hold the same tokens of the same run. Every
// join of two copies compares digests, so two generations of one request can
// never be mixed into one answer.
package rwtoken
