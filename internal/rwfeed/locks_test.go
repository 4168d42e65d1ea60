package rwfeed_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
)

// gate blocks the first call of the callback with a name until it is opened.
type gate struct {
	name    string
	once    sync.Once
	entered chan struct{}
	open    chan struct{}
}

func newGate(name string) *gate {
	return &gate{name: name, entered: make(chan struct{}), open: make(chan struct{})}
}

func (g *gate) pass(name string) {
	if name != g.name {
		return
	}
	g.once.Do(func() {
		close(g.entered)
		<-g.open
	})
}

// gatedSource answers with one server, and fails each second watch.
type gatedSource struct {
	gate     *gate
	revision int64
}

func (s *gatedSource) List(context.Context) (rwfeed.Batch, error) {
	s.gate.pass("List")
	s.revision++
	return rwfeed.Batch{Revision: s.revision, Snapshot: true, Changes: []rwfeed.Change{change("s0", s.revision)}}, nil
}

func (s *gatedSource) Watch(context.Context, int64, time.Duration) (rwfeed.Batch, error) {
	s.gate.pass("Watch")
	s.revision++
	if s.revision%2 == 0 {
		return rwfeed.Batch{}, rwerror.New(rwerror.KindUnavailable, "try again", "the store is away")
	}
	return rwfeed.Batch{Revision: s.revision, Changes: []rwfeed.Change{{Name: "s0", Revision: s.revision, Deleted: s.revision%4 == 1, Spec: json.RawMessage(`{}`)}}}, nil
}

// gatedFeed is the list of servers as an instance keeps it up to date, with a gate at the
// functions that are given to it.
type gatedFeed struct {
	cache   *rwfeed.Cache
	watcher *rwfeed.Watcher
	list    *rwfeed.ServerList

	availability rwfeed.Availability
}

func newGatedFeed(g *gate) *gatedFeed {
	log := funcr.New(func(_, line string) {
		if strings.Contains(line, "store call failed") {
			g.pass("Log")
		}
	}, funcr.Options{})
	f := &gatedFeed{}
	f.list = &rwfeed.ServerList{
		Directory: rwbackend.NewDirectory("self"), Log: logr.Discard(),
		Decode: func(name string, _ json.RawMessage) (rwbackend.Entry, error) {
			g.pass("Decode")
			return rwbackend.Entry{ID: name, Service: "model", Address: "a"}, nil
		},
		StoreRecoveredAt: func() time.Time {
			g.pass("StoreRecoveredAt")
			return f.availability.RecoveredAt()
		},
		Age: func() (time.Duration, bool) {
			g.pass("Age")
			return f.cache.Age()
		},
	}
	f.cache = &rwfeed.Cache{Kind: "servers", Log: logr.Discard(), Apply: func(b rwfeed.Batch) {
		g.pass("Apply")
		f.list.Apply(b)
	}}
	f.watcher = &rwfeed.Watcher{
		Cache: f.cache, Source: &gatedSource{gate: g}, WatchWait: time.Millisecond, Log: log,
		ShouldWatch: func() bool { g.pass("ShouldWatch"); return true },
		Backoff:     func() time.Duration { g.pass("Backoff"); return 0 },
		Count:       func(string) { g.pass("Count") }, Availability: &f.availability,
	}
	return f
}

// TestCallbacksHoldNoLock guards against an instance that answers nothing any more because
// two goroutines wait for each other's lock: while each function that is given to the package
// runs, all that a request or a readiness check reads must still return.
func TestCallbacksHoldNoLock(t *testing.T) {
	const timeout = 5 * time.Second
	for _, name := range []string{"Apply", "Decode", "StoreRecoveredAt", "Age", "List", "Watch", "ShouldWatch", "Backoff", "Count", "Log"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGate(name)
			f := newGatedFeed(g)
			ctx, cancel := context.WithCancel(context.Background())
			var work sync.WaitGroup
			work.Go(func() { f.watcher.Run(ctx) })
			work.Go(func() { f.list.Run(ctx) })
			select {
			case <-g.entered:
			case <-time.After(timeout):
				t.Fatal("the callback was not called")
			}
			returned := make(chan struct{})
			go func() {
				f.cache.Age()
				f.cache.Position()
				f.watcher.Current()
				f.watcher.Failing()
				f.availability.RecoveredAt()
				_ = f.list.AddUnlisted(rwbackend.Entry{ID: "s1"})
				close(returned)
			}()
			select {
			case <-returned:
			case <-time.After(timeout):
				t.Error("a method waits for a lock that is held while the callback runs")
			}
			close(g.open)
			cancel()
			work.Wait()
		})
	}
}

// TestWatchFailsDuringUpdate guards against two locks that are taken in either order: by a
// watch that fails, and by an update from another instance at the same moment.
func TestWatchFailsDuringUpdate(t *testing.T) {
	g := newGate("")
	f := newGatedFeed(g)
	require.True(t, f.cache.Update(rwfeed.Batch{Revision: 1, Snapshot: true, Changes: []rwfeed.Change{change("s0", 1)}}, rwtime.Now()))
	g.name = "StoreRecoveredAt"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := failingSource{called: make(chan struct{}, 100), fail: make(chan struct{})}
	f.watcher.Source = source
	go f.watcher.Run(ctx)
	<-source.called
	updated := make(chan bool)
	go func() {
		updated <- f.cache.Update(rwfeed.Batch{Revision: 2, Snapshot: true}, rwtime.Now()) // s0 was removed
	}()
	<-g.entered
	close(source.fail)
	time.Sleep(100 * time.Millisecond) // the watcher records the failure
	close(g.open)
	select {
	case ok := <-updated:
		require.True(t, ok)
	case <-time.After(5 * time.Second):
		t.Fatal("the update and the watcher wait for each other")
	}
	require.Eventually(t, f.watcher.Failing, 5*time.Second, time.Millisecond)
}

// failingSource fails each call once fail is closed.
type failingSource struct{ called, fail chan struct{} }

func (s failingSource) List(context.Context) (rwfeed.Batch, error) {
	s.called <- struct{}{}
	<-s.fail
	return rwfeed.Batch{}, rwerror.New(rwerror.KindUnavailable, "try again", "the store is away")
}

func (s failingSource) Watch(ctx context.Context, _ int64, _ time.Duration) (rwfeed.Batch, error) {
	return s.List(ctx)
}
