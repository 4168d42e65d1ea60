package rwslot

import "time"

const (
	adaptInterval  = time.Second
	decreaseFactor = 0.85
	slowThreshold  = 1.10 // as a multiple of the target pace
)

// adaptiveLimit is a server's concurrency limit, adjusted by additive increase
// and multiplicative decrease (AIMD): it drops below the configured capacity
// while tokens arrive too slowly and recovers afterwards.
type adaptiveLimit struct {
	capacity     float64
	limit        float64
	lastDecrease time.Time
}

func newAdaptiveLimit(capacity int) adaptiveLimit {
	return adaptiveLimit{capacity: float64(capacity), limit: float64(capacity)}
}

// observe adjusts the limit after a request ended. token is the request's mean
// time between tokens, pace the target; if either is zero it does nothing.
func (a *adaptiveLimit) observe(token, pace time.Duration, now time.Time) {
	if token <= 0 || pace <= 0 {
		return
	}
	if float64(token) <= slowThreshold*float64(pace) {
		a.limit = min(a.capacity, a.limit+1/a.limit)
		return
	}
	if now.Sub(a.lastDecrease) < adaptInterval {
		return
	}
	a.lastDecrease = now
	a.limit = max(1, a.limit*decreaseFactor)
}

func (a *adaptiveLimit) slots() int { return int(a.limit) }

func (a *adaptiveLimit) resize(capacity int) {
	if a.capacity == float64(capacity) {
		return
	}
	a.capacity = float64(capacity)
	a.limit = a.capacity
}
