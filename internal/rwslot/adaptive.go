package rwslot

import "time"

const (
	minDecreaseInterval = time.Second
	decreaseFactor      = 0.85
	slowThreshold       = 1.10 // as a multiple of the target time between tokens
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

// observe adjusts the limit after a request ended, from the request's mean time
// between tokens and the target for it. If either is zero it does nothing.
func (a *adaptiveLimit) observe(meanTokenTime, targetTokenTime time.Duration, now time.Time) {
	if meanTokenTime <= 0 || targetTokenTime <= 0 {
		return
	}
	if float64(meanTokenTime) <= slowThreshold*float64(targetTokenTime) {
		a.limit = min(a.capacity, a.limit+1/a.limit)
		return
	}
	if now.Sub(a.lastDecrease) < minDecreaseInterval {
		return
	}
	a.lastDecrease = now
	a.limit = max(1, a.limit*decreaseFactor)
}

func (a *adaptiveLimit) slots() int { return int(a.limit) }

// resize sets the capacity. If it differs from the current one, the limit starts again
// at the new capacity.
func (a *adaptiveLimit) resize(capacity int) {
	if a.capacity == float64(capacity) {
		return
	}
	a.capacity = float64(capacity)
	a.limit = a.capacity
}
