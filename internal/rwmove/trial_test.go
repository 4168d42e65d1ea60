package rwmove

import (
	"testing"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwtree"

	"github.com/stretchr/testify/require"
)

const (
	trials      = 200
	trialRate   = 20 // requests a second
	trialLength = 5 * time.Minute
)

func play(habit Habit, old Habit) (outcomes []Outcome) {
	for seed := range uint64(trials) {
		t := Trial{Seed: seed, Rate: trialRate, Length: trialLength, Old: old, New: habit, Delay: 500 * time.Millisecond}
		outcomes = append(outcomes, t.Run())
	}
	return outcomes
}

func share(outcomes []Outcome, is func(Outcome) bool) float64 {
	n := 0
	for _, o := range outcomes {
		if is(o) {
			n++
		}
	}
	return float64(n) / float64(len(outcomes))
}

func takenBack(o Outcome) bool { return o.Phase == rwtree.PhaseTakenBack }

func doneInTime(o Outcome) bool { return o.Phase == rwtree.PhaseDone && o.InTime }

// TestTrialGood: good versions finish by the deadline, also beside an old version
// that fails now and then.
func TestTrialGood(t *testing.T) {
	for name, habit := range map[string]Habit{
		"steady":  {Spread: 0.1},
		"noisy":   {Spread: 0.5},
		"failing": {Spread: 0.2, Fail: 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			outcomes := play(habit, habit)
			require.GreaterOrEqual(t, share(outcomes, doneInTime), 0.99)
			require.LessOrEqual(t, share(outcomes, takenBack), 0.01)
		})
	}
}

// TestTrialBad: bad versions are taken back, and one that fails at once meets
// little of the traffic.
func TestTrialBad(t *testing.T) {
	old := Habit{Spread: 0.2, Fail: 0.002}
	for name, c := range map[string]struct {
		habit Habit
		met   float64 // most of the traffic of the move's time that may meet it, if bounded
	}{
		"fails all":        {Habit{Fail: 1}, 0.01},
		"fails half":       {Habit{Fail: 0.5, Spread: 0.2}, 0.01},
		"fails some":       {Habit{Fail: 0.1, Spread: 0.2}, 0},
		"slow":             {Habit{Slow: 1.5, Spread: 0.2}, 0},
		"fails later":      {Habit{Fail: 1, After: 2 * time.Minute, Spread: 0.2}, 0},
		"fails under load": {Habit{Fail: 0.5, Above: 0.3, Spread: 0.2}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			outcomes := play(c.habit, old)
			require.GreaterOrEqual(t, share(outcomes, takenBack), 0.99)
			for _, o := range outcomes {
				require.LessOrEqual(t, o.Contained-o.Evidence, 2*time.Second)
				if c.met > 0 {
					require.LessOrEqual(t, float64(o.Met)/(trialRate*trialLength.Seconds()), c.met)
				}
			}
		})
	}
}

// TestPlanWaits: the share does not grow while the failures lean towards bad.
func TestPlanWaits(t *testing.T) {
	begun := time.Unix(0, 0)
	p := Plan{
		Move: rwtree.Move{Route: "t/r", From: "a", To: "b", Begun: begun, Deadline: begun.Add(time.Minute), Phase: rwtree.PhaseRamping, Share: Canary},
		Now:  begun.Add(20 * time.Second), Before: rwevidence.Evidence{Runs: 100}, After: rwevidence.Evidence{Runs: 2, Failed: 2},
	}
	next, changed := p.Next()
	require.False(t, changed, "%+v", next)
	p.After = rwevidence.Evidence{Runs: 30}
	next, changed = p.Next()
	require.True(t, changed)
	require.Greater(t, next.Share, Canary)
}

// TestTrialBothBad: what the old version does as well is not held against the
// new one.
func TestTrialBothBad(t *testing.T) {
	both := Habit{Fail: 0.2, Slow: 3, Spread: 0.3}
	require.LessOrEqual(t, share(play(both, both), takenBack), 0.01)
}
