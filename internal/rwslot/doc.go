// Package rwslot leases the concurrency slots of backend servers to requests.
//
// Each server is owned by one instance. The owner tracks every lease that it
// has granted, so it enforces the concurrency limit exactly, however stale the
// server's own load reports are. A request that finds no free slot waits in the
// owner's bounded queue, which uses weighted fair queueing over organisations by
// expected tokens. A request that can't be served in time is refused at once.
//
// Ownership is reassigned when the set of live instances changes. A new owner
// grants no leases during a warm-up, in which holders declare the leases that
// they have. An owner that has lost contact with the majority of instances
// grants none either. The warm-up is longer than the time in which the old owner
// notices that loss, so two owners together never exceed the limit.
package rwslot
