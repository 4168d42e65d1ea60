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
	// stateWait is how long a watch of the desired state waits: what it confirms
	// is older by as much, and must stay well under the bound for keys.
	stateWait = 1200 * time.Millisecond
	// serversWait is how long a watch of the servers waits.
	serversWait = 2500 * time.Millisecond
	// gather is the pause between two watches in which changes of the servers
	// gather: a part of the time in which a leaving server must be known.
	gather = 400 * time.Millisecond
	// membersWait is how long a watch of the instances waits: they change rarely,
	// and news of a change is of use, not needed.
	membersWait = 25 * time.Second
	// movesWait is how long a watch of the version moves waits: an order begins
	// with a canary, and a second more or less matters little.
	movesWait = 10 * time.Second
	// peersAfter is the age from which a watcher that gets no confirmation from
	// the store follows its peers besides.
	peersAfter = 1800 * time.Millisecond
	// storeAfter is how long a follower waits for its peers before it watches the
	// store itself.
	storeAfter = 900 * time.Millisecond
	// storeFirst is the same for an instance that has just started and knows of
	// no settings at all: its seeds may be gone, and callers are waiting.
	storeFirst = 200 * time.Millisecond
	// storeCalm is the same when the whole system starts for the first time: no
	// caller is there yet, and all would ask the store at once.
	storeCalm = 3 * time.Second
	// turnEach is the pause between two calls of the fleet to a store that does
	// not answer, made by instances that are no watchers: together they ask no
	// more often than a watcher does.
	turnEach = 150 * time.Millisecond
	turnMost = 10 * time.Second
)

// feeds are what an instance follows in the store.
type feeds struct {
	settings               rwfeed.Settings
	list                   rwfeed.Servers
	states, servers, peers rwfeed.Held
	moves                  rwfeed.Held
	watchers               []*rwfeed.Watcher
	state                  *rwfeed.Watcher // the one that follows the desired state
	follower               rwfeed.Follower
	server                 rwfeed.Server
	instance               *Instance
	started                time.Time

	mu     sync.Mutex
	turnAt time.Time // when this instance may ask the store though it is no watcher
}

func (f *feeds) build(i *Instance) {
	f.instance, f.started = i, time.Now()
	f.settings.Decode, f.settings.Log = i.DecodeState, i.Log
	f.list.Directory, f.list.Decode, f.list.Log = i.directory, i.DecodeServer, i.Log
	f.states.Kind, f.states.Apply, f.states.Log = "state", f.settings.Apply, i.Log
	f.servers.Kind, f.servers.Apply, f.servers.Log = "servers", f.list.Apply, i.Log
	f.peers.Kind, f.peers.Apply, f.peers.Log = "instances", i.members.Apply, i.Log
	f.moves.Kind, f.moves.Apply, f.moves.Log = "moves", i.moves.apply, i.Log
	f.servers.Slow, f.peers.Slow, f.moves.Slow = true, true, true
	f.peers.Optional, f.moves.Optional = true, true
	watch := func(held *rwfeed.Held, source rwfeed.Source, wait, pause time.Duration) *rwfeed.Watcher {
		w := &rwfeed.Watcher{Held: held, Source: source, Task: f.watches, Wait: wait, Gather: pause, Back: f.back, Log: i.Log}
		if state := f.state; state != nil {
			// While the store does not answer one of the watchers asks. An instance that
			// has just started and asks by turn leaves the version moves to its peers.
			// It needs the list of instances at once: all would follow the few seeds.
			w.Task = func() bool {
				return !state.Lost() && (f.role() || f.turn() && (held != &f.moves || time.Since(f.started) > storeAfter))
			}
		} else {
			f.state = w
		}
		f.watchers = append(f.watchers, w)
		return w
	}
	watch(&f.states, i.Stores.States, stateWait, 0)
	servers := watch(&f.servers, i.Stores.Servers, serversWait, gather)
	watch(&f.peers, i.Stores.Members, membersWait, time.Second)
	watch(&f.moves, i.Stores.Moves, movesWait, 0)
	f.list.Regained, f.list.Age = servers.Regained, f.servers.Age
	held := []*rwfeed.Held{&f.states, &f.servers, &f.peers, &f.moves}
	f.follower = rwfeed.Follower{Held: held, Peers: f.tries, Hurry: f.behind, Log: i.Log}
	f.server = rwfeed.Server{Address: i.Settings.Instances, Held: held, Log: i.Log}
}

func (f *feeds) runs() []func(context.Context) {
	runs := []func(context.Context){f.list.Run, f.follower.Run}
	if f.server.Address != "" {
		runs = append(runs, f.server.Run)
	}
	for _, w := range f.watchers {
		runs = append(runs, w.Run)
	}
	return runs
}

// watches reports whether this instance watches the store now: it is its zone's
// watcher, or no peer knows more. An instance that has just started asks the
// seeds first, unless it is one of them.
func (f *feeds) watches() bool { return f.role() || f.turn() }

// role reports whether it is this instance's part to watch the store.
func (f *feeds) role() bool {
	members := &f.instance.members
	return members.Count() > 1 && members.Watches() || members.Count() == 1 && f.seed()
}

// turn reports whether it is the turn of an instance that is no watcher to ask
// the store. Instances whose peers answer but know no more take turns.
func (f *feeds) turn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follower.Following() {
		f.turnAt = time.Time{}
		return false
	}
	if f.settings.Table() == nil {
		if f.instance.Settings.First {
			return time.Since(f.started) > storeCalm
		}
		return time.Since(f.started) > storeFirst
	}
	if time.Since(f.started) < storeAfter {
		return false
	}
	if f.turnAt.IsZero() {
		f.turnAt = time.Now()
		if f.follower.Reached() {
			f.turnAt = f.turnAt.Add(storeAfter + rand.N(f.back()))
		}
	}
	return time.Now().After(f.turnAt)
}

func (f *feeds) seed() bool {
	return len(f.instance.Settings.Seeds) == 0 || slices.Contains(f.instance.Settings.Seeds, f.instance.Settings.Instances)
}

// back is the pause after a failed call. Instances whose peers answer but
// know no more leave the asking to the watchers, mostly.
func (f *feeds) back() time.Duration {
	members := &f.instance.members
	if members.Watches() || !f.follower.Reached() {
		return watcherBack
	}
	return min(turnMost, max(watcherBack, time.Duration(members.Count())*turnEach))
}

// watcherBack is the longest pause of a watcher after failed calls: short enough
// for a change to be in force within its bound after an outage.
const watcherBack = 600 * time.Millisecond

// behind reports whether this instance is a watcher whose last confirmation by the
// store is too old.
func (f *feeds) behind() bool {
	age, known := f.states.Age()
	return f.instance.members.Watches() && known && age >= peersAfter
}

// tries are the instances to follow now.
func (f *feeds) tries() []string {
	if _, known := f.states.Age(); known && f.instance.members.Watches() && !f.behind() {
		return nil
	}
	if watchers := f.instance.members.Watchers(); len(watchers) > 0 {
		return watchers
	}
	var seeds []string
	for _, address := range f.instance.Settings.Seeds {
		if address != f.instance.Settings.Instances {
			seeds = append(seeds, address)
		}
	}
	return seeds
}
