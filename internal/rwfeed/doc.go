// Package rwfeed distributes the contents of the platform's store to every
// instance: the settings, the list of backend servers, the list of instances and
// the version moves.
//
// One or more instances of each availability zone watch the store; the others poll
// a watcher. An instance that can't reach a watcher watches the store itself, and
// one that can't reach the store polls any instance that can. A cache never goes
// back to an older position, which is an era and a revision of the store. When the store
// comes back from an older copy of its contents, it begins a new era and gives out
// revisions again. All objects are then listed; those that the copy lacks are kept until
// their writers have written them again.
//
// Each cache records when its contents were last confirmed by the store. That time
// is taken before the confirming call is sent, on a clock that keeps running while
// the machine is suspended, and is passed on unchanged from instance to instance.
package rwfeed
