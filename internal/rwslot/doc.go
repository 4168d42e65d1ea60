// Package rwslot gives out the slots of backend servers.
//
// Each server has one owner among the instances. The owner knows every slot
// that it has leased, so the limit is exact, however late the server's own load
// reports are. A request that finds no slot waits in the owner's queue: shared
// fairly among organisations by the tokens of work that they ask for, bounded,
// and refused at once when it can't be served in time.
//
// Ownership moves when the instances change. A new owner gives out nothing
// during a warm-up in which the holders declare the leases that they have; an
// owner that has lost touch with the majority of instances gives out nothing
// either. The warm-up is longer than the time after which the old owner notices,
// so two owners together never exceed the limit.
package rwslot
