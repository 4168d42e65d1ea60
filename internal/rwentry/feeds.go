package rwentry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwtime"
)

// Timing of the watches on the store and of the fallbacks between store and peers.
const (
	// serversWatchTimeout is the long-poll timeout of a watch on the backend servers.
	serversWatchTimeout = 2500 * time.Millisecond
	// serversBatchDelay is the pause after a watch that returned changes of the
	// servers, so that changes arrive in batches. It counts towards the time within
	// which a leaving server must get no more work, Settings.DrainTimeout.
	serversBatchDelay = 400 * time.Millisecond
	// membersWatchTimeout is the long-poll timeout of a watch on the instances. It is
	// long because they change rarely and a late update does no harm.
	membersWatchTimeout = 25 * time.Second
	// movesWatchTimeout is the long-poll timeout of a watch on the version moves. A
	// move begins with a canary, so a delay of a second matters little.
	movesWatchTimeout = 10 * time.Second
	// quarantinesWatchTimeout is the long-poll timeout of a watch on the quarantines. A
	// new one ends the wait.
	quarantinesWatchTimeout = 25 * time.Second
	// storeFallbackDelay is how long a new instance follows its peers before it may watch
	// the store itself, if it has what it needs to serve callers.
	storeFallbackDelay = 900 * time.Millisecond
	// maxOtherPeers is the number of instances without the role of a watcher that are
	// asked beside the watchers: one of them may reach the store while no watcher does.
	maxOtherPeers = 3
	// startupFallbackDelay replaces storeFallbackDelay while an instance has no desired
	// state or no list of servers yet. It is short because the seeds may be gone and callers
	// are waiting.
	startupFallbackDelay = 200 * time.Millisecond
	// bootstrapFallbackDelay replaces startupFallbackDelay when the whole system starts
	// for the first time: there are no callers yet, and all instances would call the
	// store at once.
	bootstrapFallbackDelay = 3 * time.Second
	// fleetCallInterval times the number of instances is the maximum backoff of an
	// instance that is not a watcher. While a store does not answer, the total rate of
	// calls to it thus does not grow with the number of instances, until the backoff
	// reaches Settings.SettingsBound, or maxFallbackBackoff if there is none: an instance that
	// the store answers again must know that before it counts as one that has been in touch.
	fleetCallInterval  = 150 * time.Millisecond
	maxFallbackBackoff = 10 * time.Second
	// lostTTL is how long an object that the store lost is kept until its writer has
	// written it again, which takes seconds. The desired state is kept without a limit.
	lostTTL = time.Minute
)

// missedHeartbeats is the number of heartbeat intervals after which the store removes the
// entry of a server that sends nothing.
const missedHeartbeats = 3

// feeds keeps an instance's copies of the store's objects up to date, from the
// store or from peers.
type feeds struct {
	desiredState             rwfeed.Settings
	serverList               rwfeed.ServerList
	states, servers, members rwfeed.Cache
	moves, quarantines       rwfeed.Cache
	watchers                 []*rwfeed.Watcher
	stateWatcher             *rwfeed.Watcher // watches the desired state
	follower                 rwfeed.Follower
	peerServer               rwfeed.PeerServer
	sourceChanged            rwfeed.Signal // the store or the followed peer no longer answers, or does again
	recency                  rwfeed.Recency
	availability             rwfeed.Availability // of the store
	instance                 *Instance
	started                  time.Time

	mu       sync.Mutex
	deadline fallbackDeadline
	fallback bool // this instance calls the store although it is not a watcher
}

// fallbackDeadline is when an instance that is not a watcher calls the store itself, unless a
// peer confirms its settings anew.
type fallbackDeadline struct {
	at    rwtime.BootTime // zero if none is set
	timer *time.Timer     // wakes the watchers then
}

func (f *feeds) build(i *Instance) {
	f.instance, f.started = i, time.Now()
	f.recency = rwfeed.Recency{Bound: i.Settings.SettingsBound}
	f.availability.MaxPause = f.recency.MaxPause()
	f.desiredState.Decode, f.desiredState.Log = i.DecodeState, i.Log
	f.serverList.Directory, f.serverList.Decode, f.serverList.Log = i.directory, i.DecodeServer, i.Log
	f.serverList.ExpiryTime = missedHeartbeats * i.Settings.HeartbeatInterval
	f.states.Kind, f.states.Apply, f.states.Log = "state", f.desiredState.Apply, i.Log
	f.servers.Kind, f.servers.Apply, f.servers.Log = "servers", f.serverList.Apply, i.Log
	f.members.Kind, f.members.Apply, f.members.Log = "instances", i.members.Apply, i.Log
	f.moves.Kind, f.moves.Apply, f.moves.Log = "moves", i.moves.apply, i.Log
	f.quarantines.Kind, f.quarantines.Apply, f.quarantines.Log = "quarantines", i.suspects.apply, i.Log
	f.servers.IgnoreAge, f.members.IgnoreAge, f.moves.IgnoreAge, f.quarantines.IgnoreAge = true, true, true, true
	f.members.Optional, f.moves.Optional, f.quarantines.Optional = true, true, true
	f.states.Outdated = f.desiredState.Outdated
	f.servers.LostTTL, f.members.LostTTL, f.moves.LostTTL, f.quarantines.LostTTL = lostTTL, lostTTL, lostTTL, lostTTL
	watch := func(cache *rwfeed.Cache, source rwfeed.Source, timeout, batchDelay time.Duration) *rwfeed.Watcher {
		w := &rwfeed.Watcher{Cache: cache, Source: source, Era: i.Stores.Era, ShouldWatch: f.watchesStore, WatchWait: timeout, BatchDelay: batchDelay, Backoff: f.maxBackoff, Changed: &f.sourceChanged, Count: i.counters.Increment, Availability: &f.availability, Log: i.Log}
		if stateWatcher := f.stateWatcher; stateWatcher != nil {
			w.Path = stateWatcher
			// While the store does not answer, only the watch on the desired state calls it, and
			// an instance that falls back to the store waits for the first response to that.
			// An instance that has just started and falls back to the store gets the version
			// moves and quarantines from its peers. It needs the list of instances at once: without it, all
			// such instances would follow the few seeds.
			w.ShouldWatch = func() bool {
				return !stateWatcher.Failing() && (f.isWatcher() || stateWatcher.Current() && f.storeFallbackDue() && (cache != &f.moves && cache != &f.quarantines || time.Since(f.started) > storeFallbackDelay))
			}
		} else {
			f.stateWatcher = w
		}
		f.watchers = append(f.watchers, w)
		return w
	}
	watch(&f.states, i.Stores.States, f.recency.WatchWait(), 0)
	servers := watch(&f.servers, i.Stores.Servers, serversWatchTimeout, serversBatchDelay)
	watch(&f.members, i.Stores.Members, membersWatchTimeout, time.Second)
	watch(&f.moves, i.Stores.Moves, movesWatchTimeout, 0)
	watch(&f.quarantines, i.Stores.Quarantines, quarantinesWatchTimeout, 0)
	f.serverList.StoreRecoveredAt, f.serverList.Age = f.availability.RecoveredAt, f.servers.Age
	caches := []*rwfeed.Cache{&f.states, &f.servers, &f.members, &f.moves, &f.quarantines}
	f.follower = rwfeed.Follower{Caches: caches, Era: i.Stores.Era, Peers: f.peersToFollow, NoWait: func() bool { return f.stale() && !f.follower.Following() }, Wake: &f.sourceChanged, Recency: f.recency, Confirmed: f.putOffFallback, Availability: &f.availability, Reached: i.members.RecordReach, Log: i.Log}
	f.peerServer = rwfeed.PeerServer{
		Name: i.Settings.Name, Address: i.Settings.PeerAddress, Caches: caches, Current: func() bool { return f.stateWatcher.Current() && servers.Current() }, Changed: &f.sourceChanged, Availability: &f.availability, Log: i.Log,
		MaxConns: i.shares.Peers, CountClosed: func() { i.countCrowd("peers_closed") },
	}
}

func (f *feeds) loops() []func(context.Context) {
	loops := []func(context.Context){f.serverList.Run, f.follower.Run}
	if f.peerServer.Address != "" {
		loops = append(loops, f.peerServer.Run)
	}
	for _, w := range f.watchers {
		loops = append(loops, w.Run)
	}
	return loops
}

// watchesStore reports whether this instance watches the store now: it is a
// watcher of its availability zone, or no peer has newer objects. An instance that
// has just started follows the seeds first, unless it is one of them.
func (f *feeds) watchesStore() bool { return f.isWatcher() || f.storeFallbackDue() }

// isWatcher reports whether this instance is assigned to watch the store.
func (f *feeds) isWatcher() bool {
	members := &f.instance.members
	return members.SeedsWatch() && f.isSeed() || members.Count() > 1 && members.IsWatcher()
}

// storeFallbackDue reports whether an instance that is not a watcher may call the store now:
// no peer has confirmed its settings for Recency.Deadline. What it does meanwhile to find one
// has no part in that.
func (f *feeds) storeFallbackDue() bool {
	age, _ := f.states.Age()
	lag, _ := f.states.Lag()
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.storeFallbackDueLocked()
	if due != f.fallback {
		f.fallback = due
		f.instance.Log.Info("source of the objects changed", "store", due, "peer", f.follower.Address(), "responds", f.follower.PeerResponded(), "age", age.Seconds(), "lag", lag.Seconds(), "version", f.version())
	}
	return due
}

// version returns the version of the desired state in force, or zero if there is none.
func (f *feeds) version() int64 {
	if table := f.desiredState.Table(); table != nil {
		return table.Version
	}
	return 0
}

// canServe reports whether this instance has what it needs to serve callers.
func (f *feeds) canServe() bool {
	_, known := f.servers.Age()
	return known && f.desiredState.Table() != nil
}

func (f *feeds) storeFallbackDueLocked() bool {
	if !f.canServe() {
		if f.instance.Settings.Bootstrap {
			return time.Since(f.started) > bootstrapFallbackDelay
		}
		return time.Since(f.started) > startupFallbackDelay
	}
	if f.deadline.at == 0 {
		left := storeFallbackDelay - time.Since(f.started)
		if f.follower.PeerResponded() {
			left += rand.N(f.recency.Spread())
		}
		f.setDeadlineLocked(left)
	}
	return rwtime.Now() >= f.deadline.at
}

// putOffFallback sets the deadline anew after a peer has confirmed the settings. The random
// part spreads the calls of instances that lose the same peer.
func (f *feeds) putOffFallback() {
	lag, known := f.follower.Lag()
	if !known {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setDeadlineLocked(f.recency.Deadline(rand.Float64()) - lag)
}

func (f *feeds) setDeadlineLocked(left time.Duration) {
	if f.deadline.timer != nil {
		f.deadline.timer.Stop()
	}
	f.deadline = fallbackDeadline{rwtime.Now() + rwtime.BootTime(left), time.AfterFunc(left, f.sourceChanged.Notify)}
}

func (f *feeds) isSeed() bool {
	return len(f.instance.Settings.Seeds) == 0 || slices.Contains(f.instance.Settings.Seeds, f.instance.Settings.PeerAddress)
}

// maxBackoff returns the longest pause after a failed call. It grows with the number
// of instances for one that is not a watcher and whose peers answer, so that mostly
// the watchers call a store that is down.
func (f *feeds) maxBackoff() time.Duration {
	members := &f.instance.members
	if members.IsWatcher() || !f.follower.PeerResponded() {
		return maxWatcherBackoff
	}
	longest := cmp.Or(f.instance.Settings.SettingsBound, maxFallbackBackoff)
	return min(longest, max(maxWatcherBackoff, time.Duration(members.Count())*fleetCallInterval))
}

// maxWatcherBackoff is the longest pause of a watcher after failed calls. It is short
// enough for a change to be in force within its time limit after an outage.
const maxWatcherBackoff = 600 * time.Millisecond

// stale reports whether this instance is a watcher that the store doesn't answer, or whose
// next confirmation by the store is overdue.
func (f *feeds) stale() bool {
	lag, known := f.states.Lag()
	return f.instance.members.IsWatcher() && known && (lag >= f.recency.Overdue() || !f.stateWatcher.Current())
}

// peersToFollow returns the addresses of the peers to follow now; none for a watcher
// whose state is recent. The watchers come first, then a few of the other instances, of those
// that aren't passed over as unreachable if there are any.
func (f *feeds) peersToFollow() []string {
	members := &f.instance.members
	if _, known := f.states.Age(); known && members.IsWatcher() && !f.stale() {
		return nil
	}
	watchers := members.WatcherAddresses()
	if len(watchers) == 0 && members.SeedsWatch() {
		return f.otherSeeds()
	}
	others := members.Reachable()
	if len(others) == 0 {
		others = members.Others()
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	peers := watchers
	for _, m := range others {
		if len(peers) < len(watchers)+maxOtherPeers && m.PeerAddress != "" && !slices.Contains(watchers, m.PeerAddress) {
			peers = append(peers, m.PeerAddress)
		}
	}
	return peers
}

func (f *feeds) otherSeeds() []string {
	var seeds []string
	for _, address := range f.instance.Settings.Seeds {
		if address != f.instance.Settings.PeerAddress {
			seeds = append(seeds, address)
		}
	}
	return seeds
}
