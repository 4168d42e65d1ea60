package rwpeer

import (
	"context"
	"maps"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwtime"
)

const (
	// helloInterval is how long a starting instance waits before its first hello and
	// after it. The wait doubles after each further one, up to maxHelloInterval.
	helloInterval    = 300 * time.Millisecond
	maxHelloInterval = 4 * helloInterval
	// helloRounds is how often a starting instance asks instances that have not answered
	// in full, as datagrams get lost. After earlyHelloRounds it asks for suspicions first:
	// instances that are gone but still listed never answer.
	helloRounds      = 12
	earlyHelloRounds = 3
	// answerInterval is how long an instance doesn't repeat a whole answer.
	answerInterval = time.Second
	// answerLife is how long an instance can repeat parts of an answer.
	answerLife = 30 * time.Second
	// maxLackingParts limits the parts asked for in one hello, which must fit into
	// maxNoticeBytes.
	maxLackingParts = 64
)

// start is the state of an instance's start.
type start struct {
	active   bool                      // suspicions of the others may still be missing
	received map[string]*receivedParts // answers to hellos, by instance
	answered chan Notice               // answers to requests for suspicions
}

// receivedParts is the state of one instance's answer to a hello.
type receivedParts struct {
	parts   int
	missing map[int]bool
}

// helloAnswer is an answer to the hello of one instance. Runs that begin later are
// announced to it, so that all parts can be repeated from the same list of runs.
type helloAnswer struct {
	incarnation int64
	runIDs      []string
	waiting     int       // parts in the outbox
	sentAt      time.Time // when the last part was taken from the outbox
}

// Hello tells the other instances that this one has started, so that they send their
// runs, and asks a few for suspicions. It returns when that has arrived, after helloRounds
// or when ctx ends.
func (x *Exchange) Hello(ctx context.Context) {
	x.mu.Lock()
	x.start.active = true
	x.mu.Unlock()
	x.askForRuns(ctx, 0, earlyHelloRounds)
	x.askForSuspicions(ctx)
	x.mu.Lock()
	x.start.active = false
	x.mu.Unlock()
	x.askForRuns(ctx, earlyHelloRounds, helloRounds)
}

// askForRuns sends hellos to the instances that have not answered in full, until there
// are none left.
func (x *Exchange) askForRuns(ctx context.Context, round, end int) {
	for round < end && rwtime.Sleep(ctx, min(maxHelloInterval, helloInterval<<max(0, round-1))) {
		others := x.Members.Others()
		if len(others) == 0 {
			continue
		}
		if !x.queueHellos(others) {
			return
		}
		for x.hellosWaiting() && rwtime.Sleep(ctx, helloInterval) {
		}
		round++
	}
}

// queueHellos queues a hello to each of the instances that has not answered in full, and
// reports whether there are any.
func (x *Exchange) queueHellos(others []Member) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	var silent []Member
	count := 0
	for _, m := range others {
		r, ok := x.start.received[m.Name]
		switch {
		case !ok:
			silent = append(silent, m)
		case len(r.missing) > 0:
			lacks := slices.Sorted(maps.Keys(r.missing))
			x.queueNoticeLocked(priorityHello, []Member{m}, Notice{Hello: true, Lacks: lacks[:min(maxLackingParts, len(lacks))]})
			count++
		}
	}
	if len(silent) > 0 {
		x.queueNoticeLocked(priorityHello, silent, Notice{Hello: true})
	}
	x.pumpLocked()
	return count+len(silent) > 0
}

func (x *Exchange) queueNoticeLocked(p priority, to []Member, n Notice) {
	x.queueLocked(p, &job{to: to, build: func() (Notice, bool) { return x.withSender(n), true }})
}

func (x *Exchange) hellosWaiting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.outbox.waiting[priorityHello]) > 0
}

// handleStart handles what starting instances and those that answer them send.
func (x *Exchange) handleStart(n Notice) {
	if n.Parts > 0 && n.For == x.Incarnation {
		x.recordPart(n)
	}
	if n.Hello {
		x.welcome(n)
	}
	if n.Ask != nil {
		x.queueSuspicionAnswer(n)
	}
	if n.Answer != nil && n.For == x.Incarnation {
		x.recordSuspicionAnswer(n)
	}
}

// recordPart records that a part of an answer to a hello arrived.
func (x *Exchange) recordPart(n Notice) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.start.received == nil {
		x.start.received = map[string]*receivedParts{}
	}
	r := x.start.received[n.From]
	if r == nil || r.parts != n.Parts {
		r = &receivedParts{parts: n.Parts, missing: map[int]bool{}}
		for part := range n.Parts {
			r.missing[part] = true
		}
		x.start.received[n.From] = r
	}
	delete(r.missing, n.Part)
}

// welcome answers a hello with the runs of this instance, or with the parts of an earlier
// answer that did not arrive. The answer goes through the outbox, which bounds its bytes;
// other content can be queued here too.
func (x *Exchange) welcome(n Notice) {
	to, ok := x.Members.Get(n.From)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	a := x.helloAnswerLocked(n.From, n.Incarnation)
	parts := max(1, (len(a.runIDs)+maxRunsPerNotice-1)/maxRunsPerNotice)
	repeat := len(n.Lacks) == 0 && !a.sentAt.IsZero() && time.Since(a.sentAt) < answerInterval
	if a.waiting > 0 || repeat {
		return
	}
	for part := range parts {
		if len(n.Lacks) > 0 && !slices.Contains(n.Lacks, part) {
			continue
		}
		a.waiting++
		x.queueLocked(priorityRuns, &job{to: []Member{to}, build: func() (Notice, bool) {
			a.waiting--
			a.sentAt = time.Now()
			return x.withSender(Notice{Runs: x.runsLocked(a.runIDs, part), For: n.Incarnation, Parts: parts, Part: part}), true
		}})
	}
	x.pumpLocked()
}

// helloAnswerLocked returns the answer to an instance, and creates it if there is none.
func (x *Exchange) helloAnswerLocked(name string, incarnation int64) *helloAnswer {
	maps.DeleteFunc(x.answers, func(_ string, a *helloAnswer) bool {
		return a.waiting == 0 && time.Since(a.sentAt) > answerLife
	})
	if x.answers == nil {
		x.answers = map[string]*helloAnswer{}
	}
	a := x.answers[name]
	if a == nil || a.incarnation != incarnation {
		a = &helloAnswer{incarnation: incarnation, runIDs: slices.Sorted(maps.Keys(x.ownRuns))}
		x.answers[name] = a
	}
	return a
}

// runsLocked returns the current state of the runs of one part of an answer, without
// those that have ended since.
func (x *Exchange) runsLocked(ids []string, part int) []rwbackend.Run {
	var runs []rwbackend.Run
	from := part * maxRunsPerNotice
	for _, id := range ids[from:min(from+maxRunsPerNotice, len(ids))] {
		if r, ok := x.ownRuns[id]; ok {
			runs = append(runs, r)
		}
	}
	return runs
}
