// Package rwsettings keeps the settings tree of an instance up to date.
//
// Settings reach an instance in three ways. The instance that accepts an
// operator's change pushes it to all other instances. WatchersPerZone instances
// of each availability zone watch the platform and push changes to the other
// instances of their zone, which covers a push that was lost. An instance that
// compares digests with a peer and finds newer settings there fetches them.
//
// An instance applies an object only if its revision is newer than the one in force.
// Settings therefore never revert to an older state because of a stale list, a lagging
// watch, a restart, or a peer with older settings.
//
// The platform may come back from an older copy of its contents. It then lacks changes
// that it has acknowledged, and counts generations anew. Watchers write settings in
// force again that the platform lost. The platform's API has no sign of such a return, so
// an object that is missing counts as lost unless this instance saw its deletion.
package rwsettings
