package rwduty

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

const waitTimeout = 10 * time.Second

// memoryStore is a store of one object.
type memoryStore struct {
	mu      sync.Mutex
	reading Reading
}

func (s *memoryStore) Read(context.Context) (Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading, nil
}

func (s *memoryStore) Write(_ context.Context, at rwfeed.Position, r Record) (rwfeed.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at != s.reading.Position {
		return rwfeed.Position{}, rwerror.New(rwerror.KindConflict, "", "changed")
	}
	s.reading = Reading{Position: rwfeed.Position{Revision: at.Revision + 1}, Record: r}
	return s.reading.Position, nil
}

// AnnounceDuty implements Announcer.
func (s *memoryStore) AnnounceDuty(Announcement) {}

// heldLease returns a lease that is held, its store and what moves its clock.
func heldLease(t *testing.T) (*Lease, *memoryStore, *atomic.Int64) {
	t.Helper()
	store, ahead := &memoryStore{}, &atomic.Int64{}
	l := &Lease{
		Self: "a", Rules: NewRules(300 * time.Millisecond), Store: store, Announcer: store, Rank: func(string) int { return 0 },
		Eligible: func() bool { return true }, Count: func(string) {}, Log: logr.Discard(),
		clock: func() rwtime.BootTime { return rwtime.Now() + rwtime.BootTime(ahead.Load()) },
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	require.Eventually(t, func() bool { _, ok := l.Current(); return ok }, waitTimeout, time.Millisecond)
	return l, store, ahead
}

// TestCallEnds guards against calls that go on after the right to call has ended.
func TestCallEnds(t *testing.T) {
	for name, end := range map[string]func(l *Lease, g Grant, ahead *atomic.Int64){
		"time over":  func(*Lease, Grant, *atomic.Int64) {},
		"suspension": func(_ *Lease, _ Grant, ahead *atomic.Int64) { ahead.Add(int64(time.Hour)) },
		"refused":    func(l *Lease, g Grant, _ *atomic.Int64) { l.Refused(g) },
		"another holder": func(l *Lease, g Grant, _ *atomic.Int64) {
			l.Heard(Announcement{Holder: "b", Fence: g.Fence + 1, Revision: 1 << 40})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, _, ahead := heldLease(t)
			ctx, g, done, ok := l.Context(t.Context())
			require.True(t, ok)
			end(l, g, ahead)
			select {
			case <-ctx.Done():
			case <-time.After(waitTimeout):
				require.Fail(t, "the call goes on")
			}
			done(context.Cause(ctx))
		})
	}
}

// TestReleaseWaits guards against a lease that is given up while a call runs or is on its way.
func TestReleaseWaits(t *testing.T) {
	t.Parallel()
	l, store, _ := heldLease(t)
	_, g, done, ok := l.Context(t.Context())
	require.True(t, ok)
	released := make(chan struct{})
	go func() {
		l.Release(t.Context())
		close(released)
	}()
	require.Eventually(t, func() bool { _, ok := l.Current(); return !ok }, waitTimeout, time.Millisecond)
	err := l.Call(t.Context(), func(context.Context, Grant) error { return nil })
	require.True(t, rwerror.Is(err, rwerror.KindUnavailable))
	r, _ := store.Read(t.Context())
	require.False(t, r.Record.Free)
	ended := time.Now()
	done(rwerror.New(rwerror.KindUnavailable, "", "no answer").WithRan(rwerror.RanUnknown))
	<-released
	require.GreaterOrEqual(t, time.Since(ended), l.Rules.Length-l.Rules.Hold)
	r, _ = store.Read(t.Context())
	require.True(t, r.Record.Free)
	require.Equal(t, g.Fence, r.Record.Fence)
}

// TestCallRefused checks that a refused call raises the number.
func TestCallRefused(t *testing.T) {
	t.Parallel()
	l, _, _ := heldLease(t)
	refused := int64(0)
	err := l.Call(t.Context(), func(_ context.Context, g Grant) error {
		refused = g.Fence
		return rwerror.New(rwerror.KindConflict, "", "outdated")
	})
	require.True(t, rwerror.Is(err, rwerror.KindConflict))
	require.Eventually(t, func() bool { g, ok := l.Current(); return ok && g.Fence > refused }, waitTimeout, time.Millisecond)
}
