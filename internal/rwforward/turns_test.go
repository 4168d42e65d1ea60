package rwforward

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwroute"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

const turnsServers = 8

// turnsFleet is an instance with model servers that hold one stream each, and the
// desired state of two routes to them.
type turnsFleet struct {
	f        *Forwarder
	table    *rwroute.Table
	stopping bool
	streams  int
}

func newTurnsFleet(secondPriority int) *turnsFleet {
	fleet := &turnsFleet{table: rwroute.New(rwroute.Parts{
		Routes: []rwroute.Route{
			{Name: "pilot", Host: "h", Prefix: "/pilot/", Kind: rwroute.KindStream, Timeout: 25 * time.Second, TargetLatency: 4 * time.Second, Targets: []rwroute.Target{{Service: "m", Weight: 1}}},
			{Name: "passage", Host: "h", Prefix: "/passage/", Kind: rwroute.KindStream, Timeout: 25 * time.Second, TargetLatency: 10 * time.Second, Priority: secondPriority, Targets: []rwroute.Target{{Service: "m", Weight: 1}}},
		},
		Services: []rwroute.Service{{Name: "m", Engine: rwroute.Engine{Slots: 1, Memory: 55_000}}},
	})}
	fleet.f = &Forwarder{Directory: rwbackend.NewDirectory("self"), Log: logr.Discard(), Counters: &Counters{}, ShuttingDown: func() bool { return fleet.stopping }}
	for n := range turnsServers {
		fleet.f.Directory.Put(rwbackend.Entry{ID: fmt.Sprint("s", n), Service: "m"})
	}
	return fleet
}

// stream returns a new stream of a route.
func (fleet *turnsFleet) stream(ctx context.Context, route string) *stream {
	fleet.streams++
	c := &call{f: fleet.f, r: httptest.NewRequest("POST", "/", nil).WithContext(ctx), startedAt: time.Now(), deadline: time.Now().Add(25 * time.Second)}
	c.info = RequestInfo{ID: fmt.Sprint("r", fleet.streams), Prompt: 5000, MaxOutput: 1000, Deadline: 25 * time.Second}
	c.route, _ = fleet.table.Match("h", "/"+route+"/x")
	c.service, _ = fleet.table.Service("m")
	c.urgency = fleet.table.Urgency(c.org, c.route, "m", c.deadline)
	return &stream{call: c}
}

// occupy places a stream of another instance at each of the first servers. A former build tells
// no organisation.
func (fleet *turnsFleet) occupy(servers int) {
	for n := range servers {
		fleet.f.Directory.PutRun(rwbackend.Run{ID: fmt.Sprint("other", n), Owner: "old", Server: fmt.Sprint("s", n), Prompt: 5000, Output: 1000, Started: true})
	}
}

func (fleet *turnsFleet) free(n int) {
	fleet.f.Directory.PutRun(rwbackend.Run{ID: fmt.Sprint("other", n), Owner: "old", Server: fmt.Sprint("s", n), Prompt: 5000, Output: 1000, Started: true, Ended: true})
}

// wait starts to wait for the turn of a stream.
func (fleet *turnsFleet) wait(s *stream) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.takeTurn(s.waiter(time.Now(), s.f.streamLife("m")), false) }()
	synctest.Wait()
	return done
}

func requireWaiting(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		require.Fail(t, "the stream doesn't wait", "%v", err)
	default:
	}
}

func TestTurns(t *testing.T) {
	test := func(name string, occupied int, run func(t *testing.T, fleet *turnsFleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTurnsFleet(2)
				fleet.occupy(occupied)
				time.Sleep(time.Second) // the others have been read
				run(t, fleet)
			})
		})
	}
	test("nobody waits while room is ample", 4, func(t *testing.T, fleet *turnsFleet) {
		require.NoError(t, <-fleet.wait(fleet.stream(t.Context(), "passage")))
		require.NoError(t, <-fleet.wait(fleet.stream(t.Context(), "pilot")))
	})
	test("nobody waits where nothing is known of the servers", 0, func(t *testing.T, fleet *turnsFleet) {
		for n := range turnsServers {
			fleet.f.Directory.RecordLoss(fmt.Sprint("s", n))
		}
		s := fleet.stream(t.Context(), "passage")
		require.NoError(t, <-fleet.wait(s))
		require.Len(t, s.belowCeiling(fleet.f.Directory.Service("m")), turnsServers, "one that was lost is tried")
	})
	test("the urgent one goes first", turnsServers, func(t *testing.T, fleet *turnsFleet) {
		passage := fleet.wait(fleet.stream(t.Context(), "passage"))
		pilot := fleet.wait(fleet.stream(t.Context(), "pilot"))
		time.Sleep(time.Second)
		requireWaiting(t, passage)
		requireWaiting(t, pilot)
		s := fleet.stream(t.Context(), "passage")
		fleet.free(0)
		require.NoError(t, <-pilot)
		fleet.f.Directory.PutRun(rwbackend.Run{ID: "pilot", Server: "s0", Prompt: 5000, Output: 1000})
		time.Sleep(time.Second)
		fleet.free(1)
		fleet.free(2)
		require.NoError(t, <-passage)
		require.NoError(t, <-fleet.wait(s))
	})
	test("a caller that leaves is forgotten at once", turnsServers, func(t *testing.T, fleet *turnsFleet) {
		ctx, leave := context.WithCancel(t.Context())
		passage := fleet.wait(fleet.stream(ctx, "passage"))
		require.Equal(t, 1, fleet.f.turns.of("m").queue.Len())
		leave()
		require.Error(t, <-passage)
		require.Zero(t, fleet.f.turns.of("m").queue.Len())
		require.Empty(t, fleet.f.turns.of("m").waiting)
		time.Sleep(time.Second)
		require.False(t, fleet.f.turns.of("m").running)
	})
	test("an instance that stops refuses as not run", turnsServers, func(t *testing.T, fleet *turnsFleet) {
		passage := fleet.wait(fleet.stream(t.Context(), "passage"))
		fleet.stopping = true
		e := rwerror.As(<-passage)
		require.Equal(t, rwerror.RanNo, e.Ran)
		require.Equal(t, 503, status(e))
		require.Positive(t, e.RetryAfter)
	})
	test("who can't be served in time is refused", turnsServers, func(t *testing.T, fleet *turnsFleet) {
		var passages []<-chan error
		for range 20 {
			passages = append(passages, fleet.wait(fleet.stream(t.Context(), "passage")))
		}
		e := rwerror.As(<-passages[19])
		require.Equal(t, rwerror.RanNo, e.Ran)
		require.LessOrEqual(t, e.RetryAfter, 25*time.Second/4)
		requireWaiting(t, passages[0])
		for _, p := range passages[:19] {
			<-p
		}
		require.Less(t, time.Since(fleet.f.turns.of("m").trafficAt), 25*time.Second)
	})
	t.Run("routes of the same priority don't compete", func(t *testing.T) {
		fleet := newTurnsFleet(0)
		require.False(t, fleet.stream(t.Context(), "passage").competes())
		require.Empty(t, fleet.stream(t.Context(), "passage").organisation())
	})
}

func TestCopyIsLeftOutForMoreUrgentStreams(t *testing.T) {
	fleet := newTurnsFleet(2)
	for n := range turnsServers {
		fleet.f.Directory.PutRun(rwbackend.Run{ID: fmt.Sprint("large", n), Server: fmt.Sprint("s", n), Prompt: 45_000, Output: 1000})
	}
	for route, copied := range map[string]bool{"pilot": true, "passage": false} {
		target := attemptTarget{placement: rwpick.Placement{Copied: true}}
		fleet.stream(t.Context(), route).leaveOutCopy(&target)
		require.Equal(t, copied, target.placement.Copied, route)
	}
}
