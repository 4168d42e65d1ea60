// Package rwpoison quarantines requests that crash backend servers.
//
// The crash of a server implicates every request that it was running. An implicated
// request is a suspect: a server runs it with no other suspect, until it has run past
// the position at which the server crashed, which clears it. If a second server
// crashes while it runs a suspect in isolation, that is, with no other suspect, the
// request is quarantined and rejected at once. A crash under a cleared request only
// makes it a suspect again: servers crash for other reasons too, and a long generation
// may outlive several of them. Suspicions are shared with all instances. Quarantines
// are stored in the platform's API as well.
package rwpoison

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/pkg/rwset"
)

const (
	// QuarantineThreshold is the number of distinct servers that must crash under a
	// request before it is quarantined.
	QuarantineThreshold = 2
	// ProveAfter is how long a request must run after its first token before requests
	// with the same body may run on other servers.
	ProveAfter = 3 * time.Second
	// ClearAfter is how long a suspect must run past the position of the crash to be
	// cleared.
	ClearAfter = 100 * time.Millisecond
	// ClearTokens is how many tokens a suspect must also generate past that position.
	ClearTokens = 8
	// QuarantineLife is how long a quarantine lasts.
	QuarantineLife = time.Hour
	// suspicionTTL is how long a suspicion without a quarantine lasts after its last crash.
	suspicionTTL = 10 * time.Minute
)

// Fingerprint identifies a request by the digest of its body.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Suspicion holds the crashes of one request and its state.
type Suspicion struct {
	Fingerprint Fingerprint
	Servers     []string // distinct servers that crashed while they ran it
	Cleared     bool     // it has run past the position of the last crash
	Quarantined bool
}

// Registry stores the suspicions by request. The zero value is empty and ready for use.
type Registry struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// entry is the stored form of a Suspicion.
type entry struct {
	servers     rwset.Set[string] // servers that crashed while they ran the request
	updatedAt   time.Time         // when a crash was last added, or the entry was created
	cleared     bool
	quarantined bool
}

func (e *entry) suspicion(f Fingerprint) Suspicion {
	return Suspicion{Fingerprint: f, Servers: rwset.Sorted(e.servers), Cleared: e.cleared, Quarantined: e.quarantined}
}

// Implicate records that a server crashed while it ran a request, and returns the
// resulting suspicion. isolated reports that the request was a suspect and that the
// server ran no other suspect.
func (r *Registry) Implicate(f Fingerprint, server string, isolated bool) Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entryLocked(f)
	e.servers.Add(server)
	e.updatedAt = time.Now()
	e.cleared = false
	e.quarantined = e.quarantined || isolated && len(e.servers) >= QuarantineThreshold
	return e.suspicion(f)
}

// Get returns the suspicion of a request. A request without crashes counts as cleared.
func (r *Registry) Get(f Fingerprint) Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[f]; ok {
		return e.suspicion(f)
	}
	return Suspicion{Fingerprint: f, Cleared: true}
}

// Merge adds a suspicion that was received from another instance or the platform. If it
// names a server that was not known, the request is cleared if s is, and otherwise
// suspect. If all its servers were known, a cleared s clears the request only if it names
// all of them.
func (r *Registry) Merge(s Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entryLocked(s.Fingerprint)
	e.quarantined = e.quarantined || s.Quarantined
	for _, server := range s.Servers {
		if !e.servers.Has(server) {
			e.servers.Add(server)
			e.updatedAt = time.Now()
			e.cleared = s.Cleared
		}
	}
	if s.Cleared && len(s.Servers) == len(e.servers) {
		e.cleared = true
	}
}

// entryLocked returns the entry of a request, and creates it if there is none.
func (r *Registry) entryLocked(f Fingerprint) *entry {
	if r.entries == nil {
		r.entries = map[Fingerprint]*entry{}
	}
	e, ok := r.entries[f]
	if !ok {
		e = &entry{servers: rwset.New[string](), updatedAt: time.Now()}
		r.entries[f] = e
	}
	return e
}

// Clear marks a request as cleared after it has run past the position of the crash.
// A quarantine remains in force.
func (r *Registry) Clear(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[f]; ok {
		e.cleared = true
	}
}

// Suspect reports whether a request was implicated within the last ten minutes and
// has not been cleared since.
func (r *Registry) Suspect(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	return ok && !e.cleared && time.Since(e.updatedAt) < suspicionTTL
}

// QuarantineError returns the error for a quarantined request, or nil if the request is
// not quarantined. The error's RetryAfter is the rest of the quarantine.
func (r *Registry) QuarantineError(f Fingerprint) *rwerror.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok || !e.quarantined {
		return nil
	}
	remaining := QuarantineLife - time.Since(e.updatedAt)
	if remaining <= 0 {
		delete(r.entries, f)
		return nil
	}
	return rwerror.New(rwerror.KindQuarantined, "change the request, or contact the operators",
		"%d backend servers died while they ran this request", len(e.servers)).WithRetryAfter(remaining)
}

// Known deletes expired suspicions and returns the others, the most recent first.
func (r *Registry) Known() []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Suspicion
	for f, e := range r.entries {
		age := time.Since(e.updatedAt)
		if age > QuarantineLife || !e.quarantined && age > suspicionTTL {
			delete(r.entries, f)
			continue
		}
		all = append(all, e.suspicion(f))
	}
	slices.SortFunc(all, func(x, y Suspicion) int {
		return r.entries[y.Fingerprint].updatedAt.Compare(r.entries[x.Fingerprint].updatedAt)
	})
	return all
}
