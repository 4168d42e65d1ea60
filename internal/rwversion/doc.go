// Package rwversion controls version moves: a move shifts a service's requests to
// servers of a new version by a deadline, or takes the new version back. The package
// only decides and performs no input or output.
//
// The traffic share of the new version follows from the time since the move
// was first seen and from the failures counted so far, so instances agree on it
// without a coordinator. The results of requests to both versions are summed
// over all instances. An instance that finds the new version bad takes it back
// at once and its peers follow, whether or not the store is writable. The outcome is
// written to the store by the first of the instances that watch it; the write is
// conditional on the stored revision, so it happens once.
package rwversion
