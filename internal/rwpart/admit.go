package rwpart

import (
	"slices"
	"time"

	"ragwortwall/internal/rwerror"
)

// trialIntervals are the times from the beginning of a hold, and then from each trial, to the
// next. The last one repeats. Each trial may crash one more server.
var trialIntervals = []time.Duration{30 * time.Second, 5 * time.Minute, 25 * time.Minute, HoldLife}

// doubtfulTrialIntervals are those for holds that are doubtful, see entry: the servers may have
// been lost for another reason, which is mostly over within seconds.
var doubtfulTrialIntervals = append([]time.Duration{2 * time.Second}, trialIntervals...)

// Instances try a held part in turn, as one that comes earlier may be gone or have no request
// with the part. A turn covers the time until others know of a crash.
const (
	trialTurn      = 3 * time.Second
	plainTrialTurn = 500 * time.Millisecond
)

func (e *entry) trialTurn() time.Duration {
	if e.plain() {
		return plainTrialTurn
	}
	return trialTurn
}

// plain reports whether the part is a trait of requests without events.
func (e *entry) plain() bool {
	return slices.ContainsFunc(e.losses, func(l recordedLoss) bool { return l.Plain })
}

// minRetryAfter is sent to callers when a trial is due at another instance.
const minRetryAfter = 5 * time.Second

// plainTrialIntervals are those for requests without events. Servers that they crash run other
// requests beside them, which have traits of their own: the first trial soon tells them apart.
var plainTrialIntervals = []time.Duration{1500 * time.Millisecond, 10 * time.Second, time.Minute, HoldLife}

// holdSettleTime is the time after the beginning of a hold in which losses are taken for those
// of requests that were sent before it.
const holdSettleTime = time.Second

// delayTrial delays the next trial to an interval after a loss, a trial or the beginning of the
// hold. Traits that were held together are tried one after the other, as a crash under one of
// them would count for those beside it.
func (e *entry) delayTrial(part Key, since time.Time) {
	intervals := trialIntervals
	switch {
	case e.plain():
		intervals = plainTrialIntervals
	case e.doubtful:
		intervals = doubtfulTrialIntervals
	}
	interval := intervals[min(e.trials, len(intervals)-1)]
	if e.plain() {
		const steps = 64
		interval += 2 * interval * time.Duration(part%steps) / steps
	}
	if at := since.Add(interval); at.After(e.trialAt) {
		e.trialAt = at
	}
}

// putOffTrialLocked has this instance wait for a turn, as another one tries the part.
func (r *Registry) putOffTrialLocked(part Key, now time.Time) {
	if !r.heldLocked(part, now) {
		return
	}
	e := r.entries[part]
	if at := now.Add(e.trialTurn()); at.After(e.trialAt) {
		e.trialAt = at
	}
}

// Admit returns an error if a request with the parts must not be sent to a server of the
// version, because one of them is held. If all that are held are due for a trial, it admits
// the request as one.
func (r *Registry) Admit(parts []Key, version Version) (trial bool, refusal *rwerror.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var held map[Key]*entry
	var first Key // of those held; all instances judge by the same one who tries
	retryAfter, overdue := minRetryAfter, HoldLife
	for _, part := range parts {
		if !r.heldForLocked(part, version, now) {
			continue
		}
		e := r.entries[part]
		if held == nil {
			held, first = map[Key]*entry{}, part
		}
		first = min(first, part)
		held[part] = e
		retryAfter, overdue = max(retryAfter, e.trialAt.Sub(now)), min(overdue, now.Sub(e.trialAt))
	}
	if len(held) == 0 {
		return false, nil
	}
	if overdue < 0 || r.TrialRank != nil && overdue < time.Duration(r.TrialRank(first))*r.entries[first].trialTurn() {
		return false, rwerror.New(rwerror.KindQuarantined, "change the request, or contact the operators",
			"backend servers crashed under requests that share a part of the prompt, path, query or body with this one").WithRetryAfter(retryAfter)
	}
	for part, e := range held {
		e.trials++
		e.trying = true
		e.delayTrial(part, now)
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
