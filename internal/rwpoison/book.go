// Package rwpoison keeps requests that crash backend servers from crashing
// many.
//
// The death of a server implicates each request that it held. An implicated
// request is a suspect: it runs beside no other suspect until it has run for a
// while or finished, which clears it. A request that two distinct servers died
// under is quarantined: it gets its final answer at once. Suspicions go to all
// instances, and quarantines are kept in the platform's API besides.
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
	// ProveAfter is how long a suspect must run to be cleared.
	ProveAfter = 3 * time.Second
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
	Cleared     bool
}

// Book holds the suspicions. The zero value is empty and ready for use.
type Book struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

type entry struct {
	servers rwset.Set[string]
	touched time.Time
}

// Implicate notes that a server died while it held a request, and returns what
// is now known of the request.
func (b *Book) Implicate(f Fingerprint, server string) Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entryLocked(f)
	e.servers.Add(server)
	e.touched = time.Now()
	return Suspicion{Fingerprint: f, Servers: rwset.Sorted(e.servers)}
}

// Merge takes in what another instance or the platform knows.
func (b *Book) Merge(s Suspicion) {
	if s.Cleared {
		b.Clear(s.Fingerprint)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entryLocked(s.Fingerprint)
	for _, server := range s.Servers {
		if !e.servers.Has(server) {
			e.servers.Add(server)
			e.touched = time.Now()
		}
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

// Clear drops the suspicion of a request that has been seen to run well. A
// quarantine stays.
func (b *Book) Clear(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.entries[f]; ok && len(e.servers) < Deaths {
		delete(b.entries, f)
	}
}

// Suspect reports whether a request is a suspect.
func (b *Book) Suspect(f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[f]
	return ok && time.Since(e.touched) < suspicionLife
}

// Refusal returns the final answer to a quarantined request, or nil.
func (b *Book) Refusal(f Fingerprint) *rwerror.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[f]
	if !ok || len(e.servers) < Deaths {
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
		if age > QuarantineLife || len(e.servers) < Deaths && age > suspicionLife {
			delete(b.entries, f)
			continue
		}
		all = append(all, Suspicion{Fingerprint: f, Servers: rwset.Sorted(e.servers)})
	}
	slices.SortFunc(all, func(x, y Suspicion) int {
		return b.entries[y.Fingerprint].touched.Compare(b.entries[x.Fingerprint].touched)
	})
	return all
}
