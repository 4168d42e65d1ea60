package rwfeed_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwloopback"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// TestRecencySum checks that the steps from the loss of the store to the answer of a call to
// it fit into the bound.
func TestRecencySum(t *testing.T) {
	const call = 250 * time.Millisecond
	for bound := time.Second; bound <= 10*time.Second; bound += 100 * time.Millisecond {
		r := rwfeed.Recency{Bound: bound}
		require.LessOrEqual(t, r.WatchWait()+rwfeed.OverdueMargin, r.Deadline(0), bound)
		require.LessOrEqual(t, r.Deadline(1)+call, bound, bound)
		require.Greater(t, r.PollWait(), r.WatchWait(), bound)
	}
	require.Positive(t, rwfeed.Recency{}.Spread(), "without a bound")
}

// waitingSource is a store without changes whose watches last as long as asked, or are
// answered early or never.
type waitingSource struct {
	early, silent atomic.Bool
	mu            sync.Mutex
	waits         []time.Duration
	changes       []rwfeed.Change // of the next watch
}

func (s *waitingSource) List(context.Context) (rwfeed.Batch, error) {
	return rwfeed.Batch{Revision: 1, Snapshot: true}, nil
}

func (s *waitingSource) Watch(ctx context.Context, _ int64, wait time.Duration) (rwfeed.Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	changes := s.changes
	s.changes = nil
	s.mu.Unlock()
	switch {
	case s.silent.Load() && wait > 0:
		<-ctx.Done()
		return rwfeed.Batch{}, ctx.Err()
	case len(changes) > 0 || s.early.Load():
		rwtime.Sleep(ctx, wait/2)
	default:
		rwtime.Sleep(ctx, wait)
	}
	return rwfeed.Batch{Revision: 1, Changes: changes}, ctx.Err()
}

func (s *waitingSource) calls() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.waits...)
}

// watch runs a watcher of a source and returns it.
func watch(t *testing.T, s rwfeed.Source, count func(string)) *rwfeed.Watcher {
	t.Helper()
	w := &rwfeed.Watcher{Cache: newCache(&recorder{}), Source: s, ShouldWatch: func() bool { return true }, WatchWait: 400 * time.Millisecond, Count: count, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		work.Wait()
	})
	return w
}

// maxLag returns the largest lag of a cache within a time.
func maxLag(t *testing.T, c *rwfeed.Cache, within time.Duration) time.Duration {
	t.Helper()
	var longest time.Duration
	for start := time.Now(); time.Since(start) < within; time.Sleep(5 * time.Millisecond) {
		lag, known := c.Lag()
		require.True(t, known)
		longest = max(longest, lag)
	}
	return longest
}

// TestEmptyWatchCompletes checks that a watch that ended without a change proves that there
// was none until then, but not one that was answered early.
func TestEmptyWatchCompletes(t *testing.T) {
	t.Parallel()
	const margin = 150 * time.Millisecond // for a busy machine
	for name, c := range map[string]struct {
		early    bool
		min, max time.Duration
	}{
		"in full": {false, 300 * time.Millisecond, 400*time.Millisecond + margin},
		"early":   {true, 0, 400*time.Millisecond + margin},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &waitingSource{}
			s.early.Store(c.early)
			w := watch(t, s, nil)
			require.Eventually(t, func() bool { return len(s.calls()) > 2 }, 10*time.Second, time.Millisecond)
			longest := maxLag(t, w.Cache, 2*time.Second)
			require.GreaterOrEqual(t, longest, c.min)
			require.LessOrEqual(t, longest, c.max)
			age, _ := w.Cache.Age()
			lag, _ := w.Cache.Lag()
			if c.early {
				require.InDelta(t, age, lag, float64(5*time.Millisecond), "an early answer proves nothing beyond its request")
			} else {
				require.Greater(t, age, lag+300*time.Millisecond, "keys go by the request")
			}
		})
	}
}

// TestWatchAfterChange checks that the watch after one that a change has ended is shorter, so
// that the contents are confirmed as often as without changes.
func TestWatchAfterChange(t *testing.T) {
	t.Parallel()
	s := &waitingSource{}
	w := watch(t, s, nil)
	require.Eventually(t, func() bool { return len(s.calls()) > 2 }, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	s.changes = []rwfeed.Change{change("a", 1)}
	before := len(s.waits)
	s.mu.Unlock()
	require.Eventually(t, func() bool { return len(s.calls()) > before+1 }, 10*time.Second, time.Millisecond)
	require.Less(t, s.calls()[before+1], w.WatchWait*3/4)
}

// TestOverdueWatchGivenUp checks that a watch whose connection is silent is given up when its
// response is overdue, and another call sent that must be answered at once.
func TestOverdueWatchGivenUp(t *testing.T) {
	t.Parallel()
	s := &waitingSource{}
	var failed atomic.Int64
	w := watch(t, s, func(name string) {
		if name == "store_failed_k" {
			failed.Add(1)
		}
	})
	require.Eventually(t, func() bool { return len(s.calls()) > 2 }, 10*time.Second, time.Millisecond)
	s.silent.Store(true)
	require.Less(t, maxLag(t, w.Cache, 3*time.Second), w.WatchWait+rwfeed.OverdueMargin+w.WatchWait/2+150*time.Millisecond)
	require.Zero(t, failed.Load(), "the store answers")
}

// followingPair starts a server of a cache and a follower of it, and returns the follower's
// cache and the follower.
func followingPair(t *testing.T, remote *rwfeed.Cache) (*rwfeed.Cache, *rwfeed.Follower) {
	t.Helper()
	address := rwloopback.Address()
	local := newCache(&recorder{})
	server := &rwfeed.PeerServer{Address: address, Caches: []*rwfeed.Cache{remote}, Log: logr.Discard()}
	follower := &rwfeed.Follower{Caches: []*rwfeed.Cache{local}, Peers: func() []string { return []string{address} }, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { server.Run(ctx) })
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}, 10*time.Second, time.Millisecond)
	work.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		work.Wait()
	})
	return local, follower
}

// TestConfirmationEndsPoll checks that a follower knows of each confirmation of its peer at
// once, also without a change.
func TestConfirmationEndsPoll(t *testing.T) {
	t.Parallel()
	const interval = 300 * time.Millisecond
	remote := newCache(&recorder{})
	remote.Update(rwfeed.Batch{Revision: 3, Snapshot: true}, rwtime.Now())
	local, follower := followingPair(t, remote)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go rwtime.Every(ctx, interval, func() { remote.Update(rwfeed.Batch{Revision: 3}, rwtime.Now()) })
	require.Eventually(t, func() bool { _, known := follower.Lag(); return known }, 10*time.Second, time.Millisecond)
	require.Less(t, maxLag(t, local, 3*time.Second), interval+150*time.Millisecond)
	lag, _ := follower.Lag()
	require.Less(t, lag, interval+150*time.Millisecond)
}

// TestAwayPeerConfirmsNothing guards against an instance that ceases to ask the store as
// peers without it hand back what this instance has told them.
func TestAwayPeerConfirmsNothing(t *testing.T) {
	t.Parallel()
	address := rwloopback.Address()
	remote, local := newCache(&recorder{}), newCache(&recorder{})
	remote.Update(rwfeed.Batch{Revision: 3, Snapshot: true}, rwtime.Now())
	server := &rwfeed.PeerServer{Address: address, Caches: []*rwfeed.Cache{remote}, Current: func() bool { return false }, Log: logr.Discard()}
	follower := &rwfeed.Follower{Caches: []*rwfeed.Cache{local}, Peers: func() []string { return []string{address} }, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { server.Run(ctx) })
	work.Go(func() { follower.Run(ctx) })
	defer work.Wait()
	defer cancel()
	require.Eventually(t, func() bool { _, known := local.Lag(); return known }, 10*time.Second, time.Millisecond)
	_, confirmed := follower.Lag()
	require.False(t, confirmed)
}

// TestFollowersOfEachOther guards against instances that take each other's contents for
// current, as none of them reads the store any more: a confirmation only ages.
func TestFollowersOfEachOther(t *testing.T) {
	t.Parallel()
	caches := []*rwfeed.Cache{newCache(&recorder{}), newCache(&recorder{})}
	addresses := []string{rwloopback.Address(), rwloopback.Address()}
	followers := make([]*rwfeed.Follower, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for n, cache := range caches {
		cache.Update(rwfeed.Batch{Revision: 3, Snapshot: true, Changes: []rwfeed.Change{change("a", 3)}}, rwtime.Now())
		server := &rwfeed.PeerServer{Address: addresses[n], Caches: []*rwfeed.Cache{cache}, Log: logr.Discard()}
		followers[n] = &rwfeed.Follower{Caches: []*rwfeed.Cache{cache}, Peers: func() []string { return []string{addresses[1-n]} }, Log: logr.Discard()}
		work.Go(func() { server.Run(ctx) })
		work.Go(func() { followers[n].Run(ctx) })
	}
	defer work.Wait()
	defer cancel()
	start := time.Now()
	time.Sleep(4 * time.Second)
	for n := range caches {
		lag, known := followers[n].Lag()
		require.True(t, known)
		require.Greater(t, lag, time.Since(start), "a confirmation became younger")
		age, _ := caches[n].Age()
		require.Greater(t, age, time.Since(start))
		require.False(t, followers[n].Following())
	}
}

// TestFollowerAheadWaits guards against a follower that has read one kind from the store itself
// and asks a peer, which has nothing newer of it yet, again and again without a pause.
func TestFollowerAheadWaits(t *testing.T) {
	t.Parallel()
	address := rwloopback.Address()
	pair := func() []*rwfeed.Cache {
		settings, members := newCache(&recorder{}), newCache(&recorder{})
		members.Kind, members.IgnoreAge = "instances", true
		return []*rwfeed.Cache{settings, members}
	}
	remote, local := pair(), pair()
	for _, cache := range remote {
		cache.Update(rwfeed.Batch{Revision: 3, Snapshot: true}, rwtime.Now())
	}
	local[1].Update(rwfeed.Batch{Revision: 9, Snapshot: true}, rwtime.Now())
	server := &rwfeed.PeerServer{Address: address, Caches: remote, Log: logr.Discard()}
	var polls atomic.Int64
	follower := &rwfeed.Follower{Caches: local, Log: logr.Discard(), Peers: func() []string {
		polls.Add(1)
		return []string{address}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { server.Run(ctx) })
	work.Go(func() { follower.Run(ctx) })
	work.Go(func() {
		rwtime.Every(ctx, 500*time.Millisecond, func() { remote[0].Update(rwfeed.Batch{Revision: 3}, rwtime.Now()) })
	})
	defer work.Wait()
	defer cancel()
	require.Eventually(t, follower.Following, 10*time.Second, time.Millisecond)
	before := polls.Load()
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, polls.Load()-before, int64(6), "polls in 2 s, with a confirmation each 0.5 s")
}

// TestPathGivesUp guards against objects that count as current for as long as their own watch
// waits, up to 25 s, although the path to the store is silent, as another watch shows sooner.
func TestPathGivesUp(t *testing.T) {
	t.Parallel()
	var changed rwfeed.Signal
	settings, servers := &waitingSource{}, &waitingSource{}
	path := &rwfeed.Watcher{Cache: newCache(&recorder{}), Source: settings, ShouldWatch: func() bool { return true }, WatchWait: 300 * time.Millisecond, Changed: &changed, Log: logr.Discard()}
	w := &rwfeed.Watcher{Cache: newCache(&recorder{}), Source: servers, ShouldWatch: path.Current, WatchWait: 20 * time.Second, Changed: &changed, Path: path, Log: logr.Discard()}
	w.Cache.IgnoreAge = true
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { path.Run(ctx) })
	work.Go(func() { w.Run(ctx) })
	defer work.Wait()
	defer cancel()
	open := func() bool {
		calls := servers.calls()
		return len(calls) > 0 && calls[len(calls)-1] > 0
	}
	require.Eventually(t, open, 10*time.Second, time.Millisecond)
	before := len(servers.calls())
	settings.silent.Store(true)
	require.Eventually(t, func() bool { return len(servers.calls()) > before }, path.WatchWait+rwfeed.OverdueMargin+500*time.Millisecond, time.Millisecond)
	require.Zero(t, servers.calls()[before], "it must be answered at once")
}
