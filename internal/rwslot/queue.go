package rwslot

import (
	"time"
)

// Request is a request for a slot of a server.
type Request struct {
	Lease         string // ID chosen by the holder; also the ID of the stream at the server
	Holder        string
	Organisation  string
	Weight        int
	Priority      int
	Tokens        int           // expected tokens; the cost in the queue
	MaxWait       time.Duration // maximum time in the queue
	UntilDeadline time.Duration // until the caller's deadline; zero if unknown
	Resumed       bool          // the stream had started and a caller waits for the rest
	Fingerprint   uint64        // equal for copies of one request
	Suspect       bool          // suspected of crashing servers
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request  Request
	tag      float64 // virtual finish time
	sequence int
	reply    chan error // nil when the slot is granted
	answered bool       // reply was sent
}

// fairQueue orders requests: resumed ones first, then by priority, then by
// weighted fair queueing over organisations, with expected tokens as the cost.
type fairQueue struct {
	items       []*queuedRequest
	virtualTime float64            // latest virtual start time of a request that was granted a slot
	lastFinish  map[string]float64 // virtual finish time of the last request, by organisation
	sequence    int                // of the last request; breaks ties
}

// push adds a request. Its virtual finish time is that of the organisation's last
// request, or the virtual time if that is later, plus its cost divided by its weight.
func (q *fairQueue) push(r Request) *queuedRequest {
	if q.lastFinish == nil {
		q.lastFinish = map[string]float64{}
	}
	start := max(q.virtualTime, q.lastFinish[r.Organisation])
	tag := start + float64(max(1, r.Tokens))/float64(max(1, r.Weight))
	q.lastFinish[r.Organisation] = tag
	q.sequence++
	w := &queuedRequest{request: r, tag: tag, sequence: q.sequence, reply: make(chan error, 1)}
	q.items = append(q.items, w)
	return w
}

// pop removes and returns the first request that fits, or returns nil.
func (q *fairQueue) pop(fits func(Request) bool) *queuedRequest {
	best := -1
	for i, w := range q.items {
		if fits(w.request) && (best < 0 || w.before(q.items[best])) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := q.items[best]
	q.removeAt(best)
	q.virtualTime = max(q.virtualTime, w.tag-float64(max(1, w.request.Tokens))/float64(max(1, w.request.Weight)))
	if len(q.items) == 0 {
		clear(q.lastFinish)
		q.virtualTime = 0
	}
	return w
}

// last returns the request that would be served last, or nil.
func (q *fairQueue) last() *queuedRequest {
	var last *queuedRequest
	for _, w := range q.items {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}

func (w *queuedRequest) before(other *queuedRequest) bool {
	switch {
	case w.request.Resumed != other.request.Resumed:
		return w.request.Resumed
	case w.request.Priority != other.request.Priority:
		return w.request.Priority > other.request.Priority
	case w.tag != other.tag:
		return w.tag < other.tag
	default:
		return w.sequence < other.sequence
	}
}

// remove deletes a request that was not served and refunds its cost to the
// organisation.
func (q *fairQueue) remove(w *queuedRequest) {
	for i, item := range q.items {
		if item == w {
			q.removeAt(i)
			q.lastFinish[w.request.Organisation] -= float64(max(1, w.request.Tokens)) / float64(max(1, w.request.Weight))
			return
		}
	}
}

func (q *fairQueue) removeAt(i int) {
	q.items = append(q.items[:i], q.items[i+1:]...)
}

// countAhead returns how many queued requests would be served before request r if
// it were pushed now.
func (q *fairQueue) countAhead(r Request) int {
	start := max(q.virtualTime, q.lastFinish[r.Organisation])
	probe := &queuedRequest{request: r, tag: start + float64(max(1, r.Tokens))/float64(max(1, r.Weight)), sequence: q.sequence + 1}
	n := 0
	for _, w := range q.items {
		if w.before(probe) {
			n++
		}
	}
	return n
}
