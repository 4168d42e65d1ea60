package rwusage

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"ragwortwall/internal/rwtime"

	"github.com/stretchr/testify/require"
)

// TestSums guards against sums that are added twice, fall, or vanish with a life of an instance.
func TestSums(t *testing.T) {
	old, present := Origin{"entry-1", 1}, Origin{"entry-1", 2}
	var s Sums
	s.Raise(old, 7, "a", 3)
	s.Raise(old, 7, "a", 5)
	s.Raise(old, 7, "a", 5)
	s.Raise(old, 7, "a", 4) // came late
	s.Raise(present, 7, "a", 1)
	s.Add(present, 7, "b", 2)
	s.Add(present, 8, "b", 2)
	require.Equal(t, map[string]int64{"a": 6, "b": 2}, s.Total(7))

	s.Hear(present, rwtime.BootTime(time.Minute))
	require.Equal(t, []Origin{old}, s.Silent(Origin{}, rwtime.BootTime(time.Minute+time.Second), passAfter))
	s.DropThrough(7)
	require.Empty(t, s.Total(7))
	require.Equal(t, map[string]int64{"b": 2}, s.Total(8))
	require.Equal(t, 1, s.entries)
}

// TestSumsDue guards against sums that lost datagrams leave untold, and against sending all of
// them again and again.
func TestSumsDue(t *testing.T) {
	o := Origin{"entry-1", 1}
	var s Sums
	s.Add(o, 7, "a", 1)
	sent := func(round int64) int { return len(s.Due(o, round)) }
	var rounds []int64
	for round := range int64(20) {
		if sent(round) > 0 {
			rounds = append(rounds, round)
		}
	}
	require.Equal(t, []int64{0, 1, 3, 5}, rounds)
	s.Add(o, 7, "a", 1)
	require.Equal(t, map[int64]map[string]int64{7: {"a": 2}}, s.Due(o, 20))
	s.Resend()
	require.Equal(t, 1, sent(30), "to a new holder")
}

// TestSumsBounded guards against the memory of an instance that hears of ever more organisations.
func TestSumsBounded(t *testing.T) {
	var s Sums
	s.entries = maxEntries
	require.False(t, s.Raise(Origin{"entry-1", 1}, 7, "a", 1))
}

// TestSplit guards against messages that don't fit into a datagram.
func TestSplit(t *testing.T) {
	var sums []sum
	for n := range 5300 {
		sums = append(sums, sum{int64(353445120 + n/2000), strings.Repeat("<", n%40) + string(rune('a'+n%26)) + time.Duration(n).String(), 1 << 40})
	}
	sums = append(sums, sum{353445120, strings.Repeat("x", 2000), 1})
	parts, dropped := split(sums)
	require.Equal(t, 1, dropped)
	count := 0
	for _, part := range parts {
		for _, names := range part {
			count += len(names)
		}
		encoded, err := json.Marshal(part)
		require.NoError(t, err)
		require.LessOrEqual(t, len(encoded), maxSumBytes+2)
	}
	require.Equal(t, 5300, count)
}

// BenchmarkCountBegun shows what counting costs a request, all processors counting at once.
func BenchmarkCountBegun(b *testing.B) {
	d := &Duty{Window: testWindow, Due: testDue}
	d.prepare()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			d.CountBegun("huka270", time.Now())
		}
	})
}
