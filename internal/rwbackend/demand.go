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
	minPrefillSamples = 3
)

// keepPrefillLocked keeps what a run that ended tells of its server. The runs of all instances
// do, so that an instance that starts knows the rate within seconds.
func (d *Directory) keepPrefillLocked(rate int) {
	if rate <= 0 {
		return
	}
	d.prefillSamples = append(d.prefillSamples, float64(rate))
	if excess := len(d.prefillSamples) - maxPrefillSamples; excess > 0 {
		d.prefillSamples = slices.Delete(d.prefillSamples, 0, excess)
	}
}

// MeasuredPrefillRate returns the upper quartile of the prefill rates in the last runs that told
// one, in prompt tokens per second, and false while they are too few. Prompts of which an instance
// had not heard yet only make its figures lower. Unlike PrefillRate it doesn't start from an
// assumed rate.
func (d *Directory) MeasuredPrefillRate() (float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.prefillSamples) < minPrefillSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.prefillSamples))
	return sorted[len(sorted)*3/4], true
}
