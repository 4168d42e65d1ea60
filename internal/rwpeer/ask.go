package rwpeer

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwall/internal/rwpoison"
)

const (
	// maxHelloSuspicions is how many suspicions an instance that has just started gets from
	// each instance that it asks. Quarantines also reach it from the store.
	maxHelloSuspicions = 32
	// maxAskWeights is how many suspicions fit into a request. It exceeds
	// maxHelloSuspicions, so that those received are not sent again.
	maxAskWeights = 40
	// instancesToAsk is how many instances must answer, besides those that have just
	// started too, and maxInstancesToAsk how many are asked at most.
	instancesToAsk    = 3
	maxInstancesToAsk = 12
	// askAttempts is how often an instance that doesn't answer is asked. The wait for an
	// answer starts with askTimeout and doubles.
	askAttempts = 3
	askTimeout  = 300 * time.Millisecond
	// maxAnswersPerInstance limits the answers of one instance, each of one notice.
	maxAnswersPerInstance = 24
	// rejectedWeight is the weight of a suspicion that more losses don't change.
	rejectedWeight = 100
)

// SuspicionRequest asks for suspicions that the sender doesn't know.
type SuspicionRequest struct {
	Weights map[rwpoison.Fingerprint]int `json:"weights,omitempty"` // those that it knows, by request
}

// SuspicionAnswer describes the suspicions of a notice as an answer.
type SuspicionAnswer struct {
	Left     int  `json:"left,omitempty"`     // suspicions that did not fit
	Starting bool `json:"starting,omitempty"` // the sender has just started and may lack suspicions itself
}

// weight orders the known states of a suspicion: a merged one has at least the weight of
// each part.
func weight(s rwpoison.Suspicion) int {
	if s.Rejected() {
		return rejectedWeight
	}
	return len(s.Losses) + len(s.Servers)
}

// heaviestSuspicions returns at most n suspicions, by weight and then the latest first.
func (x *Exchange) heaviestSuspicions(n int) []rwpoison.Suspicion {
	all := x.Poison.Known()
	slices.SortStableFunc(all, func(a, b rwpoison.Suspicion) int { return cmp.Compare(weight(b), weight(a)) })
	return all[:min(n, len(all))]
}

// askForSuspicions asks other instances in turn, in random order, for the suspicions that
// this one lacks.
func (x *Exchange) askForSuspicions(ctx context.Context) {
	others := x.Members.Reachable()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	complete := 0
	for _, m := range others[:min(maxInstancesToAsk, len(others))] {
		if x.askInstance(ctx, m) {
			complete++
		}
		if complete == instancesToAsk || ctx.Err() != nil {
			return
		}
	}
}

// askInstance asks one instance until nothing is left, and reports whether it answered
// and was not starting too.
func (x *Exchange) askInstance(ctx context.Context, m Member) bool {
	var answered map[rwpoison.Fingerprint]int // weights before the last answer
	for answers, attempt := 0, 0; answers < maxAnswersPerInstance && attempt < askAttempts; {
		weights := map[rwpoison.Fingerprint]int{}
		for _, s := range x.heaviestSuspicions(maxAskWeights) {
			weights[s.Fingerprint] = weight(s)
		}
		if answers > 0 && maps.Equal(answered, weights) {
			return true // the last answer held nothing new
		}
		a, ok := x.ask(ctx, m, weights, askTimeout<<attempt)
		switch {
		case !ok:
			attempt++
		case a.Left == 0 || a.Starting:
			return !a.Starting
		default:
			answers, attempt, answered = answers+1, 0, weights
		}
	}
	return false
}

// ask sends a request for suspicions and waits for the answer. The answer's suspicions
// have been merged when it returns.
func (x *Exchange) ask(ctx context.Context, m Member, weights map[rwpoison.Fingerprint]int, timeout time.Duration) (SuspicionAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replies := make(chan Notice, 1)
	x.mu.Lock()
	x.start.answered = replies
	x.queueNoticeLocked(priorityHello, []Member{m}, Notice{Ask: &SuspicionRequest{Weights: weights}})
	x.pumpLocked()
	x.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return SuspicionAnswer{}, false
		case n := <-replies:
			if n.From == m.Name {
				return *n.Answer, true
			}
		}
	}
}

// recordSuspicionAnswer hands an answer to the request that waits for it.
func (x *Exchange) recordSuspicionAnswer(n Notice) {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case x.start.answered <- n:
	default: // nobody waits
	}
}

// queueSuspicionAnswer queues the answer to a request for suspicions. A repeated request
// replaces one that waits.
func (x *Exchange) queueSuspicionAnswer(n Notice) {
	to, ok := x.Members.Get(n.From)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	_, waiting := x.requests[n.From]
	if x.requests == nil {
		x.requests = map[string]Notice{}
	}
	x.requests[n.From] = n
	if waiting {
		return
	}
	x.queueLocked(prioritySuspicions, &job{to: []Member{to}, build: func() (Notice, bool) {
		request := x.requests[n.From]
		delete(x.requests, n.From)
		return x.withSender(x.suspicionAnswerLocked(request)), true
	}})
	x.pumpLocked()
}

// suspicionAnswerLocked returns the suspicions that an instance lacks, as many as fit.
func (x *Exchange) suspicionAnswerLocked(request Notice) Notice {
	all := x.heaviestSuspicions(maxHelloSuspicions)
	lacking := slices.DeleteFunc(all, func(s rwpoison.Suspicion) bool { return weight(s) <= request.Ask.Weights[s.Fingerprint] })
	n := fitting(lacking, maxNoticeBytes-noticeOverhead)
	return Notice{For: request.Incarnation, Suspicions: lacking[:n], Answer: &SuspicionAnswer{Left: len(lacking) - n, Starting: x.start.active}}
}
