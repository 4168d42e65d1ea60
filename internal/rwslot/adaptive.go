package rwslot

import "time"

const (
	adaptInterval = time.Second
	shrink        = 0.85
	tooSlow       = 1.10 // of the pace aimed at
)

// adaptive lowers a server's limit below its published capacity while its
// tokens come too slowly, and raises it again: additive increase,
// multiplicative decrease.
type adaptive struct {
	capacity float64
	limit    float64
	last     time.Time
}

func newAdaptive(capacity int) adaptive {
	return adaptive{capacity: float64(capacity), limit: float64(capacity)}
}

// observe takes in the mean time between tokens of a request that ended.
func (a *adaptive) observe(token, pace time.Duration, now time.Time) {
	if token <= 0 || pace <= 0 {
		return
	}
	if float64(token) <= tooSlow*float64(pace) {
		a.limit = min(a.capacity, a.limit+1/a.limit)
		return
	}
	if now.Sub(a.last) < adaptInterval {
		return
	}
	a.last = now
	a.limit = max(1, a.limit*shrink)
}

func (a *adaptive) slots() int { return int(a.limit) }

func (a *adaptive) resize(capacity int) {
	if a.capacity == float64(capacity) {
		return
	}
	a.capacity = float64(capacity)
	a.limit = a.capacity
}
