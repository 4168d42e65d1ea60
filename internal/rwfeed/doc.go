// Package rwfeed brings what the platform's store keeps to every instance: the
// desired state, the list of backend servers, the list of instances.
//
// One instance of each availability zone watches the store; the others follow a
// watcher. Whoever can't reach a watcher watches the store itself, and whoever
// can't reach the store follows any instance that can. What is held never goes
// back to an older revision.
//
// Everything carries when it was last confirmed, counted from before the call
// that confirmed it left, on a clock that goes on while the machine is suspended;
// what is handed on, however often, keeps that time.
package rwfeed
