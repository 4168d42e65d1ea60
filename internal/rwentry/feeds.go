package rwentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwfeed"
)

// Settings of what an instance follows.
const (
	// stateWatchTimeout is how long a watch of the desired state waits: what it confirms
	// is older by as much, and must stay well under the bound for keys.
	stateWatchTimeout = 1200 * time.Millisecond
	// serversWatchTimeout is how long a watch of the servers waits.
	serversWatchTimeout = 2500 * time.Millisecond
	// serversWatchInterval is the pause between two watches in which changes of the servers
	// serversWatchInterval: a part of the time in which a leaving server must be known.
	serversWatchInterval = 400 * time.Millisecond
	// membersWatchTimeout is how long a watch of the instances waits: they change rarely,
	// and news of a change is of use, not needed.
	membersWatchTimeout = 25 * time.Second
	// movesWatchTimeout is how long a watch of the version moves waits: an order begins
	// with a canary, and a second more or less matters little.
	movesWatchTimeout = 10 * time.Second
	// peerFallbackAge is the age from which a watcher that gets no confirmation from
	// the store follows its peers besides.
	peerFallbackAge = 1800 * time.Millisecond
	// storeFallbackDelay is how long a follower waits for its peers before it watches the
	// store itself.
	storeFallbackDelay = 900 * time.Millisecond
	// startupFallbackDelay is the same for an instance that has just started and knows of
	// no settings at all: its seeds may be gone, and callers are waiting.
	startupFallbackDelay = 200 * time.Millisecond
	// bootstrapFallbackDelay is the same when the whole system starts for the first time: no
	// caller is there yet, and all would ask the store at once.
	bootstrapFallbackDelay = 3 * time.Second
	// fleetCallInterval is the pause between two calls of the fleet to a store that does
	// not answer, made by instances that are no watchers: together they ask no
	// more often than a watcher does.
	fleetCallInterval  = 150 * time.Millisecond
	maxFallbackBackoff = 10 * time.Second
)

// feeds are what an instance follows in the store.
type feeds struct {
	settings               rwfeed.Settings
	serverList             rwfeed.Servers
	states, servers, peers rwfeed.Held
	moves                  rwfeed.Held
	watchers               []*rwfeed.Watcher
	stateWatcher           *rwfeed.Watcher // the one that follows the desired state
	follower               rwfeed.Follower
	peerServer             rwfeed.Server
	instance               *Instance
	started                time.Time

	mu              sync.Mutex
	storeFallbackAt time.Time // when this instance may ask the store though it is no watcher
}

func (f *feeds) build(i *Instance) {
	f.instance, f.started = i, time.Now()
	f.settings.Decode, f.settings.Log = i.DecodeState, i.Log
	f.serverList.Directory, f.serverList.Decode, f.serverList.Log = i.directory, i.DecodeServer, i.Log
	f.states.Kind, f.states.Apply, f.states.Log = "state", f.settings.Apply, i.Log
	f.servers.Kind, f.servers.Apply, f.servers.Log = "servers", f.serverList.Apply, i.Log
	f.peers.Kind, f.peers.Apply, f.peers.Log = "instances", i.members.Apply, i.Log
	f.moves.Kind, f.moves.Apply, f.moves.Log = "moves", i.moves.apply, i.Log
	f.servers.Slow, f.peers.Slow, f.moves.Slow = true, true, true
	f.peers.Optional, f.moves.Optional = true, true
	watch := func(held *rwfeed.Held, source rwfeed.Source, wait, pause time.Duration) *rwfeed.Watcher {
		w := &rwfeed.Watcher{Held: held, Source: source, Task: f.watchesStore, Wait: wait, Gather: pause, Back: f.maxBackoff, Log: i.Log}
		if state := f.stateWatcher; state != nil {
			// While the store does not answer one of the watchers asks. An instance that
			// has just started and asks by turn leaves the version moves to its peers.
			// It needs the list of instances at once: all would follow the few seeds.
			w.Task = func() bool {
				return !state.Lost() && (f.isWatcher() || f.storeFallbackDue() && (held != &f.moves || time.Since(f.started) > storeFallbackDelay))
			}
		} else {
			f.stateWatcher = w
		}
		f.watchers = append(f.watchers, w)
		return w
	}
	watch(&f.states, i.Stores.States, stateWatchTimeout, 0)
	servers := watch(&f.servers, i.Stores.Servers, serversWatchTimeout, serversWatchInterval)
	watch(&f.peers, i.Stores.Members, membersWatchTimeout, time.Second)
	watch(&f.moves, i.Stores.Moves, movesWatchTimeout, 0)
	f.serverList.Regained, f.serverList.Age = servers.Regained, f.servers.Age
	held := []*rwfeed.Held{&f.states, &f.servers, &f.peers, &f.moves}
	f.follower = rwfeed.Follower{Held: held, Peers: f.peersToFollow, Hurry: f.stale, Log: i.Log}
	f.peerServer = rwfeed.Server{Address: i.Settings.PeerAddress, Held: held, Log: i.Log}
}

func (f *feeds) loops() []func(context.Context) {
	runs := []func(context.Context){f.serverList.Run, f.follower.Run}
	if f.peerServer.Address != "" {
		runs = append(runs, f.peerServer.Run)
	}
	for _, w := range f.watchers {
		runs = append(runs, w.Run)
	}
	return runs
}

// watchesStore reports whether this instance watchesStore the store now: it is its zone's
// watcher, or no peer knows more. An instance that has just started asks the
// seeds first, unless it is one of them.
func (f *feeds) watchesStore() bool { return f.isWatcher() || f.storeFallbackDue() }

// isWatcher reports whether it is this instance's part to watch the store.
func (f *feeds) isWatcher() bool {
	members := &f.instance.members
	return members.Count() > 1 && members.Watches() || members.Count() == 1 && f.isSeed()
}

// storeFallbackDue reports whether it is the storeFallbackDue of an instance that is no watcher to ask
// the store. Instances whose peers answer but know no more take turns.
func (f *feeds) storeFallbackDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follower.Following() {
		f.storeFallbackAt = time.Time{}
		return false
	}
	if f.settings.Table() == nil {
		if f.instance.Settings.Bootstrap {
			return time.Since(f.started) > bootstrapFallbackDelay
		}
		return time.Since(f.started) > startupFallbackDelay
	}
	if time.Since(f.started) < storeFallbackDelay {
		return false
	}
	if f.storeFallbackAt.IsZero() {
		f.storeFallbackAt = time.Now()
		if f.follower.Reached() {
			f.storeFallbackAt = f.storeFallbackAt.Add(storeFallbackDelay + rand.N(f.maxBackoff()))
		}
	}
	return time.Now().After(f.storeFallbackAt)
}

func (f *feeds) isSeed() bool {
	return len(f.instance.Settings.Seeds) == 0 || slices.Contains(f.instance.Settings.Seeds, f.instance.Settings.PeerAddress)
}

// maxBackoff is the pause after a failed call. Instances whose peers answer but
// know no more leave the asking to the watchers, mostly.
func (f *feeds) maxBackoff() time.Duration {
	members := &f.instance.members
	if members.Watches() || !f.follower.Reached() {
		return maxWatcherBackoff
	}
	return min(maxFallbackBackoff, max(maxWatcherBackoff, time.Duration(members.Count())*fleetCallInterval))
}

// maxWatcherBackoff is the longest pause of a watcher after failed calls: short enough
// for a change to be in force within its bound after an outage.
const maxWatcherBackoff = 600 * time.Millisecond

// stale reports whether this instance is a watcher whose last confirmation by the
// store is too old.
func (f *feeds) stale() bool {
	age, known := f.states.Age()
	return f.instance.members.Watches() && known && age >= peerFallbackAge
}

// peersToFollow are the instances to follow now.
func (f *feeds) peersToFollow() []string {
	if _, known := f.states.Age(); known && f.instance.members.Watches() && !f.stale() {
		return nil
	}
	if watchers := f.instance.members.Watchers(); len(watchers) > 0 {
		return watchers
	}
	var seeds []string
	for _, address := range f.instance.Settings.Seeds {
		if address != f.instance.Settings.PeerAddress {
			seeds = append(seeds, address)
		}
	}
	return seeds
}
