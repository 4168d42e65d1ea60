package rwusage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is the usage of a window.
type Report struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"` // requests by organisation
}

// frozen is a report whose counts no longer change: the store has, or had, its object.
type frozen struct {
	counts   map[string]int64
	era      int64 // of the store in which the object is known to exist
	calls    int   // that sent it here
	sent     bool  // the platform may have got it
	reported bool  // the platform has accepted it
	unsafe   bool  // the store has other counts than those that were sent
}

// ledger keeps which windows are frozen and reported, and decides what is to be done. It is
// the holder's; an instance keeps it when it loses the duties, as it may get them again.
type ledger struct {
	window   time.Duration
	settle   time.Duration // after the end of a window, for sums that are under way
	due      time.Duration // after the end of a window, by when it is to be reported
	reports  map[int64]*frozen
	closed   int64 // the latest window that is frozen or given up, here or by a former holder; 0 if unknown
	reported int64 // the latest window that a former holder told as reported, with those before it
	// doubtUntil is when the store was first seen in an era that isn't its first. A former
	// holder may have frozen, and sent, what the store has lost.
	doubtUntil Time
}

// life is how long after its end a window may still be frozen and sent.
func (l *ledger) life() time.Duration { return 4 * l.due }

// kept is how long after its end the object of a window is kept: longer than any instance sends
// it, so that no window is frozen twice.
func (l *ledger) kept() time.Duration { return 6 * l.due }

// sinceEnd returns the time since the end of a window.
func (l *ledger) sinceEnd(window int64, now Time) time.Duration {
	return now.Sub(windowEnd(window, l.window))
}

// learn records what a holder has told: the latest windows that it closed and reported. Windows
// that can't have ended aren't believed.
func (l *ledger) learn(closed, reported int64, now Time) {
	if l.sinceEnd(closed, now) >= 0 {
		l.closed = max(l.closed, closed)
	}
	if l.sinceEnd(reported, now) >= 0 {
		l.reported = max(l.reported, reported)
	}
}

// adopt takes over a report as the store has it.
func (l *ledger) adopt(r Report, era int64) {
	if l.reports == nil {
		l.reports = map[int64]*frozen{}
	}
	l.closed = max(l.closed, r.Window)
	old := l.reports[r.Window]
	if old == nil || !old.sent {
		reported := r.Window <= l.reported
		l.reports[r.Window] = &frozen{counts: r.Counts, era: era, sent: reported, reported: reported}
		return
	}
	old.era = era
	old.unsafe = !maps.Equal(old.counts, r.Counts)
}

// nextToClose returns the next window to be frozen. skipped counts the windows before it that no
// longer can be: they are too old, or may have been frozen before the store lost them.
func (l *ledger) nextToClose(now Time) (window, skipped int64, ok bool) {
	if oldest := windowAt(now.Add(-l.life()), l.window); l.closed+1 < oldest {
		skipped = oldest - 1 - l.closed
		l.closed = oldest - 1
	}
	for l.sinceEnd(l.closed+1, now) >= l.settle {
		if windowEnd(l.closed+1, l.window).Add(l.settle) >= l.doubtUntil {
			return l.closed + 1, skipped, true
		}
		l.closed++
		skipped++
	}
	return 0, skipped, false
}

// toSend returns the frozen reports that the platform hasn't accepted: those that were sent least
// often first, so that one whose answers get lost doesn't hold the others up, then the oldest.
func (l *ledger) toSend(era int64, now Time) []Report {
	var send []Report
	for _, window := range slices.Sorted(maps.Keys(l.reports)) {
		f := l.reports[window]
		if !f.reported && !f.unsafe && f.era == era && l.sinceEnd(window, now) < l.life() {
			send = append(send, Report{window, f.counts})
		}
	}
	slices.SortStableFunc(send, func(a, b Report) int {
		return cmp.Compare(l.reports[a.Window].calls, l.reports[b.Window].calls)
	})
	return send
}

// toRestore returns the reports whose objects the store may have lost since an earlier era, the
// oldest first.
func (l *ledger) toRestore(era int64, now Time) []Report {
	var restore []Report
	for _, window := range slices.Sorted(maps.Keys(l.reports)) {
		if f := l.reports[window]; f.era < era && !f.unsafe && l.sinceEnd(window, now) < l.life() {
			restore = append(restore, Report{window, f.counts})
		}
	}
	return restore
}

// toDelete returns the windows whose objects are no longer needed, the oldest first.
func (l *ledger) toDelete(now Time) []int64 {
	var windows []int64
	for _, window := range slices.Sorted(maps.Keys(l.reports)) {
		if l.sinceEnd(window, now) >= l.kept() {
			windows = append(windows, window)
		}
	}
	return windows
}

// reportedThrough returns the latest window that is reported, with all frozen ones before it.
func (l *ledger) reportedThrough() int64 {
	through := l.reported
	for _, window := range slices.Sorted(maps.Keys(l.reports)) {
		if window > through && !l.reports[window].reported {
			break
		}
		through = max(through, window)
	}
	return through
}

// forget drops reports whose objects the present holder has deleted.
func (l *ledger) forget(now Time) {
	maps.DeleteFunc(l.reports, func(window int64, _ *frozen) bool { return l.sinceEnd(window, now) >= 2*l.kept() })
}
