// Package rwtoken stores the tokens of a generated answer.
//
// A Journal is an append-only list of tokens with a digest after each. The digest
// is a hash chain over the run's identity and all tokens so far, so two copies with
// the same offset and digest hold the same tokens of the same run. Digests are
// compared whenever a copy is continued from another, which keeps two generations
// of one request from being mixed in one answer.
package rwtoken
