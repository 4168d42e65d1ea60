package rwbackend

import (
	"slices"
)

// Demand counts what callers have asked of the model servers of a service since the start of
// this instance, as the runs of all instances show it. The counts only rise. A stream that runs
// again, because its server was lost or its caller came back, counts once.
type Demand struct {
	Streams int64
	Tokens  int64 // of prompts to prefill
}

// Demand returns what callers have asked of a service's servers.
func (d *Directory) Demand(service string) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand[service]
}

// countDemandLocked counts a run that was not known before. A run that has begun was placed
// some time ago: another instance told of it when this one started.
func (d *Directory) countDemandLocked(r *Run) {
	s, ok := d.servers[r.Server]
	if !ok || r.Started || r.Ended || d.isRepeatLocked(r) {
		return
	}
	total := d.demand[s.Service]
	total.Streams++
	total.Tokens += int64(r.PrefillTokens)
	d.demand[s.Service] = total
}

// isRepeatLocked reports whether a run does again what another one began.
func (d *Directory) isRepeatLocked(r *Run) bool {
	for _, other := range d.requests[r.Request] {
		if other.Lost || !other.Ended {
			return true
		}
	}
	return false
}

const (
	// maxPrefillSamples is how many samples of the prefill rate are kept.
	maxPrefillSamples = 31
	// minPrefillSamples is how many samples make the prefill rate known.
	minPrefillSamples = 2
)

// keepPrefillLocked keeps a sample of the prefill rate, in prompt tokens per second.
func (d *Directory) keepPrefillLocked(rate float64) {
	d.prefillSamples = append(d.prefillSamples, rate)
	if excess := len(d.prefillSamples) - maxPrefillSamples; excess > 0 {
		d.prefillSamples = slices.Delete(d.prefillSamples, 0, excess)
	}
}

// MeasuredPrefillRate returns the upper quartile of the prefill rates that this instance has
// measured last, in prompt tokens per second, and false while it has measured too few. Prompts
// of which this instance had not heard yet only make samples lower. Unlike PrefillRate it doesn't
// start from an assumed rate.
func (d *Directory) MeasuredPrefillRate() (float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.prefillSamples) < minPrefillSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.prefillSamples))
	return sorted[len(sorted)*3/4], true
}
