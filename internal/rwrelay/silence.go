package rwrelay

import (
	"time"
)

// Settings of the judgement of silence.
const (
	// probeFactor is how many usual gaps pass before a server is probed.
	probeFactor = 3
	// probeSoonest and probeLatest bound that time: gaps of some ten ms are
	// jitter; after probeLatest a probe and a return must still fit into the
	// pause that callers bear.
	probeSoonest = 120 * time.Millisecond
	probeLatest  = 250 * time.Millisecond
	// hangFactor is how many usual gaps pass before a server that can be reached
	// is taken to hang, within hangPart of the pause that callers bear.
	hangFactor = 8
	hangSoon   = 450 * time.Millisecond
	hangPart   = 0.8
	// firstProbe is the pause between probes before the first event.
	firstProbe = 300 * time.Millisecond
	// firstFactor and firstSlack bound the wait for a first event against the
	// time that the prompts before it take.
	firstFactor = 2
	firstSlack  = 2200 * time.Millisecond
	// gapWeight is the weight of a new gap in the usual one.
	gapWeight = 0.2
	// pauseDefault is the pause that callers bear where a route names none.
	pauseDefault = 700 * time.Millisecond
	askAgain     = 30 * time.Millisecond
)

// Pace is how fast one stream's events come, and the judgement of its silence.
type Pace struct {
	Expected time.Duration // until the first event
	Pause    time.Duration // that the caller bears between events; zero: a default
	begun    bool
	gap      time.Duration // the usual one
	last     time.Time
}

// NewPace starts to judge an attempt that was sent now.
func NewPace(expected, pause time.Duration) *Pace {
	if pause <= 0 {
		pause = pauseDefault
	}
	return &Pace{Expected: expected, Pause: pause, last: time.Now()}
}

// Event notes that an event came.
func (p *Pace) Event() {
	now := time.Now()
	gap := now.Sub(p.last)
	p.last = now
	if !p.begun {
		p.begun = true
		return
	}
	if p.gap == 0 {
		p.gap = gap
		return
	}
	p.gap += time.Duration(gapWeight * float64(gap-p.gap))
}

// Begun reports whether an event has come.
func (p *Pace) Begun() bool { return p.begun }

// Step is what to do about a silence.
type Step int

// The steps that a silence may call for.
const (
	StepWait  Step = iota
	StepProbe      // ask whether the server is there
	StepHung       // the server is there and does not work: give it up
)

// Judge decides on a silence of a given length. It returns when to ask again. A
// silence before the first event is probed at intervals.
func (p *Pace) Judge(silent time.Duration) (Step, time.Duration) {
	if !p.begun {
		if silent > firstFactor*p.Expected+firstSlack {
			return StepHung, 0
		}
		if silent >= firstProbe {
			return StepProbe, askAgain
		}
		return StepWait, firstProbe - silent
	}
	probe := min(probeLatest, max(probeSoonest, probeFactor*p.gap))
	hang := min(time.Duration(hangPart*float64(p.Pause)), max(hangSoon, hangFactor*p.gap))
	switch {
	case silent >= hang:
		return StepHung, 0
	case silent >= probe:
		return StepProbe, askAgain
	}
	return StepWait, probe - silent
}

// ProbeSince returns from when on a probe tells something of a silence: probes
// before the first event are repeated.
func (p *Pace) ProbeSince(silent time.Duration) time.Time {
	now := time.Now()
	if p.begun {
		return now.Add(-silent + probeSoonest)
	}
	return now.Add(-silent % firstProbe)
}
