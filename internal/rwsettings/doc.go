// Package rwsettings brings the tree of settings into force at an instance and
// accepts operators' changes to it.
//
// The instance that accepts a change hands it to all others. A few instances of
// each availability zone watch the platform; they hand what that push missed to
// the others of their zone. Whoever exchanges digests with a peer and finds that the peer
// has something newer fetches it. An instance applies an object only if its
// metadata.generation is higher than that in force, so nothing ever reverts: not
// through a stale list, a lagging watch, a restart, or a peer that is behind.
package rwsettings
