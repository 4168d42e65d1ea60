// Package rwmove runs version moves: it shifts a route's traffic to a new version
// by a deadline, or takes the new version back.
//
// A move is an object of the settings tree. Its share is the fraction of the
// route's traffic that the new version gets. Generations are assigned by a hash
// of their ID, so all instances choose the same version. One instance at a time
// decides the moves, under a lease that is stored as an object; each step is a
// conditional write. Every instance collects evidence and sends it to the others.
// An instance that finds the new version bad sends no more traffic to it and
// broadcasts the verdict. This works without the store and needs no coordination,
// because a verdict only returns traffic to the old version.
package rwmove
