package rwbackend_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

func accepts(d *rwbackend.Directory, id string) bool {
	for _, v := range d.Service("model") {
		if v.ID == id {
			return true
		}
	}
	return false
}

// TestLeavingByItsWord guards against requests to a server that said in a response that it is
// leaving, because something older says that it is ready, and against a new process that is
// left alone for what the former said.
func TestLeavingByItsWord(t *testing.T) {
	leaving := rwbackend.Statement{Leaving: true}
	next := entry(0, "a")
	next.Incarnation = 2
	for name, c := range map[string]struct {
		after   func(d *rwbackend.Directory)
		accepts bool
	}{
		"entry says ready": {func(d *rwbackend.Directory) { d.Put(entry(0, "a")) }, false},
		"entry is listed again": {func(d *rwbackend.Directory) {
			d.Remove("s0")
			d.Put(entry(0, "a"))
		}, false},
		"a later response doesn't say it":        {func(d *rwbackend.Directory) { d.RecordStatement(entry(0, "a"), rwbackend.Statement{}) }, false},
		"a response is recorded":                 {func(d *rwbackend.Directory) { d.RecordResponse("s0", false, time.Second, rwbackend.Load{}) }, false},
		"new process":                            {func(d *rwbackend.Directory) { d.Put(next) }, true},
		"new process, late word of the old one":  {func(d *rwbackend.Directory) { d.Put(next); d.RecordStatement(entry(0, "a"), leaving) }, true},
		"new process, older entry comes back":    {func(d *rwbackend.Directory) { d.Put(next); d.Put(entry(0, "a")) }, false},
		"another server at the former's address": {func(d *rwbackend.Directory) { e := next; e.ID = "s9"; d.Put(e) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory("a", "a")
			require.True(t, d.RecordStatement(entry(0, "a"), leaving).Leaving)
			require.False(t, d.RecordStatement(entry(0, "a"), leaving).Leaving, "it is reported once")
			require.False(t, accepts(d, "s0"))
			c.after(d)
			require.Equal(t, c.accepts, accepts(d, "s0"))
			require.True(t, accepts(d, "s1") || name == "another server at the former's address")
		})
	}
}

// TestInvalidStatement checks that a statement that can't be used is reported once for each
// process and has no effect.
func TestInvalidStatement(t *testing.T) {
	d := directory("a")
	invalid := rwbackend.Statement{Invalid: "Retry-After: soon"}
	require.Equal(t, rwbackend.News{Invalid: true}, d.RecordStatement(entry(0, "a"), invalid))
	require.Zero(t, d.RecordStatement(entry(0, "a"), invalid))
	require.True(t, accepts(d, "s0"))
}

// TestPause guards against requests to a server within the time for which it wants none, and
// against all of an instance's requests at once at its end.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "a")
		const asked = 4 * time.Second
		pause := d.RecordStatement(entry(0, "a"), rwbackend.Statement{RetryAfter: asked}).Pause
		require.GreaterOrEqual(t, pause, asked)
		require.LessOrEqual(t, pause, asked*5/4)
		d.RecordStatement(entry(0, "a"), rwbackend.Statement{RetryAfter: time.Second})
		d.RecordResponse("s0", false, time.Second, rwbackend.Load{}) // of a request that was sent before
		count, soonest := d.Paused("model")
		require.Equal(t, 1, count)
		require.LessOrEqual(t, soonest, pause)
		time.Sleep(asked - time.Millisecond)
		require.False(t, accepts(d, "s0"), "a shorter pause must not end the longer one")
		time.Sleep(pause - asked + 2*time.Millisecond)
		require.True(t, accepts(d, "s0"))
		done := d.TrackRequest("s0")
		require.False(t, accepts(d, "s0"), "the first request has no response yet")
		done()
		require.True(t, accepts(d, "s0"))
		done = d.TrackRequest("s0")
		d.RecordResponse("s0", false, time.Second, rwbackend.Load{})
		require.True(t, accepts(d, "s0"))
		done()
		count, _ = d.Paused("model")
		require.Zero(t, count)
	})
}

// returning is an instance in TestReturnAfterPause.
type returning struct {
	*rwbackend.Directory

	pending  []pendingRequest
	answered bool // the server has answered a request since the pause
}

type pendingRequest struct {
	endsAt time.Time
	done   func()
}

// complete ends the requests that the server has answered by now.
func (r *returning) complete(took time.Duration) {
	for len(r.pending) > 0 && !r.pending[0].endsAt.After(time.Now()) {
		r.RecordResponse("s0", false, took, rwbackend.Load{})
		r.pending[0].done()
		r.pending, r.answered = r.pending[1:], true
	}
}

// TestReturnAfterPause plays the return of many instances that a server told at the same
// moment to leave it alone for a while. Before it has answered, it gets one request of each
// at most, and not all of them within a moment.
func TestReturnAfterPause(t *testing.T) {
	const (
		asked   = 8 * time.Second
		answer  = 60 * time.Millisecond // time that the server takes for a request
		perTick = 2                     // requests that each instance gets in a tick
		tick    = 20 * time.Millisecond
		share   = 0.25 // of the instances, at most, that return in a tenth of a second
		few     = 6    // instances that may in any case
	)
	for _, count := range []int{6, 85, 390} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instances := make([]returning, count)
				for n := range instances {
					instances[n].Directory = directory("a")
					instances[n].RecordStatement(entry(0, "a"), rwbackend.Statement{RetryAfter: asked})
				}
				started := time.Now()
				time.Sleep(asked - tick)
				firsts := map[int]int{} // first requests of instances, by tenths of a second
				for time.Since(started) < asked+3*time.Second {
					for n := range instances {
						i := &instances[n]
						i.complete(answer)
						for range perTick {
							if !accepts(i.Directory, "s0") {
								break
							}
							require.GreaterOrEqual(t, time.Since(started), asked, "the server wants no requests yet")
							if !i.answered {
								require.Empty(t, i.pending, "an instance sends one request before the first response")
								firsts[int(time.Since(started)/(100*time.Millisecond))]++
							}
							i.pending = append(i.pending, pendingRequest{time.Now().Add(answer), i.TrackRequest("s0")})
						}
					}
					time.Sleep(tick)
				}
				total, most := 0, 0
				for _, c := range firsts {
					total, most = total+c, max(most, c)
				}
				require.Equal(t, count, total, "all instances return")
				t.Logf("%d instances: most first requests in a tenth of a second: %d", count, most)
				require.LessOrEqual(t, most, max(few, int(share*float64(count))))
			})
		})
	}
}
