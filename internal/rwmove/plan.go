package rwmove

import (
	"fmt"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwtree"
)

// Canary is the share with which a move begins.
const Canary = 0.01

const (
	canaryRuns  = 20  // runs of the new version before the share grows, while there is time
	rampPart    = 0.8 // of the time before the soak that the ramp takes
	thinRuns    = 20  // fewer runs than this are called thin evidence
	canaryWait  = 0.3 // of the ramp that may be spent waiting for canaryRuns
	smallChange = 0.005
)

// Plan is what a decider knows when it plans the next step.
type Plan struct {
	Move   rwtree.Move
	Now    time.Time
	Before rwevidence.Evidence // of the old version
	After  rwevidence.Evidence // of the new version
	Bad    string              // why the new version is bad, if it is
	Loaded bool                // enough servers have the new version
	Soaked time.Duration
}

// Next returns the move after its next step, and whether it changed. It is a
// pure function: whoever decides comes to the same step.
func (p Plan) Next() (rwtree.Move, bool) {
	m := p.Move
	if !m.Active() {
		return m, false
	}
	if p.Bad != "" {
		return m.WithShare(0).WithPhase(rwtree.PhaseTakenBack, p.evidence("taken back: "+p.Bad)), true
	}
	switch m.Phase {
	case rwtree.PhaseLoading:
		return p.loading()
	case rwtree.PhaseRamping:
		return p.ramping()
	case rwtree.PhaseSoaking:
		return p.soaking()
	default:
		return m, false
	}
}

func (p Plan) evidence(text string) string {
	return fmt.Sprintf("%s (old version: %.0f of %.0f runs failed; new version: %.0f of %.0f)",
		text, p.Before.Failed, p.Before.Runs, p.After.Failed, p.After.Runs)
}

func (p Plan) loading() (rwtree.Move, bool) {
	m := p.Move
	if p.Loaded {
		return m.WithShare(Canary).WithPhase(rwtree.PhaseRamping, "the new version is loaded; the canary begins"), true
	}
	if p.Now.After(m.Deadline) {
		return m.WithShare(0).WithPhase(rwtree.PhaseTakenBack, "taken back: the new version was not loaded by the deadline"), true
	}
	return m, false
}

// ramping raises the share along a curve that reaches the whole in time for the
// soak. A canary without enough runs is held back, but not so long that a good
// version would miss its deadline.
func (p Plan) ramping() (rwtree.Move, bool) {
	m := p.Move
	rampEnd := m.Deadline.Add(-m.SoakTime())
	total := time.Duration(rampPart * float64(rampEnd.Sub(m.Begun)))
	done := float64(p.Now.Sub(m.Begun)) / float64(max(1, total))
	if done >= 1 {
		return m.WithShare(1).WithPhase(rwtree.PhaseSoaking, p.evidence("all traffic is on the new version")), true
	}
	share := curve(done)
	if p.After.Runs < canaryRuns && done < canaryWait {
		share = Canary
	}
	if share < m.Share+smallChange || p.leansBad() {
		return m, false
	}
	m.Reason = p.evidence("the share grows")
	return m.WithShare(share), true
}

// leansBad reports whether the failures seen so far speak more for a bad version
// than for a good one, though not enough to take it back: the share waits.
func (p Plan) leansBad() bool { return rwevidence.FailureLLR(p.Before, p.After) > 0 }

// curve is the share at a part of the ramp: slow at first, when little is known.
func curve(done float64) float64 {
	return min(1, max(Canary, done*done))
}

func (p Plan) soaking() (rwtree.Move, bool) {
	m := p.Move
	if p.Soaked < m.SoakTime() && p.Now.Before(m.Deadline) {
		return m, false
	}
	text := "done: the new version held all traffic through the soak"
	if p.After.Runs < thinRuns {
		text = "done on thin evidence: the route had little traffic"
	}
	phase := rwtree.PhaseDone
	if m.Load {
		phase = rwtree.PhaseUnloading
	}
	return m.WithShare(1).WithPhase(phase, p.evidence(text)), true
}
