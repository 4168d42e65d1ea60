// Package rwbackend knows the backend servers: what the store lists of them,
// what callers' requests saw of them, and what this instance and its peers have
// running there. It keeps facts; package rwpick decides by them.
//
// A listed state is evidence, not proof: a server that leaves takes no new work
// from the moment it is known; one whose entry lapsed while the store was away
// stays in use until entries have had time to come back.
package rwbackend
