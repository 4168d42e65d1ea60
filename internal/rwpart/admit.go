package rwpart

import (
	"time"

	"ragwortwall/internal/rwerror"
)

// trialIntervals are the times from the beginning of a hold, and then from each trial, to the
// next. The last one repeats. Each trial may crash one more server.
var trialIntervals = []time.Duration{30 * time.Second, 5 * time.Minute, 25 * time.Minute, HoldLife}

// minRetryAfter is sent to callers when a trial is due at another instance.
const minRetryAfter = 5 * time.Second

// delayTrial sets when the next trial may be.
func (e *entry) delayTrial(now time.Time) {
	e.trialAt = now.Add(trialIntervals[min(e.trials, len(trialIntervals)-1)])
}

// Admit returns an error if a request with the parts must not be sent to a server of the
// version, because one of them is held. If all that are held are due for a trial, it admits
// the request as one.
func (r *Registry) Admit(parts []Key, version Version) (trial bool, refusal *rwerror.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var held []*entry
	due := true
	retryAfter := minRetryAfter
	for _, part := range parts {
		if !r.heldForLocked(part, version, now) {
			continue
		}
		e := r.entries[part]
		held = append(held, e)
		due = due && !now.Before(e.trialAt) && (r.MayTry == nil || r.MayTry(part))
		retryAfter = max(retryAfter, e.trialAt.Sub(now))
	}
	if len(held) == 0 {
		return false, nil
	}
	if !due {
		return false, rwerror.New(rwerror.KindQuarantined, "change the request, or contact the operators",
			"backend servers crashed under requests that share a part of the prompt, path, query or body with this one").WithRetryAfter(retryAfter)
	}
	for _, e := range held {
		e.trials++
		e.delayTrial(now)
	}
	return true, nil
}

// heldForLocked reports whether a part is held for servers of a version: it is held, and no
// server of that version wrote on it, or it crashes those as well.
func (r *Registry) heldForLocked(part Key, version Version, now time.Time) bool {
	if !r.heldLocked(part, now) {
		return false
	}
	if _, sound := r.sound.lookup(soundPart{part, version}, now); !sound {
		return true
	}
	return r.crashesVersionLocked(part, r.entries[part], version, now)
}
