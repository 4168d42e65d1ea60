package rwretry

import (
	"sync"
	"time"
)

const (
	refusalsKept = 100_000
	refusalLife  = 2 * time.Minute
)

// Request identifies what a caller sent: its organisation and the digest of
// the body. A repeat has the same.
type Request struct {
	Organisation string
	Fingerprint  uint64
}

// Refusals remembers which requests were refused and when each may come back.
type Refusals struct {
	mu      sync.Mutex
	entries map[Request]refusal
}

type refusal struct {
	at    time.Time
	until time.Time
	count int
}

// Note remembers that a request was refused and told to come back after wait.
func (r *Refusals) Note(request Request, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[Request]refusal{}
	}
	if len(r.entries) >= refusalsKept {
		r.dropOldLocked()
	}
	now := time.Now()
	r.entries[request] = refusal{at: now, until: now.Add(wait), count: r.entries[request].count + 1}
}

// dropOldLocked drops what is no longer of use, or, when all is, everything.
func (r *Refusals) dropOldLocked() {
	now := time.Now()
	for k, e := range r.entries {
		if now.Sub(e.at) > refusalLife {
			delete(r.entries, k)
		}
	}
	if len(r.entries) >= refusalsKept {
		r.entries = map[Request]refusal{}
	}
}

// Early returns how long a request still has to wait, and how often it was
// refused before. Both are zero for a request that was not refused lately.
func (r *Refusals) Early(request Request) (wait time.Duration, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[request]
	if !ok || time.Since(e.at) > refusalLife {
		return 0, 0
	}
	return max(0, time.Until(e.until)), e.count
}

// Forget drops a request that has been admitted.
func (r *Refusals) Forget(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, request)
}
