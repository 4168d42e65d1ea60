package rwslot

import (
	"time"
)

// Ask is a request for a slot.
type Ask struct {
	Lease        string // chosen by the asker; names the stream at the engine
	Holder       string
	Organisation string
	Weight       int
	Priority     int
	Tokens       int // work expected
	Patience     time.Duration
	Left         time.Duration // until the caller has no more use for the answer; zero if unknown
	Resume       bool          // the work has begun and a caller waits
	Fingerprint  uint64
	Suspect      bool
}

// waiting is an ask in the queue.
type waiting struct {
	ask   Ask
	tag   float64 // virtual finish time
	order int
	reply chan error // nil when the slot is granted
	done  bool
}

// fairQueue orders asks: resumed work first, then by priority, then by weighted
// fair queueing over the organisations, counted in tokens of work.
type fairQueue struct {
	items   []*waiting
	virtual float64
	finish  map[string]float64
	order   int
}

func (q *fairQueue) push(a Ask) *waiting {
	if q.finish == nil {
		q.finish = map[string]float64{}
	}
	start := max(q.virtual, q.finish[a.Organisation])
	tag := start + float64(max(1, a.Tokens))/float64(max(1, a.Weight))
	q.finish[a.Organisation] = tag
	q.order++
	w := &waiting{ask: a, tag: tag, order: q.order, reply: make(chan error, 1)}
	q.items = append(q.items, w)
	return w
}

// pop takes out the first ask that fits, or returns nil.
func (q *fairQueue) pop(fits func(Ask) bool) *waiting {
	best := -1
	for i, w := range q.items {
		if fits(w.ask) && (best < 0 || w.before(q.items[best])) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := q.items[best]
	q.removeAt(best)
	q.virtual = max(q.virtual, w.tag-float64(max(1, w.ask.Tokens))/float64(max(1, w.ask.Weight)))
	if len(q.items) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
	return w
}

// last is the ask that would be served last, or nil.
func (q *fairQueue) last() *waiting {
	var last *waiting
	for _, w := range q.items {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}

func (w *waiting) before(other *waiting) bool {
	switch {
	case w.ask.Resume != other.ask.Resume:
		return w.ask.Resume
	case w.ask.Priority != other.ask.Priority:
		return w.ask.Priority > other.ask.Priority
	case w.tag != other.tag:
		return w.tag < other.tag
	default:
		return w.order < other.order
	}
}

// remove takes out an ask that gave up. The organisation gets its turn back.
func (q *fairQueue) remove(w *waiting) {
	for i, item := range q.items {
		if item == w {
			q.removeAt(i)
			q.finish[w.ask.Organisation] -= float64(max(1, w.ask.Tokens)) / float64(max(1, w.ask.Weight))
			return
		}
	}
}

func (q *fairQueue) removeAt(i int) {
	q.items = append(q.items[:i], q.items[i+1:]...)
}

// ahead counts the asks that would be served before an ask pushed now.
func (q *fairQueue) ahead(a Ask) int {
	start := max(q.virtual, q.finish[a.Organisation])
	probe := &waiting{ask: a, tag: start + float64(max(1, a.Tokens))/float64(max(1, a.Weight)), order: q.order + 1}
	n := 0
	for _, w := range q.items {
		if w.before(probe) {
			n++
		}
	}
	return n
}
