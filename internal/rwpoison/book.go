// Package rwpoison keeps requests that crash backend servers from crashing
// many.
//
// The death of a server implicates each request that it held. An implicated
// request is a suspect: it runs beside no other suspect until it has passed the
// place where the server died, which clears it. A second distinct server that
// dies under a suspect which ran beside no other suspect quarantines it: it gets
// its final answer at once. A server that dies under a cleared request makes it
// a suspect again, no more: servers die of other causes, and a long generation
// may meet several. Suspicions go to all instances, and quarantines are kept in
// the platform's API besides.
package rwpoison

import (
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/pkg/rwset"
)

const (
	// Deaths is the number of distinct servers that quarantine a request.
	Deaths = 2
	// ProveAfter is how long a request must run before copies of it may run at
	// other servers.
	ProveAfter = 3 * time.Second
	// ClearAfter is how long a suspect must run past the place where the server
	// died to be cleared.
	ClearAfter = 100 * time.Millisecond
	// ClearTokens is how many tokens it must get past that place.
	ClearTokens = 8
	// QuarantineLife is how long a quarantine lasts.
	QuarantineLife = time.Hour
	suspicionLife  = 10 * time.Minute
)

// Fingerprint identifies a request by the digest of its body.
type Fingerprint uint64

// Suspicion is what is known of one request.
type Suspicion struct {
	Fingerprint Fingerprint
	Servers     []string // the distinct servers that died under it
	Cleared     bool     // it has run well since
	Quarantined bool
}

// Book holds the suspicions. The zero value is empty and ready for use.
type Book struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

type entry struct {
	servers     rwset.Set[string]
	touched     time.Time
	cleared     bool
	quarantined bool
}

func (e *entry) suspicion(f Fingerprint) Suspicion {
	return Suspicion{Fingerprint: f, Servers: rwset.Sorted(e.servers), Cleared: e.cleared, Quarantined: e.quarantined}
}

// Implicate notes that a server died while it held a request, and returns what
// is now known of the request. isolated says that the request was a suspect and
// ran beside no other.
func (b *Book) Implicate(f Fingerprint, server string, isolated bool) Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entryLocked(f)
	e.servers.Add(server)
	e.touched = time.Now()
	e.cleared = false
	e.quarantined = e.quarantined || isolated && len(e.servers) >= Deaths
	return e.suspicion(f)
}

// Of returns what is known of a request.
func (b *Book) Of(f Fingerprint) Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.entries[f]; ok {
		return e.suspicion(f)
	}
	return Suspicion{Fingerprint: f, Cleared: true}
}

// Merge takes in what another instance or the platform knows.
func (b *Book) Merge(s Suspicion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entryLocked(s.Fingerprint)
	e.quarantined = e.quarantined || s.Quarantined
	for _, server := range s.Servers {
		if !e.servers.Has(server) {
			e.servers.Add(server)
			e.touched = time.Now()
			e.cleared = s.Cleared
		}
	}
	if s.Cleared && len(s.Servers) == len(e.servers) {
		e.cleared = true
	}
}

func (b *Book) entryLocked(f Fingerprint) *entry {
	if b.entries == nil {
		b.entries = map[Fingerprint]*entry{}
	}
	e, ok := b.entries[f]
	if !ok {
		e = &entry{servers: rwset.New[string](), touched: time.Now()}
		b.entries[f] = e
	}
	return e
}

// Clear ends the suspicion of a request that has been seen to run well. A
// quarantine stays.
func (b *Book) Clear(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.entries[f]; ok {
		e.cleared = true
	}
}

// Suspect reports whether a request is a suspect.
func (b *Book) Suspect(f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[f]
	return ok && !e.cleared && time.Since(e.touched) < suspicionLife
}

// Refusal returns the final answer to a quarantined request, or nil.
func (b *Book) Refusal(f Fingerprint) *rwerror.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[f]
	if !ok || !e.quarantined {
		return nil
	}
	left := QuarantineLife - time.Since(e.touched)
	if left <= 0 {
		delete(b.entries, f)
		return nil
	}
	return rwerror.New(rwerror.KindQuarantined, "change the request, or tell the operators",
		"%d backend servers died while they ran this request", len(e.servers)).WithRetryAfter(left)
}

// Known returns all suspicions, the newest first, and drops old ones.
func (b *Book) Known() []Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Suspicion
	for f, e := range b.entries {
		age := time.Since(e.touched)
		if age > QuarantineLife || !e.quarantined && age > suspicionLife {
			delete(b.entries, f)
			continue
		}
		all = append(all, e.suspicion(f))
	}
	slices.SortFunc(all, func(x, y Suspicion) int {
		return b.entries[y.Fingerprint].touched.Compare(b.entries[x.Fingerprint].touched)
	})
	return all
}
