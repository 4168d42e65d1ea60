package rwretry

import (
	"sync"
	"time"
)

const (
	maxRefusals = 100_000
	refusalTTL  = 2 * time.Minute
)

// Request identifies a request by its organisation and the digest of its body. A
// retry has the same identity.
type Request struct {
	Organisation string
	Fingerprint  uint64
}

// Refusals records which requests were refused and when each may be retried. The zero
// value is empty and ready for use.
type Refusals struct {
	mu      sync.Mutex
	entries map[Request]refusal
}

// refusal holds the last refusal of a request.
type refusal struct {
	refusedAt time.Time
	retryAt   time.Time // earliest time at which the request may be retried
	count     int       // how often the request was refused since its entry was created
}

// Record records that a request was refused with a Retry-After of wait.
func (r *Refusals) Record(request Request, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[Request]refusal{}
	}
	if len(r.entries) >= maxRefusals {
		r.evictLocked()
	}
	now := time.Now()
	r.entries[request] = refusal{refusedAt: now, retryAt: now.Add(wait), count: r.entries[request].count + 1}
}

// evictLocked deletes expired entries, and all entries if there are still maxRefusals of
// them.
func (r *Refusals) evictLocked() {
	now := time.Now()
	for k, e := range r.entries {
		if now.Sub(e.refusedAt) > refusalTTL {
			delete(r.entries, k)
		}
	}
	if len(r.entries) >= maxRefusals {
		r.entries = map[Request]refusal{}
	}
}

// RemainingWait returns how long a request still has to wait, and how often it was
// refused. Both are zero if it was not refused within the last two minutes.
func (r *Refusals) RemainingWait(request Request) (wait time.Duration, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[request]
	if !ok || time.Since(e.refusedAt) > refusalTTL {
		return 0, 0
	}
	return max(0, time.Until(e.retryAt)), e.count
}

// Forget deletes the entry of a request that was admitted.
func (r *Refusals) Forget(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, request)
}
