package rwforward_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwforward"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// listingEngines are model servers that only list their cached prompts.
type listingEngines struct {
	rwforward.EngineClient
	held        map[string][]string      // by address
	delay       map[string]time.Duration // by address
	incarnation int64
	calls       atomic.Int64
}

func (l *listingEngines) ListPromptParts(ctx context.Context, server string) (int64, []string, error) {
	l.calls.Add(1)
	select {
	case <-time.After(l.delay[server]):
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
	if l.held[server] == nil {
		return 0, nil, errors.New("server unreachable")
	}
	return l.incarnation, l.held[server], nil
}

func newFinder(servers int, l *listingEngines) *rwforward.HolderFinder {
	d := rwbackend.NewDirectory("self")
	for n := range servers {
		d.Put(rwbackend.Entry{ID: fmt.Sprint("s", n), Service: "model", Address: fmt.Sprint("a", n), Slots: 12, Incarnation: 1})
	}
	return &rwforward.HolderFinder{Engines: l, Directory: d, Log: logr.Discard()}
}

// TestFind checks the search for cached prompts when all instances were lost and all
// their callers reconnect at once. Without limits every caller would query every server.
func TestFind(t *testing.T) {
	t.Run("all callers share one search", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const servers, callers = 40, 60
			l := &listingEngines{held: map[string][]string{}, delay: map[string]time.Duration{}, incarnation: 1}
			for n := range servers {
				address := fmt.Sprint("a", n)
				l.held[address], l.delay[address] = []string{fmt.Sprint("part", n), "shared"}, 20*time.Millisecond
			}
			f := newFinder(servers, l)
			found := make([][]string, callers)
			var work sync.WaitGroup
			for n := range callers {
				work.Go(func() { found[n] = f.Find(t.Context(), "model", fmt.Sprint("part", n%servers)) })
			}
			work.Wait()
			time.Sleep(time.Second / 2)
			for n := range callers {
				require.Equal(t, []string{fmt.Sprint("s", n%servers)}, found[n])
			}
			require.EqualValues(t, servers, l.calls.Load())
			require.Empty(t, f.Find(t.Context(), "model", "nowhere"))
			require.EqualValues(t, servers, l.calls.Load(), "servers queried again within a second")
			time.Sleep(time.Second)
			require.Empty(t, f.Find(t.Context(), "model", "nowhere"))
			require.EqualValues(t, 2*servers, l.calls.Load())
		})
	})
	t.Run("searches are limited per burst", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := &listingEngines{held: map[string][]string{"a0": {"x"}}}
			f := newFinder(1, l)
			for range 9 {
				require.Empty(t, f.Find(t.Context(), "model", "nowhere"))
				time.Sleep(1100 * time.Millisecond)
			}
			require.EqualValues(t, 3, l.calls.Load())
			time.Sleep(10 * time.Second)
			require.Empty(t, f.Find(t.Context(), "model", "nowhere"))
			require.EqualValues(t, 4, l.calls.Load(), "a search after the burst window is allowed")
		})
	})
	t.Run("large services are not searched", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := &listingEngines{}
			require.Empty(t, newFinder(3000, l).Find(t.Context(), "model", "x"))
			require.Zero(t, l.calls.Load())
		})
	})
	t.Run("a slow server does not delay callers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := &listingEngines{held: map[string][]string{"a0": {"x"}, "a1": {"y"}}, delay: map[string]time.Duration{"a1": time.Minute}}
			f := newFinder(2, l)
			began := time.Now()
			require.Equal(t, []string{"s0"}, f.Find(t.Context(), "model", "x"))
			require.Zero(t, time.Since(began))
			require.Empty(t, f.Find(t.Context(), "model", "y"))
			require.Less(t, time.Since(began), 200*time.Millisecond)
			time.Sleep(time.Second)
		})
	})
	t.Run("prompts of another incarnation are ignored", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := &listingEngines{held: map[string][]string{"a0": {"x"}}, incarnation: 2}
			require.Empty(t, newFinder(1, l).Find(t.Context(), "model", "x"))
			time.Sleep(time.Second)
		})
	})
	t.Run("a server lost after it was queried holds nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFinder(1, &listingEngines{held: map[string][]string{"a0": {"x"}}})
			require.NotEmpty(t, f.Find(t.Context(), "model", "x"))
			time.Sleep(time.Millisecond)
			f.Directory.RecordLoss("s0")
			require.Empty(t, f.Directory.ServersHolding("model", "x"))
		})
	})
}
