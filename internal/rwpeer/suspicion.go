package rwpeer

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"ragwortwall/internal/rwpoison"
)

const (
	// suspicionCopies is how often a suspicion of more than one loss is sent,
	// suspicionInterval apart. Single losses are sent once: they are many when a zone fails.
	suspicionCopies   = 3
	suspicionInterval = 300 * time.Millisecond
	// maxWaitingSuspicions limits the suspicions of this instance that wait to be sent.
	maxWaitingSuspicions = 256
	// noticeOverhead is the space that a notice needs beside its suspicions, in bytes.
	noticeOverhead = 200
)

// AnnounceSuspicion announces a request under which servers were lost. A suspicion of
// more than one loss is announced again, as it is then, in case datagrams get lost.
func (x *Exchange) AnnounceSuspicion(s rwpoison.Suspicion) {
	x.announceSuspicion(s)
	if s.Completed || len(s.Losses) < 2 && !s.Rejected() {
		return
	}
	for n := range suspicionCopies - 1 {
		time.AfterFunc(time.Duration(n+1)*suspicionInterval, func() {
			if now := x.Poison.Get(s.Fingerprint); len(now.Losses) > 0 || now.Rejected() {
				x.announceSuspicion(now)
			}
		})
	}
}

func (x *Exchange) announceSuspicion(s rwpoison.Suspicion) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scheduleFlushLocked()
	x.pendingSuspicions = append(x.pendingSuspicions, s)
}

// mergeSuspicion applies a suspicion that was received. Repeated ones are not logged.
func (x *Exchange) mergeSuspicion(from string, s rwpoison.Suspicion) {
	before := x.Poison.Get(s.Fingerprint)
	x.Poison.Merge(s)
	after := x.Poison.Get(s.Fingerprint)
	if !reflect.DeepEqual(before, after) {
		x.Log.Info("suspicion received from a peer", "fingerprint", s.Fingerprint.String(), "by", from, "losses", len(after.Losses), "crashes", len(after.Servers), "told", len(s.Losses), "completed", s.Completed,
			"quarantined", after.Rejected())
	}
}

// forward sends a notice of another instance to the rest of this zone. Suspicions go
// through the outbox: a zone's worth of them at once would exceed its bound.
func (x *Exchange) forward(n Notice) {
	to := slices.Clone(x.Members.ByZone()[x.Members.Zone])
	to = slices.DeleteFunc(to, func(m Member) bool { return m.Name == n.From })
	if len(n.Suspicions) == 0 {
		x.send(to, n)
		return
	}
	p := prioritySingleLosses
	if slices.ContainsFunc(n.Suspicions, urgent) {
		p = priorityUrgent
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.outbox.waiting[p]) < maxWaitingJobs {
		x.queueLocked(p, &job{to: to, build: func() (Notice, bool) { return n, true }})
	}
	x.pumpLocked()
}

// urgent reports whether a suspicion has to reach other instances before they send the
// request to another server.
func urgent(s rwpoison.Suspicion) bool {
	return s.Completed || s.Rejected() || len(s.Losses) > 1 || len(s.Servers) > 1
}

// queueSuspicions queues suspicions of this instance for all others.
func (x *Exchange) queueSuspicions(all []rwpoison.Suspicion) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range all {
		x.outbox.suspicions.add(s)
	}
	x.pumpLocked()
}

// queueOwnSuspicionsLocked moves the next suspicions of a priority to the outbox, unless
// earlier ones are still waiting there.
func (x *Exchange) queueOwnSuspicionsLocked(p priority) {
	if p != priorityUrgent && p != prioritySingleLosses || slices.ContainsFunc(x.outbox.waiting[p], func(j *job) bool { return j.own }) {
		return
	}
	chunk := x.outbox.suspicions.next(p == priorityUrgent)
	if len(chunk) == 0 {
		return
	}
	n := x.withSender(Notice{Suspicions: chunk})
	direct, relays := x.recipients()
	x.queueLocked(p, &job{own: true, to: direct, build: func() (Notice, bool) { return n, true }})
	relayed := n
	relayed.Relay = true
	x.queueLocked(p, &job{own: true, to: relays, build: func() (Notice, bool) { return relayed, true }})
}

// suspicionQueue holds suspicions to be sent, one for each request but for completions,
// which must not be lost when a later loss follows.
type suspicionQueue []rwpoison.Suspicion

// add adds a suspicion in place of an earlier one of the same request.
func (q *suspicionQueue) add(s rwpoison.Suspicion) {
	for i, other := range *q {
		if other.Fingerprint == s.Fingerprint && !other.Completed {
			(*q)[i] = s
			return
		}
	}
	if len(*q) >= maxWaitingSuspicions {
		oldest := max(0, slices.IndexFunc(*q, func(s rwpoison.Suspicion) bool { return !urgent(s) }))
		*q = slices.Delete(*q, oldest, oldest+1)
	}
	*q = append(*q, s)
}

// next removes and returns as many suspicions, urgent or not, as fit into a notice.
func (q *suspicionQueue) next(wantUrgent bool) []rwpoison.Suspicion {
	var candidates, rest []rwpoison.Suspicion
	for _, s := range *q {
		if urgent(s) == wantUrgent {
			candidates = append(candidates, s)
		} else {
			rest = append(rest, s)
		}
	}
	n := fitting(candidates, maxNoticeBytes-noticeOverhead)
	if n == 0 {
		return nil
	}
	*q = slices.Concat(rest, candidates[n:])
	return candidates[:n]
}

// fitting returns how many of the first suspicions fit into so many bytes, at least one
// if there are any.
func fitting(all []rwpoison.Suspicion, size int) int {
	for n, s := range all {
		content, err := json.Marshal(s)
		size -= len(content) + 1
		if err != nil || size < 0 {
			return max(1, n)
		}
	}
	return len(all)
}
