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
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

func change(name string, revision int64) rwfeed.Change {
	return rwfeed.Change{Name: name, Revision: revision, Spec: json.RawMessage(`{}`)}
}

// recorder is what a Held applied.
type recorder struct {
	mu   sync.Mutex
	have map[string]int64
}

func (r *recorder) apply(b rwfeed.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.have == nil {
		r.have = map[string]int64{}
	}
	for _, c := range b.Changes {
		if c.Gone {
			delete(r.have, c.Name)
		} else {
			r.have[c.Name] = c.Revision
		}
	}
}

func (r *recorder) now() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int64{}
	for k, v := range r.have {
		out[k] = v
	}
	return out
}

func newHeld(r *recorder) *rwfeed.Held {
	return &rwfeed.Held{Kind: "k", Apply: r.apply, Log: logr.Discard()}
}

// TestHeldNeverGoesBack: a stale list, a lagging peer and a repeated batch change
// nothing and confirm nothing.
func TestHeldNeverGoesBack(t *testing.T) {
	var r recorder
	h := newHeld(&r)
	require.True(t, h.Offer(rwfeed.Batch{Revision: 10, Whole: true, Changes: []rwfeed.Change{change("a", 4), change("b", 10)}}, 100))
	require.False(t, h.Offer(rwfeed.Batch{Revision: 9, Whole: true, Changes: []rwfeed.Change{change("a", 3)}}, 200))
	require.True(t, h.Offer(rwfeed.Batch{Revision: 12, Changes: []rwfeed.Change{change("a", 3)}}, 300))
	require.Equal(t, map[string]int64{"a": 4, "b": 10}, r.now())
	require.True(t, h.Offer(rwfeed.Batch{Revision: 13, Whole: true, Changes: []rwfeed.Change{change("b", 10)}}, 400))
	require.Equal(t, map[string]int64{"b": 10}, r.now(), "what a whole list lacks is gone")
}

// script answers calls of a watcher one after the other.
type script struct {
	mu    sync.Mutex
	steps []func(list bool, revision int64) (rwfeed.Batch, error)
	calls []bool // whether it was a list
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

func watch(t *testing.T, s *script, r *recorder, length time.Duration) *rwfeed.Watcher {
	t.Helper()
	w := &rwfeed.Watcher{Held: newHeld(r), Source: s, Task: func() bool { return true }, Wait: time.Second, Log: logr.Discard()}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	w.Run(ctx)
	return w
}

// TestWatcherHistoryGone: when the store has dropped its history, the list is
// read anew.
func TestWatcherHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recorder
		s := &script{steps: []func(bool, int64) (rwfeed.Batch, error){
			answer(rwfeed.Batch{Revision: 5, Whole: true, Changes: []rwfeed.Change{change("a", 5)}}),
			fail(rwerror.New(rwerror.KindConflict, "list", "gone")),
			answer(rwfeed.Batch{Revision: 9, Whole: true, Changes: []rwfeed.Change{change("b", 9)}}),
		}}
		watch(t, s, &r, time.Second)
		require.Equal(t, []bool{true, false, true, false}, s.calls)
		require.Equal(t, map[string]int64{"b": 9}, r.now())
	})
}

// TestWatcherOutage: while the store is away the state grows old; when it is
// back that is known at once.
func TestWatcherOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recorder
		away := fail(errors.New("connection refused"))
		s := &script{steps: []func(bool, int64) (rwfeed.Batch, error){
			answer(rwfeed.Batch{Revision: 5, Whole: true}), away, away, away, away, away, away, away, answer(rwfeed.Batch{Revision: 5}),
		}}
		w := watch(t, s, &r, time.Minute)
		require.False(t, w.Regained().IsZero())
		require.Greater(t, len(s.calls), 8)
	})
}

// TestServersReturn: entries that lapsed while the store was away stay in use
// until they have had time to come back; others go at once.
func TestServersReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := rwbackend.NewDirectory("self")
		var regained time.Time
		s := &rwfeed.Servers{
			Directory: d, Regained: func() time.Time { return regained }, Log: logr.Discard(),
			Age: func() (time.Duration, bool) { return 0, true },
			Decode: func(name string, _ json.RawMessage) (rwbackend.Entry, error) {
				return rwbackend.Entry{ID: name, Service: "m", Address: name, Incarnation: 1}, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		gone := func(name string) rwfeed.Batch {
			return rwfeed.Batch{Changes: []rwfeed.Change{{Name: name, Gone: true}}}
		}
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("a", 1), change("b", 1), change("c", 1)}})
		s.Apply(gone("a"))
		require.ElementsMatch(t, []string{"b", "c"}, d.IDs())
		regained = time.Now()
		s.Apply(gone("b"))
		s.Apply(gone("c"))
		require.Len(t, d.IDs(), 2, "they may only have lapsed")
		time.Sleep(time.Second)
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("b", 2)}})
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"b"}, d.IDs(), "what has not come back is gone")
		cancel()
		synctest.Wait()
	})
}

// TestAdopt answers the load of servers that start again while the store is away:
// they are used unlisted, until a list that could know of them lacks them.
func TestAdopt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := rwbackend.NewDirectory("self")
		var confirmed atomic.Value // time.Time
		confirmed.Store(time.Now())
		s := &rwfeed.Servers{
			Directory: d, Log: logr.Discard(),
			Regained: func() time.Time { return time.Time{} },
			Age:      func() (time.Duration, bool) { return time.Since(confirmed.Load().(time.Time)), true },
			Decode: func(name string, _ json.RawMessage) (rwbackend.Entry, error) {
				return rwbackend.Entry{ID: name, Service: "m", Address: name, Incarnation: 1}, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		adopt := func(id string) error {
			return s.Adopt(rwbackend.Entry{ID: id, Service: "m", Address: "a", Incarnation: 2})
		}
		require.Error(t, adopt("early"), "before any list")
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("a", 1), change("b", 1)}})
		require.NoError(t, adopt("next"))
		require.Error(t, adopt("next"), "twice")
		require.ElementsMatch(t, []string{"next", "b"}, d.IDs(), "it has taken the address")
		time.Sleep(time.Minute)
		require.Contains(t, d.IDs(), "next", "the store is away")
		confirmed.Store(time.Now())
		time.Sleep(time.Second)
		require.NotContains(t, d.IDs(), "next", "the store does not know it")
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{{Name: "b", Gone: true}}})
		require.Error(t, adopt("b"), "what was taken out comes back by the list alone")
		require.NoError(t, adopt("other"))
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("other", 2)}})
		confirmed.Store(time.Now().Add(time.Minute))
		time.Sleep(2 * time.Minute)
		require.Contains(t, d.IDs(), "other", "it is listed now")
		cancel()
		synctest.Wait()
	})
}

// TestListAsked: the list is asked for its age while a change of it may be on its way
// in. Both waited for each other for ever: seed 8203 of the soak.
func TestListAsked(t *testing.T) {
	s := &rwfeed.Servers{Directory: rwbackend.NewDirectory("self"), Log: logr.Discard(), Regained: func() time.Time { return time.Time{} }}
	asked := make(chan struct{})
	var once sync.Once
	s.Age = func() (time.Duration, bool) {
		s.Apply(rwfeed.Batch{}) // as the list does, with its own lock held
		once.Do(func() { close(asked) })
		return 0, true
	}
	go s.Run(t.Context())
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the list and its reader wait for each other")
	}
}

// TestSettings: a state that can't be read leaves the last good one in force.
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
	s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{{Name: "main", Revision: 3, Gone: true}}})
	require.Equal(t, int64(7), s.Table().Version)
}

func free(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// TestFollowAfterStart answers the load of all instances starting at once: a peer
// that knows the settings but not yet the servers is left for one that knows both.
func TestFollowAfterStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	start := func(state, servers bool) string {
		address := free(t)
		held := []*rwfeed.Held{newHeld(&recorder{}), newHeld(&recorder{})}
		held[1].Kind = "servers"
		for n, known := range []bool{state, servers} {
			if known {
				held[n].Offer(rwfeed.Batch{Revision: 3, Whole: true, Changes: []rwfeed.Change{change("a", 3)}}, rwtime.Now())
			}
		}
		server := &rwfeed.Server{Address: address, Held: held, Log: logr.Discard()}
		work.Go(func() { server.Run(ctx) })
		work.Go(func() {
			rwtime.Every(ctx, 100*time.Millisecond, func() { held[0].Offer(rwfeed.Batch{Revision: 3}, rwtime.Now()) })
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
	var got recorder
	state, servers := newHeld(&recorder{}), newHeld(&got)
	servers.Kind, servers.Slow = "servers", true
	follower := &rwfeed.Follower{Held: []*rwfeed.Held{state, servers}, Peers: func() []string { return peers }, Log: logr.Discard()}
	work.Go(func() { follower.Run(ctx) })
	require.Eventually(t, func() bool { return got.now()["a"] == 3 }, 10*time.Second, 5*time.Millisecond)
}

// TestFollowInTrouble answers the load of answers that the store loses for several
// watchers at once: one of them asks the others, and does not wait at one that knows
// no more than itself. hunt-af79-43 of Amman.
func TestFollowInTrouble(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	old := rwfeed.Batch{Revision: 3, Whole: true, Changes: []rwfeed.Change{change("a", 3)}}
	start := func(newer bool) string {
		address := free(t)
		held := newHeld(&recorder{})
		held.Offer(old, rwtime.Now()-rwtime.Boot(2*time.Second))
		if newer {
			held.Offer(rwfeed.Batch{Revision: 4, Changes: []rwfeed.Change{change("a", 4)}}, rwtime.Now())
		}
		server := &rwfeed.Server{Address: address, Held: []*rwfeed.Held{held}, Log: logr.Discard()}
		work.Go(func() { server.Run(ctx) })
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
	var got recorder
	here := newHeld(&got)
	here.Offer(old, rwtime.Now()-rwtime.Boot(2*time.Second))
	behind := func() bool {
		age, _ := here.Age()
		return age > time.Second
	}
	follower := &rwfeed.Follower{Held: []*rwfeed.Held{here}, Peers: func() []string { return peers }, Hurry: behind, Log: logr.Discard()}
	work.Go(func() { follower.Run(ctx) })
	require.Eventually(t, func() bool { return got.now()["a"] == 4 }, 10*time.Second, 5*time.Millisecond)
}

// TestFollowPeer: an instance follows another one; what it gets is as old as it
// is there.
func TestFollowPeer(t *testing.T) {
	address := free(t)
	var near, far recorder
	there, here := newHeld(&far), newHeld(&near)
	server := &rwfeed.Server{Address: address, Held: []*rwfeed.Held{there}, Log: logr.Discard()}
	follower := &rwfeed.Follower{Held: []*rwfeed.Held{here}, Peers: func() []string { return []string{address} }, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { server.Run(ctx) })
	work.Go(func() { follower.Run(ctx) })
	defer work.Wait()
	defer cancel()
	const bound, tick = 10 * time.Second, 5 * time.Millisecond

	there.Offer(rwfeed.Batch{Revision: 3, Whole: true, Changes: []rwfeed.Change{change("a", 3)}}, rwtime.Now()-rwtime.Boot(time.Second))
	require.Eventually(t, func() bool { return near.now()["a"] == 3 }, bound, tick)
	age, known := here.Age()
	require.True(t, known)
	require.GreaterOrEqual(t, age, time.Second, "a hop makes nothing younger")
	there.Offer(rwfeed.Batch{Revision: 4, Changes: []rwfeed.Change{{Name: "a", Revision: 4, Gone: true}, change("b", 4)}}, rwtime.Now())
	require.Eventually(t, func() bool { return len(near.now()) == 1 && near.now()["b"] == 4 }, bound, tick)
	require.True(t, follower.Following())
}
