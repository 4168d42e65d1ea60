package rwmove

import (
	"fmt"
	"math"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwtree"
)

// CanaryShare is the initial share of the new version.
const CanaryShare = 0.01

const (
	minCanaryRuns     = 20    // runs of the new version before the share increases; waits at most for maxCanaryFraction
	rampFraction      = 0.8   // the ramp takes this fraction of the time from the start to the latest start of the soak
	minEvidenceRuns   = 20    // with fewer runs the reason of a completed move notes the limited evidence
	maxCanaryFraction = 0.3   // fraction of the ramp that may be spent waiting for minCanaryRuns
	minShareStep      = 0.005 // smaller increases of the share are put off
)

// Planner computes the next step of a move from the evidence on it.
type Planner struct {
	Move        rwtree.Move
	Now         time.Time
	Before      rwevidence.Evidence // of the old version
	After       rwevidence.Evidence // of the new version
	BadReason   string              // why the new version was found bad; empty if it was not
	Loaded      bool                // the servers have the new version: see Decider.ensureLoaded and, after the phase of loading, Decider.canServe
	SoakElapsed time.Duration       // since the soak began
}

// Next returns the move after its next step, and whether it changed. It is a pure
// function, so any instance that decides computes the same step.
func (p Planner) Next() (rwtree.Move, bool) {
	m := p.Move
	if !m.Active() {
		return m, false
	}
	if p.BadReason != "" {
		return m.WithShare(0).WithPhase(rwtree.PhaseTakenBack, p.withEvidence("taken back: "+p.BadReason)), true
	}
	switch m.Phase {
	case rwtree.PhaseLoading:
		return p.stepLoading()
	case rwtree.PhaseRamping:
		return p.stepRamping()
	case rwtree.PhaseSoaking:
		return p.stepSoaking()
	default:
		return m, false
	}
}

func (p Planner) withEvidence(text string) string {
	return fmt.Sprintf("%s (old version: %.0f of %.0f runs failed; new version: %.0f of %.0f)",
		text, p.Before.Failed, p.Before.Attempts, p.After.Failed, p.After.Attempts)
}

func (p Planner) stepLoading() (rwtree.Move, bool) {
	m := p.Move
	if p.Loaded {
		return m.WithShare(CanaryShare).WithPhase(rwtree.PhaseRamping, "the new version is loaded; the canary begins"), true
	}
	if p.Now.After(m.Deadline) {
		return m.WithShare(0).WithPhase(rwtree.PhaseTakenBack, "taken back: the new version was not loaded by the deadline"), true
	}
	return m, false
}

// stepRamping raises the share along a curve that reaches 1 in time for the soak. The
// share stays at CanaryShare while the new version has few runs, but only for a part
// of the ramp, so that a good version still meets the deadline.
func (p Planner) stepRamping() (rwtree.Move, bool) {
	m := p.Move
	latestSoakStart := m.Deadline.Add(-m.SoakTime())
	rampDuration := time.Duration(rampFraction * float64(latestSoakStart.Sub(m.StartedAt)))
	progress := float64(p.Now.Sub(m.StartedAt)) / float64(max(1, rampDuration))
	if progress >= 1 {
		return m.WithShare(1).WithPhase(rwtree.PhaseSoaking, p.withEvidence("all traffic is on the new version")), true
	}
	share := rampShare(progress)
	if p.After.Attempts < minCanaryRuns && progress < maxCanaryFraction {
		share = CanaryShare
	}
	if share < m.Share+minShareStep || p.likelyBad() {
		return m, false
	}
	m.Reason = p.withEvidence("the share grows")
	return m.WithShare(share), true
}

// likelyBad reports whether the failures so far make a bad version more likely than
// a good one. The evidence may not suffice to take the version back, but the share
// must not increase meanwhile.
func (p Planner) likelyBad() bool { return rwevidence.FailureLLR(p.Before, p.After) > 0 }

// rampShare returns the share after a fraction of the ramp's duration. It increases
// slowly at first, while there is little evidence on the new version.
func rampShare(progress float64) float64 {
	return min(1, max(CanaryShare, progress*progress))
}

// period returns the period of a move while the new version has a share. The ramp takes equally
// long for each.
func period(share float64) int {
	return min(rwevidence.Periods-1, int(math.Sqrt(share)*rwevidence.Periods))
}

// stepSoaking completes the move after the soak time, or at the deadline if that is
// earlier. The old version may be unloaded then, so the servers must have the new one.
func (p Planner) stepSoaking() (rwtree.Move, bool) {
	m := p.Move
	if p.SoakElapsed < m.SoakTime() && p.Now.Before(m.Deadline) {
		return m, false
	}
	if !p.Loaded {
		if p.Now.Before(m.Deadline) {
			return m, false
		}
		return m.WithShare(0).WithPhase(rwtree.PhaseTakenBack, p.withEvidence("taken back: at the deadline too few servers have the new version")), true
	}
	text := "done: the new version held all traffic through the soak"
	if p.After.Attempts < minEvidenceRuns {
		text = "done on thin evidence: the route had little traffic"
	}
	phase := rwtree.PhaseDone
	if m.Load {
		phase = rwtree.PhaseUnloading
	}
	return m.WithShare(1).WithPhase(phase, p.withEvidence(text)), true
}
