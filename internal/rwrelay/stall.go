package rwrelay

import (
	"time"
)

// Thresholds for the time since the last event of a stream.
const (
	// probeFactor is the number of mean gaps after which a server is probed.
	probeFactor = 3
	// minProbeDelay is the least such time: gaps of some 10 ms are jitter.
	minProbeDelay = 120 * time.Millisecond
	// maxProbeFraction of MaxEventGap is the longest such time: a probe and a switch to
	// another server must still fit into the rest.
	maxProbeFraction = 0.45
	// recentGapFactor is how many times the longest recent gap a server is not probed for. While a
	// server prefills another prompt, its gaps are all about as long.
	recentGapFactor = 1.3
	// hangFactor is the number of mean gaps after which a server that can be reached
	// is considered hung. The time is at least minHangTimeout, but never more than
	// maxHangFraction of MaxEventGap.
	hangFactor      = 8
	minHangTimeout  = 450 * time.Millisecond
	maxHangFraction = 0.8
	// minFirstProbeInterval is the least time between probes before the first event. It is
	// more, up to firstProbeFraction of the target latency, where the target leaves time to
	// start again at another server.
	minFirstProbeInterval = 300 * time.Millisecond
	firstProbeFraction    = 0.125
	// The timeout for the first event is firstEventFactor times the expected time until
	// it, which covers the prefill of the queued prompts, plus firstEventSlack.
	firstEventFactor = 2
	firstEventSlack  = 2200 * time.Millisecond
	// gapSmoothing is the weight of a new gap in the moving average.
	gapSmoothing = 0.2
	// recentGapDecay is the part by which the longest recent gap approaches a shorter new one.
	recentGapDecay = 0.2
	// defaultMaxEventGap applies to routes that set no maximum gap.
	defaultMaxEventGap = 700 * time.Millisecond
	// probeLifetime is how long the result of a probe applies.
	probeLifetime = 600 * time.Millisecond
	// recheckInterval is the time between checks while the result of a probe is pending.
	recheckInterval = 30 * time.Millisecond
)

// StallDetector tracks the gaps between the events of one attempt and detects a server
// that stopped sending.
type StallDetector struct {
	ExpectedFirst time.Duration // expected time until the first event
	MaxEventGap   time.Duration // longest acceptable time between two events
	TargetLatency time.Duration // within which the first event should arrive; zero for no target
	started       bool          // the first event has arrived
	meanGap       time.Duration // moving average; zero until the second event
	recentGap     time.Duration // longest of the recent gaps, which decays; zero until the second event
	lastEvent     time.Time     // time of the last event; the start of the attempt before the first
	waitingSince  time.Time     // when the wait for the next event began
}

// NewStallDetector returns the StallDetector of an attempt that is sent now. A
// maxEventGap of zero or less selects a default.
func NewStallDetector(expectedFirst, maxEventGap time.Duration) *StallDetector {
	if maxEventGap <= 0 {
		maxEventGap = defaultMaxEventGap
	}
	return &StallDetector{ExpectedFirst: expectedFirst, MaxEventGap: maxEventGap, lastEvent: time.Now(), waitingSince: time.Now()}
}

// Wait records that the wait for the next event begins now. Until then the caller of the
// stream may have kept this instance waiting.
func (d *StallDetector) Wait() { d.waitingSince = time.Now() }

// Waiting returns how long the wait for the next event has lasted.
func (d *StallDetector) Waiting() time.Duration { return time.Since(d.waitingSince) }

// RecordEvent records the arrival of an event.
func (d *StallDetector) RecordEvent() {
	now := time.Now()
	gap := now.Sub(d.lastEvent)
	d.lastEvent = now
	if !d.started {
		d.started = true
		return
	}
	d.recentGap = max(gap, d.recentGap+time.Duration(recentGapDecay*float64(gap-d.recentGap)))
	if d.meanGap == 0 {
		d.meanGap = gap
		return
	}
	d.meanGap += time.Duration(gapSmoothing * float64(gap-d.meanGap))
}

// firstProbeInterval returns the time between probes before the first event.
func (d *StallDetector) firstProbeInterval() time.Duration {
	return max(minFirstProbeInterval, time.Duration(firstProbeFraction*float64(d.TargetLatency)))
}

// probeDelay returns the time without an event after which the server is probed.
func (d *StallDetector) probeDelay() time.Duration {
	usual := max(minProbeDelay, probeFactor*d.meanGap, time.Duration(recentGapFactor*float64(d.recentGap)))
	return min(usual, time.Duration(maxProbeFraction*float64(d.MaxEventGap)))
}

// Begun reports whether an event has arrived.
func (d *StallDetector) Begun() bool { return d.started }

// Step is the action to take while no event arrives.
type Step int

// Actions while no event arrives.
const (
	StepWait  Step = iota // check again later
	StepProbe             // probe whether the server can be reached
	StepHung              // the server can be reached but sends nothing: end the attempt
)

// Judge returns the action to take if no event has arrived for the given time, and the
// time until the next check. Before the first event the server is probed at intervals.
func (d *StallDetector) Judge(silence time.Duration) (Step, time.Duration) {
	if !d.started {
		if silence > firstEventFactor*d.ExpectedFirst+firstEventSlack {
			return StepHung, 0
		}
		if interval := d.firstProbeInterval(); silence < interval {
			return StepWait, interval - silence
		}
		return StepProbe, recheckInterval
	}
	probeDelay := d.probeDelay()
	hangTimeout := min(time.Duration(maxHangFraction*float64(d.MaxEventGap)), max(minHangTimeout, hangFactor*d.meanGap))
	switch {
	case silence >= hangTimeout:
		return StepHung, 0
	case silence >= probeDelay:
		return StepProbe, recheckInterval
	}
	return StepWait, probeDelay - silence
}

// ProbeSince returns the earliest time of a probe whose result still applies after the
// given time without an event. Before the first event that is the start of the current
// probe interval, so that probes are repeated, as they are in a long silence.
func (d *StallDetector) ProbeSince(silence time.Duration) time.Time {
	now := time.Now()
	if d.started {
		return now.Add(max(-silence+minProbeDelay, -probeLifetime))
	}
	return now.Add(-silence % d.firstProbeInterval())
}
