package rwentry

import (
	"context"
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
	// peersAfter is the age from which a watcher that gets no confirmation from
	// the store follows its peers besides.
	peersAfter = 1800 * time.Millisecond
	// storeAfter is how long a follower waits for its peers before it watches the
	// store itself.
	storeAfter = 900 * time.Millisecond
)

// feeds are what an instance follows in the store.
type feeds struct {
	settings               rwfeed.Settings
	list                   rwfeed.Servers
	states, servers, peers rwfeed.Held
	watchers               []*rwfeed.Watcher
	follower               rwfeed.Follower
	server                 rwfeed.Server
	instance               *Instance
	started                time.Time
}

func (f *feeds) build(i *Instance) {
	f.instance, f.started = i, time.Now()
	f.settings.Decode, f.settings.Log = i.DecodeState, i.Log
	f.list.Directory, f.list.Decode, f.list.Log = i.directory, i.DecodeServer, i.Log
	f.states.Kind, f.states.Apply, f.states.Log = "state", f.settings.Apply, i.Log
	f.servers.Kind, f.servers.Apply, f.servers.Log = "servers", f.list.Apply, i.Log
	f.peers.Kind, f.peers.Apply, f.peers.Log = "instances", i.members.Apply, i.Log
	f.servers.Slow, f.peers.Slow = true, true
	watch := func(held *rwfeed.Held, source rwfeed.Source, wait, pause time.Duration) *rwfeed.Watcher {
		w := &rwfeed.Watcher{Held: held, Source: source, Task: f.watches, Wait: wait, Gather: pause, Log: i.Log}
		f.watchers = append(f.watchers, w)
		return w
	}
	watch(&f.states, i.Stores.States, stateWait, 0)
	servers := watch(&f.servers, i.Stores.Servers, serversWait, gather)
	watch(&f.peers, i.Stores.Members, membersWait, time.Second)
	f.list.Regained = servers.Regained
	held := []*rwfeed.Held{&f.states, &f.servers, &f.peers}
	f.follower = rwfeed.Follower{Held: held, Peers: f.tries, Log: i.Log}
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
// watcher, it knows of no other instance, or no peer answers.
func (f *feeds) watches() bool {
	if f.instance.members.Count() == 1 || f.instance.members.Watches() {
		return true
	}
	return !f.follower.Following() && time.Since(f.started) > storeAfter
}

// tries are the instances to follow now.
func (f *feeds) tries() []string {
	if age, known := f.states.Age(); f.instance.members.Watches() && known && age < peersAfter {
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
