// Package rwbackend tracks the state of the backend servers: their entries in
// the store, the results of the requests sent to them, and the runs that this
// instance and its peers have placed on them. It only records state; package
// rwpick selects servers based on it.
//
// A listed state may be out of date. A server that is shutting down gets no new
// requests as soon as its entry says so. A server whose entry expired while the
// store was unavailable stays in use until servers have had time to register
// again.
package rwbackend
