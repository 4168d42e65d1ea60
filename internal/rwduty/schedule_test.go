package rwduty

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// disturb begins a random disturbance of the world, and ends it some seconds later.
func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if h := w.holder(); h != nil && w.chance(0.6) {
		n = h
	}
	length := w.between(50*time.Millisecond, 6*time.Second)
	process := n.process
	switch w.random.IntN(9) {
	case 0:
		n.dead = true
		w.at(length, n.start)
	case 1:
		n.paused = true
		w.at(length, func() { n.paused = n.paused && n.process != process })
	case 2:
		n.cut = true
		w.at(length, func() { n.cut = false })
	case 3:
		n.m.leaving = true
		w.at(length+time.Second, n.start)
	case 4:
		w.down = true
		w.at(length, func() { w.down = false })
	case 5:
		w.slow = w.between(0, 700*time.Millisecond)
		w.at(length, func() { w.slow = 0 })
	case 6:
		w.lost, w.late = 0.3, 0.3
		w.at(length, func() { w.lost, w.late = 0, 0 })
	case 7:
		w.callsLate = 0.3
		w.at(length, func() { w.callsLate = 0 })
	case 8:
		w.copied = w.object
		w.at(length, func() {
			era := w.object.Position.Era + 1
			w.object = w.copied
			w.object.Position.Era = era
		})
	}
}

// TestRandomSchedules guards against any order of events in which two instances carry out the
// duties at a time, by the rules of the platform that checks numbers and of the one that doesn't,
// and against duties that nobody takes up again.
func TestRandomSchedules(t *testing.T) {
	const seeds = uint64(60)
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			calls := 0
			for seed := range seeds {
				w := newWorld(t, seed, 3)
				w.fenced, w.farCalls = fenced, 0.1
				for range 20 {
					w.run(w.between(10*time.Millisecond, 4*time.Second))
					w.disturb()
				}
				w.run(15 * time.Second)
				calm := w.now
				w.run(5 * time.Second)
				require.Less(t, w.longestPause(calm), time.Second, "seed %d", seed)
				require.False(t, t.Failed(), "seed %d", seed)
				calls += len(w.calls)
			}
			t.Log("accepted calls:", calls)
		})
	}
}
