// Package rwlockorder finds mutexes that are locked in different orders by different code, so
// that two goroutines could wait for each other for good.
//
// It builds a graph from the source: an edge leads from each mutex field to each one that may
// be locked while it is held, also by functions that are called through fields, interfaces and
// method values. No cycle means that there is one order of all locks.
//
// Mutexes are told apart by the type and field that hold them, not by instance, so that a cycle
// may be of two values of one type. Calls through packages outside of the loaded ones are not
// followed: a log sink or a handler that locks must not be called with a lock held.
package rwlockorder
