package rwduty

import (
	"testing"
	"time"

	"ragwortwall/internal/rwfeed"

	"github.com/stretchr/testify/require"
)

// settledWorld returns a world of three instances, one of which calls, and that one.
func settledWorld(t *testing.T) (*world, *node) {
	t.Helper()
	w := newWorld(t, 1, 3)
	w.run(10 * time.Second)
	h := w.holder()
	require.NotNil(t, h)
	require.NotEmpty(t, w.calls)
	return w, h
}

// TestTakeOver checks how long nobody calls after what ends the holder, and that its successor
// is another instance, or the same one where it could go on.
func TestTakeOver(t *testing.T) {
	length := NewRules(testBound).Length
	for name, c := range map[string]struct {
		end  func(w *world, h *node)
		most time.Duration
		same bool
	}{
		"killed": {func(_ *world, h *node) { h.dead = true }, length + time.Second, false},
		"killed in its write": {func(w *world, h *node) {
			for !h.busy {
				w.run(tick)
			}
			h.dead = true
		}, length + time.Second, false},
		"paused": {func(w *world, h *node) {
			h.paused = true
			w.at(4*time.Second, func() { h.paused = false })
		}, length + time.Second, false},
		"cut off": {func(w *world, h *node) {
			h.cut = true
			w.at(4*time.Second, func() { h.cut = false })
		}, length + time.Second, false},
		"SIGTERM": {func(_ *world, h *node) { h.m.leaving = true }, 500 * time.Millisecond, false},
		"store away": {func(w *world, _ *node) {
			w.down = true
			w.at(time.Second, func() { w.down = false })
		}, length, true},
		"store comes back older": {func(w *world, _ *node) {
			copied := w.object
			w.run(2 * time.Second)
			copied.Position.Era = w.object.Position.Era + 1
			w.object = copied
		}, length + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			w, h := settledWorld(t)
			fence := h.m.fence
			c.end(w, h)
			since := w.now
			w.run(8 * time.Second)
			require.LessOrEqual(t, w.longestPause(since), c.most)
			next := w.holder()
			require.NotNil(t, next)
			require.Equal(t, c.same, next == h)
			require.Equal(t, c.same, next.m.fence == fence)
			require.GreaterOrEqual(t, next.m.fence, fence)
		})
	}
}

// TestPausedHolder guards against a holder that goes on when it wakes after its time, also if
// nothing has told it of a successor.
func TestPausedHolder(t *testing.T) {
	w, h := settledWorld(t)
	_, until, ok := h.m.grant(h.clock())
	require.True(t, ok)
	w.now += time.Duration(until - h.clock())
	_, _, ok = h.m.grant(h.clock())
	require.False(t, ok)
}

// TestRefused guards against calls with a number that was refused, and against a holder that
// doesn't find a number that is accepted.
func TestRefused(t *testing.T) {
	w, h := settledWorld(t)
	w.fenced = true
	w.highest = h.m.fence + 100
	w.run(3 * time.Second)
	require.Same(t, h, w.holder())
	require.LessOrEqual(t, len(h.refusedAt), 7, "the step doubles")
	require.Less(t, w.now-w.calls[len(w.calls)-1].at, time.Second)
}

// TestLostAnswer guards against a holder that takes a write of its own for that of another, and
// against one that counts its time from a later write than the object holds.
func TestLostAnswer(t *testing.T) {
	w, h := settledWorld(t)
	now := h.clock()
	for h.m.next(now, candidate{eligible: true}, true).deed != deedWrite {
		now = after(now, tick)
	}
	written := h.m.attempts[len(h.m.attempts)-1]
	h.m.failed(after(now, time.Second), true, 0)
	require.True(t, h.m.unsure)
	h.m.read(after(now, time.Second), Reading{Position: rwfeed.Position{Era: 1, Revision: w.object.Position.Revision + 1}, Record: written.record})
	_, until, ok := h.m.grant(after(now, time.Second))
	require.True(t, ok)
	require.Equal(t, after(now, h.m.rules.Hold), until)
}

// TestLateClaim guards against two holders with one number: a claim that had no answer is done
// late, after another claim of the same instance.
func TestLateClaim(t *testing.T) {
	m := machine{rules: NewRules(testBound), self: "a", life: 1}
	c := candidate{eligible: true}
	now := after(0, time.Hour)
	m.next(now, c, true)
	foreign := Reading{Position: rwfeed.Position{Era: 1, Revision: 5}, Record: Record{Holder: "b", Life: 2, Fence: firstFence(1) + 1}}
	m.read(now, foreign)
	now = after(now, 2*m.rules.Length)
	first := m.next(now, c, true)
	require.Equal(t, deedWrite, first.deed)
	m.failed(now, true, 0)
	now = after(now, time.Second)
	require.Equal(t, deedRead, m.next(now, c, true).deed)
	m.read(now, foreign)
	second := m.next(now, c, true)
	require.Equal(t, deedWrite, second.deed)
	require.Greater(t, second.record.Fence, first.record.Fence)
	m.conflict(now)
	require.Equal(t, deedRead, m.next(now, c, true).deed, "the first claim may have been done")
	m.read(now, Reading{Position: rwfeed.Position{Era: 1, Revision: 6}, Record: first.record})
	_, until, _ := m.grant(now)
	require.Equal(t, first.record.Fence, m.fence)
	require.Less(t, until, after(now, m.rules.Hold))
}

// TestFormerHolder guards against the order A, B, A: an instance that was a holder, or may have been
// one before it was restarted, is given the lease by its successor at once.
func TestFormerHolder(t *testing.T) {
	now, c := after(0, time.Hour), candidate{eligible: true}
	free := Reading{Position: rwfeed.Position{Era: 1, Revision: 5}, Record: Record{Holder: "b", Life: 2, Fence: firstFence(1) + 2, Free: true}}
	for name, m := range map[string]machine{
		"restarted": {},
		"former":    {startedAt: 1, last: firstFence(1) + 1, calledTo: now},
	} {
		t.Run(name, func(t *testing.T) {
			m.rules, m.self, m.life = NewRules(testBound), "a", 3
			m.next(now, c, true)
			m.read(now, free)
			a := m.next(now, c, true)
			require.Equal(t, deedWait, a.deed)
			require.GreaterOrEqual(t, time.Duration(a.until-now), testBound)
			require.Equal(t, deedWrite, m.next(a.until, c, true).deed)
		})
	}
}

// TestFreeInOlderCopy guards against a lease that is taken at once because the copy from which the
// store came back says that it was given up: somebody may have taken it since.
func TestFreeInOlderCopy(t *testing.T) {
	m := machine{rules: NewRules(testBound), self: "a", life: 1, startedAt: 1}
	now, c := after(0, time.Hour), candidate{eligible: true}
	m.read(now, Reading{Position: rwfeed.Position{Era: 2, Revision: 5}, Record: Record{Holder: "b", Life: 2, Fence: firstFence(1) + 2, Free: true}})
	a := m.next(now, c, true)
	require.Equal(t, deedWait, a.deed)
	require.Equal(t, after(now, m.rules.Length), a.until)
}

// TestRankDelay guards against instances that read all at once, and against a wait without end
// if only the last one is left.
func TestRankDelay(t *testing.T) {
	for rank := 1; rank < 390; rank++ {
		require.GreaterOrEqual(t, delayOfRank(rank), delayOfRank(rank-1))
		require.LessOrEqual(t, delayOfRank(rank), maxRankDelay)
	}
	require.Zero(t, delayOfRank(0))
	require.Equal(t, rankDelay, delayOfRank(1))
}
