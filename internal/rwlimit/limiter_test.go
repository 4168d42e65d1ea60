package rwlimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwlimit"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// alone is the connection of an instance that knows no other.
type alone struct{}

func (alone) Rank(string) []string             { return []string{"self"} }
func (alone) Ask(string, rwlimit.Ask)          {}
func (alone) AnnounceLimits([]rwlimit.Finding) {}
func (alone) AskHeard([]string)                {}

func newLimiter() *rwlimit.Limiter {
	return &rwlimit.Limiter{Self: "self", Peers: alone{}, Log: logr.Discard()}
}

// TestObserve guards against limits that are taken from responses which were overtaken.
func TestObserve(t *testing.T) {
	limit := func(rate float64) rwlimit.Limit { return rwlimit.Limit{Rate: rate, Named: true} }
	none := rwlimit.Limit{}
	// observation is a response; its request was sent a time ago.
	type observation struct {
		limit rwlimit.Limit
		sent  time.Duration
	}
	const short, long = 10 * time.Millisecond, 2 * time.Second
	for name, c := range map[string]struct {
		observed []observation // one a second
		want     rwlimit.Limit
	}{
		"none":                      {[]observation{{none, short}}, none},
		"named":                     {[]observation{{limit(5), short}}, limit(5)},
		"changed":                   {[]observation{{limit(5), short}, {limit(9), short}}, limit(9)},
		"ended":                     {[]observation{{limit(5), short}, {none, short}}, none},
		"zero":                      {[]observation{{limit(5), short}, {limit(0), short}}, limit(0)},
		"overtaken response":        {[]observation{{limit(5), short}, {none, long}}, limit(5)},
		"overtaken higher limit":    {[]observation{{limit(5), short}, {limit(9), long}}, limit(5)},
		"lower limit that overlaps": {[]observation{{limit(5), short}, {limit(2), long}}, limit(2)},
		"ended after an overlap":    {[]observation{{limit(5), short}, {none, long}, {none, short}}, none},
		"named anew":                {[]observation{{limit(5), short}, {none, short}, {limit(4), short}}, limit(4)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLimiter()
				for _, o := range c.observed {
					time.Sleep(time.Second)
					l.Observe(limited, o.limit, time.Now().Add(-o.sent))
				}
				require.Equal(t, c.want, l.Limit(limited))
				require.Equal(t, !c.want.Named, l.Ready(limited), "without a limit no token is needed")
			})
		})
	}
}

// TestProcessesApart guards against the limit of a server's earlier process that counts for
// its new one.
func TestProcessesApart(t *testing.T) {
	l := newLimiter()
	l.Observe(limited, rwlimit.Limit{Rate: 1, Named: true}, time.Now())
	require.True(t, l.Take(rwlimit.Server{ID: limited.ID, Incarnation: 2}))
	require.False(t, l.Take(limited))
	l.Sweep(func(s rwlimit.Server) bool { return s != limited })
	require.True(t, l.Take(limited), "a server that is gone has no limit")
}

// TestUrgency guards against repeats and requests of low priority that use up what a limit
// leaves for others.
func TestUrgency(t *testing.T) {
	const (
		seconds = 600
		rate    = 2
	)
	served := func(u rwlimit.Urgency) int {
		served := 0
		synctest.Test(t, func(t *testing.T) {
			l := newLimiter()
			l.Observe(limited, rwlimit.Limit{Rate: rate, Named: true}, time.Now())
			first := 0
			for range seconds * 10 {
				time.Sleep(50 * time.Millisecond)
				if _, _, ok := l.Wait(t.Context(), []rwlimit.Server{limited}, rwlimit.Urgency{}); ok {
					first++
				}
				time.Sleep(50 * time.Millisecond)
				if _, _, ok := l.Wait(t.Context(), []rwlimit.Server{limited}, u); ok {
					served++
				}
			}
			require.GreaterOrEqual(t, first, seconds*rate*2/5, "nearly half of the limit, at least")
		})
		return served
	}
	equal := served(rwlimit.Urgency{})
	require.Less(t, served(rwlimit.Urgency{Repeat: true}), equal)
	require.Less(t, served(rwlimit.Urgency{Priority: 4}), equal)
}

// deaf is the connection of an instance whose questions get no answer.
type deaf struct{ alone }

func (deaf) Rank(string) []string { return []string{"owner", "self"} }

// TestWaitWithoutAnswer guards against callers that are sent away for longer than they stay,
// because the owner of a limit doesn't answer.
func TestWaitWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter()
		l.Peers = deaf{}
		l.Observe(limited, rwlimit.Limit{Rate: 1, Named: true}, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, wait, ok := l.Wait(ctx, []rwlimit.Server{limited}, rwlimit.Urgency{})
		require.False(t, ok)
		require.LessOrEqual(t, wait, time.Second)
		time.Sleep(time.Second)
	})
}
