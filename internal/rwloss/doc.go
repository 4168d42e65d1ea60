// Package rwloss finds out what became of backend servers that were lost while nobody could
// tell whether the server or the path to it had failed: all servers of a service are down at
// once, or the other instances that could confirm it are gone, silent or not known yet.
//
// Such a loss stays open until something tells. A server that ran on answers again, or its
// entry outlives the time after which the store removes a silent one. A server that ended is
// back as a new process, or its entry is removed after that time. Neither takes another
// instance's word. A request that a server completes meanwhile doesn't crash servers, and its
// losses are dropped.
//
// The number of open losses is bounded, and so is the time for which one stays open while the
// list of servers isn't confirmed either.
package rwloss
