package rwusage

import (
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwtime"

	"github.com/stretchr/testify/require"
)

var (
	noon  = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	begin = rwtime.BootTime(time.Hour)
)

// TestClockLearns guards against a time that is off by what an answer took, and against slow
// answers that spoil what a fast one told.
func TestClockLearns(t *testing.T) {
	c := NewClock(noon, begin)
	truth := func(at rwtime.BootTime) Time { return Time(noon.Add(7*time.Second).UnixNano()) + Time(at-begin) }
	off := func(at rwtime.BootTime) time.Duration { return c.Fleet(at).Sub(truth(at)).Abs() }
	exchange := func(at rwtime.BootTime, there, back time.Duration) rwtime.BootTime {
		sent, told := c.Own(at), truth(at+rwtime.BootTime(there))
		arrived := at + rwtime.BootTime(there+back)
		c.Learn(sent, told, arrived)
		return arrived
	}
	require.False(t, c.Known())
	at := exchange(begin, 3*time.Millisecond, time.Millisecond)
	require.True(t, c.Known())
	require.LessOrEqual(t, off(at), time.Millisecond)
	at = exchange(at, 300*time.Millisecond, time.Millisecond)
	require.LessOrEqual(t, off(at), time.Millisecond, "after a slow answer")
	at = exchange(at+rwtime.BootTime(sampleLife), 0, 3*time.Second)
	require.LessOrEqual(t, off(at), time.Millisecond, "after a very slow answer")
	at = exchange(at, 300*time.Millisecond, 300*time.Millisecond)
	require.LessOrEqual(t, off(at), time.Millisecond, "after an answer that took the same either way")
}

// TestClocksMedian guards against a fleet's time that goes by clocks that are off.
func TestClocksMedian(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"forward": 9 * time.Second, "back": -9 * time.Second} {
		t.Run(name, func(t *testing.T) {
			var c Clocks
			own := Time(noon.UnixNano())
			for n := range 12 {
				theirs := own.Add(-time.Duration(n%4) * time.Millisecond)
				if n%3 == 0 {
					theirs = theirs.Add(ahead)
				}
				c.Hear(fmt.Sprint(n), theirs, own, begin)
			}
			shift, ok := c.Median(minClocks, begin)
			require.True(t, ok)
			require.LessOrEqual(t, shift.Abs(), 4*time.Millisecond)
			_, ok = c.Median(13, begin)
			require.False(t, ok, "too few were heard")
			_, ok = c.Median(1, begin+rwtime.BootTime(clockLife))
			require.False(t, ok, "none was heard lately")
		})
	}
}
