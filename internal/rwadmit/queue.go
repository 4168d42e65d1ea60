package rwadmit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwurgency"
)

const (
	// maxWaiting bounds those who wait at an instance, and maxWaitingBytes the bodies that
	// they hold together.
	maxWaiting      = 256
	maxWaitingBytes = 4 << 20
	// maxTried bounds how many waiters are looked at in one round.
	maxTried = 16
	// minRetryAfter and retryPart bound the time after which a refused caller is to come back: it
	// isn't long enough to have no time left, with the spread that is added to it.
	minRetryAfter = time.Second
	retryPart     = 0.25
	// excessShare is how many times its usual part of the streams an organisation may have
	// before the others come first, and excessMargin what is allowed above, as a part of all.
	excessShare  = 2
	excessMargin = 0.1
)

// Waiter is one stream that waits for its turn.
type Waiter struct {
	Urgency      rwurgency.Urgency
	Organisation string
	Tokens       int       // of memory that it takes
	Bytes        int       // that its caller's request holds
	ArrivedAt    time.Time // at this instance
	OnTimeUntil  time.Time // when it must go to meet its target
	GoneAfter    time.Time // when its deadline leaves no time for it to finish

	order uint64
}

// Aged returns which part of the time that it can wait has passed, from 0 to 1.
func (w *Waiter) Aged(now time.Time) float64 {
	whole := w.OnTimeUntil.Sub(w.ArrivedAt)
	if whole <= 0 {
		return 1
	}
	return min(1, max(0, float64(now.Sub(w.ArrivedAt))/float64(whole)))
}

// Ceiling returns the load up to which the waiter is added to servers now.
func (w *Waiter) Ceiling(e Engine, now time.Time) Ceiling {
	return NewCeiling(e, w.Urgency.Yield(), w.Aged(now), w.Urgency.Shortest())
}

// Late reports whether the waiter can't meet its target any more.
func (w *Waiter) Late(now time.Time) bool { return now.After(w.OnTimeUntil) }

// Traffic is what all instances do with a service's streams, as their notices show it.
type Traffic struct {
	Instances int     // at least 1
	Rate      float64 // streams that end a second, and make room

	// Excessive reports whether an organisation has many times its usual part; nil for none.
	Excessive func(organisation string) bool
}

func (t Traffic) excess(organisation string) int {
	if t.Excessive != nil && t.Excessive(organisation) {
		return 1
	}
	return 0
}

// Queue holds who waits at one instance for a service. It is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter
	bytes   int
	last    uint64
}

// Len returns how many wait.
func (q *Queue) Len() int { return len(q.waiters) }

// Add adds a waiter. It reports false, and adds nothing, if too many wait.
func (q *Queue) Add(w *Waiter) bool {
	if len(q.waiters) >= maxWaiting || q.bytes+w.Bytes > maxWaitingBytes {
		return false
	}
	q.last++
	w.order = q.last
	q.bytes += w.Bytes
	q.waiters = append(q.waiters, w)
	return true
}

// Remove removes a waiter that goes, is refused or has left.
func (q *Queue) Remove(w *Waiter) {
	if n := slices.Index(q.waiters, w); n >= 0 {
		q.waiters = slices.Delete(q.waiters, n, n+1)
		q.bytes -= w.Bytes
	}
}

// compare orders waiters: those that can meet their target first, then by class, then those
// of organisations within their usual part, then by deadline.
func compare(a, b *Waiter, t Traffic, now time.Time) int {
	ac, _ := a.Urgency.Class()
	bc, _ := b.Urgency.Class()
	return cmp.Or(
		cmp.Compare(lateness(a, now), lateness(b, now)), cmp.Compare(ac, bc),
		cmp.Compare(t.excess(a.Organisation), t.excess(b.Organisation)), a.Urgency.Compare(b.Urgency), cmp.Compare(a.order, b.order))
}

func lateness(w *Waiter, now time.Time) int {
	if w.Late(now) {
		return 1
	}
	return 0
}

// Sort orders the waiters and returns those who go next, first the ones that go first.
func (q *Queue) Sort(t Traffic, now time.Time) []*Waiter {
	slices.SortFunc(q.waiters, func(a, b *Waiter) int { return compare(a, b, t, now) })
	return slices.Clone(q.waiters)
}

// Wait estimates how long a waiter would wait if it came now. Others are assumed to have as many
// waiting as this instance.
func (q *Queue) Wait(w *Waiter, t Traffic, now time.Time) time.Duration {
	ahead := 0
	for _, other := range q.waiters {
		if compare(other, w, t, now) < 0 {
			ahead++
		}
	}
	seconds := float64(ahead*max(1, t.Instances)) / max(1, t.Rate)
	return time.Duration(seconds * float64(time.Second))
}

// Bears reports whether a waiter can bear a wait. One that can't meet its target any more can
// still wait for room that nobody else needs, as long as its deadline allows.
func (w *Waiter) Bears(wait time.Duration, now time.Time) bool {
	if w.Late(now) {
		return now.Add(wait).Before(w.GoneAfter)
	}
	return !now.Add(wait).After(w.OnTimeUntil)
}

// Verdict is what becomes of a stream that arrives.
type Verdict int

// Verdicts.
const (
	Goes Verdict = iota
	Waits
	IsRefused
)

// Arrive decides on a stream that arrives, or that found no server in its turn (again), and adds it
// to the queue if it waits. It also returns the wait to be expected.
func (q *Queue) Arrive(w *Waiter, room Room, t Traffic, now time.Time, again bool) (Verdict, time.Duration) {
	urgent := w.Urgency.Yield() == 0
	if room.Servers == 0 || !again && q.Len() == 0 && (room.Ample() || urgent && room.Streams > 0) {
		return Goes, 0
	}
	wait := q.Wait(w, t, now)
	if !urgent && !again && !w.Bears(wait, now) || !q.Add(w) {
		return IsRefused, wait
	}
	return Waits, wait
}

// Round removes and returns those who go now, and those who are refused, as they can't be served
// by their deadline. random is from 0 up to, and not including, 1. A stream that has no room keeps
// those back that come after it, but for more urgent ones.
func (q *Queue) Round(servers []rwbackend.View, e Engine, t Traffic, random float64, now time.Time) (next, refused []*Waiter) {
	blocked := math.MaxInt
	for n, w := range q.Sort(t, now) {
		grade, _ := w.Urgency.Grade()
		if w.Late(now) && !w.Bears(q.Wait(w, t, now), now) {
			refused = append(refused, w)
			q.Remove(w)
			continue
		}
		if grade >= blocked || n >= maxTried {
			continue
		}
		room := NewRoom(servers, e, w.Ceiling(e, now), w.Tokens)
		allowed := room.Streams
		if w.Urgency.Yield() > 0 {
			allowed = part(room, t.Instances, random)
		}
		if len(next) >= allowed && room.Servers > 0 {
			blocked = grade
			continue
		}
		next = append(next, w)
		q.Remove(w)
	}
	return next, refused
}

// RetryAfter returns when a waiter that can't bear a wait is to come back.
func (w *Waiter) RetryAfter(wait time.Duration, now time.Time) time.Duration {
	left := w.Urgency.Deadline().Sub(now)
	return max(minRetryAfter, min(wait, time.Duration(retryPart*float64(left))))
}

// part returns how many streams that can wait this instance may let go now, of those that there is
// room for: its part of them, rounded at random so that all instances together take the whole.
// random is from 0 up to, and not including, 1.
func part(room Room, instances int, random float64) int {
	return int(float64(room.Streams)/float64(max(1, instances)) + random)
}

// Excessive reports whether an organisation has many times its usual part of the streams: placed
// is its part of those of the last seconds, usual that of a longer time before. Both are from
// 0 to 1.
func Excessive(placed, usual float64) bool { return placed > excessShare*usual+excessMargin }
