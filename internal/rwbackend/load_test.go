package rwbackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

// TestReport guards against a pace that is used without its age, and against requests that are
// counted twice or not at all since the report.
func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a")
		require.False(t, view(t, d, "s0").Report.Told)
		done := d.TrackRequest("s0")
		d.RecordResponse("s0", false, 30*time.Millisecond, rwbackend.Load{Running: 3, Waiting: 1, Slots: 6, Pace: 2.5})
		done()
		d.TrackRequest("s0")
		time.Sleep(2 * time.Second)
		require.Equal(t, rwbackend.Report{Told: true, Age: 2 * time.Second, Queued: 4, Unseen: 1, Pace: 2.5}, view(t, d, "s0").Report)
	})
}

// TestSlowness guards against a server that is slow for good and gets as much work as the others,
// and against one that pays for its present pace or for a former process.
func TestSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "b", "c")
		for range 100 {
			d.RecordResponse("s0", false, 30*time.Millisecond, rwbackend.Load{Running: 1, Slots: 6, Pace: 1})
			d.RecordResponse("s1", false, 75*time.Millisecond, rwbackend.Load{Running: 1, Slots: 6, Pace: 2.5})
			d.RecordResponse("s2", false, 60*time.Millisecond, rwbackend.Load{Running: 1, Slots: 6})
		}
		require.InDelta(t, view(t, d, "s0").Slowness, view(t, d, "s1").Slowness, 0.05)
		require.Greater(t, view(t, d, "s2").Slowness, 1.3)
		time.Sleep(10 * time.Minute)
		require.InDelta(t, 1, view(t, d, "s2").Slowness, 0.05, "what was learnt long ago")
		e := entry(2, "c")
		e.Incarnation = 2
		d.Put(e)
		require.InDelta(t, 1, view(t, d, "s2").Slowness, 0.001, "another process")
	})
}

func TestFull(t *testing.T) {
	full := rwbackend.Load{Running: 6, Waiting: 24, Slots: 6, Pace: 1}
	nearly := rwbackend.Load{Running: 6, Waiting: 18, Slots: 6, Pace: 1}
	known := func() *rwbackend.Directory {
		d := directory("a", "b")
		d.RecordResponse("s0", false, 30*time.Millisecond, rwbackend.Load{Running: 1, Slots: 6})
		return d
	}
	synctest.Test(t, func(t *testing.T) {
		d := known()
		_, found := d.RecordFull("s0", nearly, false)
		require.False(t, found, "nobody knows how long its queue may be")
		for _, load := range []rwbackend.Load{{}, {Running: 5, Waiting: 24, Slots: 6}, {Running: 6, Waiting: 1, Slots: 6}} {
			_, found = d.RecordFull("s0", load, true)
			require.False(t, found, "it refused for another reason")
		}
		f, found := d.RecordFull("s0", full, true)
		require.True(t, found)
		require.Equal(t, 24, f.Queue)
		require.InDelta(t, 60, f.For.Milliseconds(), 2, "half of 24 requests of 30 ms in 6 slots")
		require.Positive(t, view(t, d, "s0").FullFor)
		_, found = d.RecordFull("s0", full, true)
		require.False(t, found, "told once")
		_, found = d.RecordFull("s1", nearly, false)
		require.True(t, found, "before it refuses any")
		time.Sleep(f.For)
		require.Zero(t, view(t, d, "s0").FullFor)
	})
	synctest.Test(t, func(t *testing.T) {
		d := known()
		d.MarkFull("s1", rwbackend.Full{For: time.Hour, Queue: 24})
		require.Equal(t, rwbackend.MaxFull, view(t, d, "s1").FullFor, "another instance's word is bounded")
		_, found := d.RecordFull("s0", nearly, false)
		require.True(t, found)
	})
}
