package rwfeed_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwloopback"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

func change(name string, revision int64) rwfeed.Change {
	return rwfeed.Change{Name: name, Revision: revision, Spec: json.RawMessage(`{}`)}
}

// recorder records the objects that a cache has applied.
type recorder struct {
	mu        sync.Mutex
	revisions map[string]int64 // by name
}

func (r *recorder) apply(b rwfeed.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revisions == nil {
		r.revisions = map[string]int64{}
	}
	for _, c := range b.Changes {
		if c.Deleted {
			delete(r.revisions, c.Name)
		} else {
			r.revisions[c.Name] = c.Revision
		}
	}
}

func (r *recorder) snapshot() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int64{}
	for k, v := range r.revisions {
		out[k] = v
	}
	return out
}

func newCache(r *recorder) *rwfeed.Cache {
	return &rwfeed.Cache{Kind: "k", Apply: r.apply, Log: logr.Discard()}
}

// TestCacheNeverGoesBack checks that an older list is rejected and that an older
// revision of an object in a newer batch is ignored.
func TestCacheNeverGoesBack(t *testing.T) {
	var r recorder
	cache := newCache(&r)
	require.True(t, cache.Update(rwfeed.Batch{Revision: 10, Snapshot: true, Changes: []rwfeed.Change{change("a", 4), change("b", 10)}}, 100))
	require.False(t, cache.Update(rwfeed.Batch{Revision: 9, Snapshot: true, Changes: []rwfeed.Change{change("a", 3)}}, 200))
	require.True(t, cache.Update(rwfeed.Batch{Revision: 12, Changes: []rwfeed.Change{change("a", 3)}}, 300))
	require.Equal(t, map[string]int64{"a": 4, "b": 10}, r.snapshot())
	require.True(t, cache.Update(rwfeed.Batch{Revision: 13, Snapshot: true, Changes: []rwfeed.Change{change("b", 10)}}, 400))
	require.Equal(t, map[string]int64{"b": 10}, r.snapshot(), "an object missing from a full list must be removed")
}

// script is a Source that answers calls with the given steps in order, then blocks.
type script struct {
	mu    sync.Mutex
	steps []func(list bool, revision int64) (rwfeed.Batch, error)
	calls []bool // true for a list, false for a watch
}

func (s *script) next(ctx context.Context, list bool, revision int64) (rwfeed.Batch, error) {
	s.mu.Lock()
	s.calls = append(s.calls, list)
	if len(s.steps) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return rwfeed.Batch{}, ctx.Err()
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	return step(list, revision)
}

func (s *script) List(ctx context.Context) (rwfeed.Batch, error) { return s.next(ctx, true, 0) }

func (s *script) Watch(ctx context.Context, revision int64, _ time.Duration) (rwfeed.Batch, error) {
	return s.next(ctx, false, revision)
}

func answer(b rwfeed.Batch) func(bool, int64) (rwfeed.Batch, error) {
	return func(bool, int64) (rwfeed.Batch, error) { return b, nil }
}

func fail(err error) func(bool, int64) (rwfeed.Batch, error) {
	return func(bool, int64) (rwfeed.Batch, error) { return rwfeed.Batch{}, err }
}

func runWatcher(t *testing.T, s *script, r *recorder, duration time.Duration) *rwfeed.Watcher {
	t.Helper()
	w := &rwfeed.Watcher{Cache: newCache(r), Source: s, ShouldWatch: func() bool { return true }, WatchWait: time.Second, Availability: &rwfeed.Availability{}, Log: logr.Discard()}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	w.Run(ctx)
	return w
}

// TestWatcherListsAgain checks that the watcher lists again when the store no longer
// has the changes since its revision.
func TestWatcherListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recorder
		s := &script{steps: []func(bool, int64) (rwfeed.Batch, error){
			answer(rwfeed.Batch{Revision: 5, Snapshot: true, Changes: []rwfeed.Change{change("a", 5)}}),
			fail(rwerror.New(rwerror.KindConflict, "list", "gone")),
			answer(rwfeed.Batch{Revision: 9, Snapshot: true, Changes: []rwfeed.Change{change("b", 9)}}),
		}}
		runWatcher(t, s, &r, time.Second)
		require.Equal(t, []bool{true, false, true, false}, s.calls)
		require.Equal(t, map[string]int64{"b": 9}, r.snapshot())
	})
}

// TestWatcherOutage checks that the watcher keeps calling during an outage of the
// store and records when the store recovered.
func TestWatcherOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failedAt rwtime.BootTime
		var r recorder
		unreachable := func(bool, int64) (rwfeed.Batch, error) {
			failedAt = rwtime.Now()
			return rwfeed.Batch{}, errors.New("connection refused")
		}
		s := &script{steps: []func(bool, int64) (rwfeed.Batch, error){
			answer(rwfeed.Batch{Revision: 5, Snapshot: true}), unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, answer(rwfeed.Batch{Revision: 5}),
		}}
		w := runWatcher(t, s, &r, time.Minute)
		require.Greater(t, w.Availability.Span().Since, failedAt, "the store answered again after the last failure")
		require.Greater(t, len(s.calls), 8)
	})
}

// TestServersListedAgain checks that servers whose entries expired during an outage of the
// store are kept until they have had time to be listed again. Without an outage, a
// server is removed at once.
func TestServersListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := rwbackend.NewDirectory("self")
		var recoveredAt atomic.Value // time.Time
		recoveredAt.Store(time.Time{})
		s := &rwfeed.ServerList{
			Directory: d, StoreRecoveredAt: func() time.Time { return recoveredAt.Load().(time.Time) }, Log: logr.Discard(),
			Age: func() (time.Duration, bool) { return 0, true },
			Decode: func(name string, _ json.RawMessage) (rwbackend.Entry, error) {
				return rwbackend.Entry{ID: name, Service: "m", Address: name, Incarnation: 1}, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		deletion := func(name string) rwfeed.Batch {
			return rwfeed.Batch{Changes: []rwfeed.Change{{Name: name, Deleted: true}}}
		}
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("a", 1), change("b", 1), change("c", 1)}})
		s.Apply(deletion("a"))
		require.ElementsMatch(t, []string{"b", "c"}, d.IDs())
		recoveredAt.Store(time.Now())
		s.Apply(deletion("b"))
		s.Apply(deletion("c"))
		require.Len(t, d.IDs(), 2, "servers must be kept: their entries may have expired because of the outage")
		time.Sleep(time.Second)
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("b", 2)}})
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"b"}, d.IDs(), "a server that was not listed again must be removed")
		cancel()
		synctest.Wait()
	})
}

// TestUnlistedServer checks that servers that restart during an outage of the store are used
// before the store lists them, until a list confirmed late enough still lacks them.
func TestUnlistedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := rwbackend.NewDirectory("self")
		var confirmed atomic.Value // time.Time
		confirmed.Store(time.Now())
		s := &rwfeed.ServerList{
			Directory: d, Log: logr.Discard(),
			StoreRecoveredAt: func() time.Time { return time.Time{} },
			Age:              func() (time.Duration, bool) { return time.Since(confirmed.Load().(time.Time)), true },
			Decode: func(name string, _ json.RawMessage) (rwbackend.Entry, error) {
				return rwbackend.Entry{ID: name, Service: "m", Address: name, Incarnation: 1}, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		addUnlisted := func(id string) error {
			return s.AddUnlisted(rwbackend.Entry{ID: id, Service: "m", Address: "a", Incarnation: 2})
		}
		require.Error(t, addUnlisted("early"), "no list was received yet")
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("a", 1), change("b", 1)}})
		require.NoError(t, addUnlisted("next"))
		require.Error(t, addUnlisted("next"), "the server is already known")
		require.ElementsMatch(t, []string{"next", "b"}, d.IDs(), "a server must replace the older one with the same address")
		time.Sleep(time.Minute)
		require.Contains(t, d.IDs(), "next", "must be kept while the store is unreachable")
		confirmed.Store(time.Now())
		time.Sleep(time.Second)
		require.NotContains(t, d.IDs(), "next", "must be removed: a newer list lacks it")
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{{Name: "b", Deleted: true}}})
		require.Error(t, addUnlisted("b"), "only the list may add a removed server again")
		require.NoError(t, addUnlisted("other"))
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("other", 2)}})
		confirmed.Store(time.Now().Add(time.Minute))
		time.Sleep(2 * time.Minute)
		require.Contains(t, d.IDs(), "other", "must be kept: it is listed now")
		cancel()
		synctest.Wait()
	})
}

// TestServersRunDeadlock guards against a deadlock between Run, which asks the cache for its
// age, and the cache, which calls Apply with its own lock held (soak test, seed 8203).
func TestServersRunDeadlock(t *testing.T) {
	s := &rwfeed.ServerList{Directory: rwbackend.NewDirectory("self"), Log: logr.Discard(), StoreRecoveredAt: func() time.Time { return time.Time{} }}
	ageCalled := make(chan struct{})
	var once sync.Once
	s.Age = func() (time.Duration, bool) {
		s.Apply(rwfeed.Batch{}) // as the cache does while holding its lock
		once.Do(func() { close(ageCalled) })
		return 0, true
	}
	go s.Run(t.Context())
	select {
	case <-ageCalled:
	case <-time.After(10 * time.Second):
		require.Fail(t, "deadlock between Run and Apply")
	}
}

// TestSettings checks that invalid, older and deleted settings leave the current ones
// in place.
func TestSettings(t *testing.T) {
	s := &rwfeed.Settings{Log: logr.Discard(), Decode: func(_ string, spec json.RawMessage) (*rwroute.Table, error) {
		var version int64
		err := json.Unmarshal(spec, &version)
		return rwroute.New(rwroute.Parts{Version: version}), err
	}}
	apply := func(revision int64, spec string) {
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{{Name: "main", Revision: revision, Spec: json.RawMessage(spec)}}})
	}
	require.Nil(t, s.Table())
	apply(1, "7")
	apply(2, `"no number"`)
	require.Equal(t, int64(7), s.Table().Version)
	apply(1, "6")
	require.Equal(t, int64(7), s.Table().Version)
	s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{{Name: "main", Revision: 3, Deleted: true}}})
	require.Equal(t, int64(7), s.Table().Version)
}

// TestFollowAfterStart guards against a follower that stays with a peer that has the
// settings but not yet the servers, as when all instances start at once. It must go on
// to a peer that has both.
func TestFollowAfterStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	start := func(hasSettings, hasServers bool) string {
		address := rwloopback.Address()
		caches := []*rwfeed.Cache{newCache(&recorder{}), newCache(&recorder{})}
		caches[1].Kind = "servers"
		for n, known := range []bool{hasSettings, hasServers} {
			if known {
				caches[n].Update(rwfeed.Batch{Revision: 3, Snapshot: true, Changes: []rwfeed.Change{change("a", 3)}}, rwtime.Now())
			}
		}
		server := &rwfeed.PeerServer{Address: address, Caches: caches, Log: logr.Discard()}
		wg.Go(func() { server.Run(ctx) })
		wg.Go(func() {
			rwtime.Every(ctx, 100*time.Millisecond, func() { caches[0].Update(rwfeed.Batch{Revision: 3}, rwtime.Now()) })
		})
		return address
	}
	peers := []string{start(true, false), start(true, true)}
	for _, address := range peers {
		require.Eventually(t, func() bool {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		}, 10*time.Second, 5*time.Millisecond)
	}
	var applied recorder
	settings, servers := newCache(&recorder{}), newCache(&applied)
	servers.Kind, servers.IgnoreAge = "servers", true
	follower := &rwfeed.Follower{Caches: []*rwfeed.Cache{settings, servers}, Peers: func() []string { return peers }, Log: logr.Discard()}
	wg.Go(func() { follower.Run(ctx) })
	require.Eventually(t, func() bool { return applied.snapshot()["a"] == 3 }, 10*time.Second, 5*time.Millisecond)
}

// TestFollowStalePeer guards against a watcher that keeps polling a peer that has
// nothing newer, when several watchers lose responses of the store at once. It must go
// on to a peer that has newer contents (run hunt-af79-43).
func TestFollowStalePeer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	old := rwfeed.Batch{Revision: 3, Snapshot: true, Changes: []rwfeed.Change{change("a", 3)}}
	start := func(newer bool) string {
		address := rwloopback.Address()
		cache := newCache(&recorder{})
		cache.Update(old, rwtime.Now()-rwtime.BootTime(2*time.Second))
		if newer {
			cache.Update(rwfeed.Batch{Revision: 4, Changes: []rwfeed.Change{change("a", 4)}}, rwtime.Now())
		}
		server := &rwfeed.PeerServer{Address: address, Caches: []*rwfeed.Cache{cache}, Log: logr.Discard()}
		wg.Go(func() { server.Run(ctx) })
		return address
	}
	peers := []string{start(false), start(true)}
	for _, address := range peers {
		require.Eventually(t, func() bool {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		}, 10*time.Second, 5*time.Millisecond)
	}
	var applied recorder
	local := newCache(&applied)
	local.Update(old, rwtime.Now()-rwtime.BootTime(2*time.Second))
	stale := func() bool {
		age, _ := local.Age()
		return age > time.Second
	}
	follower := &rwfeed.Follower{Caches: []*rwfeed.Cache{local}, Peers: func() []string { return peers }, NoWait: stale, Log: logr.Discard()}
	wg.Go(func() { follower.Run(ctx) })
	require.Eventually(t, func() bool { return applied.snapshot()["a"] == 4 }, 10*time.Second, 5*time.Millisecond)
}

// TestFollowPeer checks that a follower gets changes and deletions from a peer, and
// that the age of the contents at the peer is counted.
func TestFollowPeer(t *testing.T) {
	address := rwloopback.Address()
	var localApplied, remoteApplied recorder
	remote, local := newCache(&remoteApplied), newCache(&localApplied)
	server := &rwfeed.PeerServer{Address: address, Caches: []*rwfeed.Cache{remote}, Log: logr.Discard()}
	follower := &rwfeed.Follower{Caches: []*rwfeed.Cache{local}, Peers: func() []string { return []string{address} }, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { server.Run(ctx) })
	wg.Go(func() { follower.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	const timeout, tick = 10 * time.Second, 5 * time.Millisecond

	remote.Update(rwfeed.Batch{Revision: 3, Snapshot: true, Changes: []rwfeed.Change{change("a", 3)}}, rwtime.Now()-rwtime.BootTime(time.Second))
	require.Eventually(t, func() bool { return localApplied.snapshot()["a"] == 3 }, timeout, tick)
	age, known := local.Age()
	require.True(t, known)
	require.GreaterOrEqual(t, age, time.Second, "the age must include the age at the peer")
	remote.Update(rwfeed.Batch{Revision: 4, Changes: []rwfeed.Change{{Name: "a", Revision: 4, Deleted: true}, change("b", 4)}}, rwtime.Now())
	require.Eventually(t, func() bool { return len(localApplied.snapshot()) == 1 && localApplied.snapshot()["b"] == 4 }, timeout, tick)
	require.True(t, follower.Following())
}
