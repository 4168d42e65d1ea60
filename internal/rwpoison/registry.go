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
//
// Whether a server crashed because of a request, for another reason, or not at all
// can't always be told. So all losses of servers are counted too, whatever the cause:
// a request under which MaxLosses servers were lost, and that no server has completed
// since, is rejected until ten minutes after the last loss.
package rwpoison

import (
	"fmt"
	"maps"
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
	// MaxLosses is the number of servers that may be lost while they run a request, for
	// whatever cause, before it is rejected. It leaves a request that meets failures of
	// other causes more attempts than one that is known to crash servers.
	MaxLosses = 5
	// newLossAfter is the time from which another loss of the same server counts as a new
	// one: the server may have restarted, which takes longer, under the same name.
	newLossAfter = time.Second
	// suspicionTTL is how long a suspicion without a quarantine lasts after its last crash
	// or loss.
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
	Losses      []string // losses of servers that ran it, whatever the cause, since it last completed
	Cleared     bool     // it has run past the position of the last crash
	Completed   bool     // a server completed it after Losses
	Quarantined bool     // it is known to crash servers
}

// Rejected reports whether the request is not to be sent to any server.
func (s Suspicion) Rejected() bool { return s.Quarantined || len(s.Losses) >= MaxLosses }

// Life returns how long the suspicion counts after its last crash or loss.
func (s Suspicion) Life() time.Duration {
	if s.Quarantined {
		return QuarantineLife
	}
	return suspicionTTL
}

// Registry stores the suspicions by request. The zero value is empty and ready for use. Set
// CrashThreshold before first use.
type Registry struct {
	// CrashThreshold is the number of distinct servers that must crash under a request for it
	// to be quarantined whatever ran beside it. If 0, only crashes in isolation quarantine.
	CrashThreshold int

	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// entry is the stored form of a Suspicion.
type entry struct {
	servers     rwset.Set[string]    // servers that crashed while they ran the request
	losses      map[string]time.Time // when each loss became known
	updatedAt   time.Time            // when a crash or loss was last added, or the entry was created
	cleared     bool
	quarantined bool
}

func (e *entry) suspicion(f Fingerprint) Suspicion {
	return Suspicion{Fingerprint: f, Servers: rwset.Sorted(e.servers), Losses: slices.Sorted(maps.Keys(e.losses)), Cleared: e.cleared, Quarantined: e.quarantined}
}

// RecordLoss records that a server was lost while it ran a request, for whatever cause,
// and returns the resulting suspicion.
func (r *Registry) RecordLoss(f Fingerprint, server string) Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entryLocked(f)
	now := time.Now()
	name := server
	for n := 2; ; n++ {
		at, known := e.losses[name]
		if !known || now.Sub(at) < newLossAfter {
			break
		}
		name = fmt.Sprintf("%s#%d", server, n)
	}
	e.addLoss(name, now)
	e.updatedAt = now
	return e.suspicion(f)
}

// addLoss adds a loss, unless it is known or enough are known to reject the request.
func (e *entry) addLoss(name string, now time.Time) {
	if _, known := e.losses[name]; known || len(e.losses) >= MaxLosses {
		return
	}
	if e.losses == nil {
		e.losses = map[string]time.Time{}
	}
	e.losses[name], e.updatedAt = now, now
}

// Complete records that a server completed a request. It forgets the request unless it
// is quarantined. ok reports whether there was anything to forget; the suspicion that it
// then returns tells other instances so.
func (r *Registry) Complete(f Fingerprint) (s Suspicion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[f]
	if !known || e.quarantined {
		return Suspicion{}, false
	}
	s = e.suspicion(f)
	s.Completed, s.Cleared = true, true
	delete(r.entries, f)
	return s, true
}

// Release forgets a request, also one that is quarantined.
func (r *Registry) Release(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, f)
}

// Implicate records that a server crashed while it ran a request, and returns the
// resulting suspicion. isolated reports that the request was a suspect and that the
// server ran no other suspect.
func (r *Registry) Implicate(f Fingerprint, server string, isolated bool) Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entryLocked(f)
	if !e.quarantined { // more names would not fit into a notice
		e.servers.Add(server)
	}
	e.updatedAt = time.Now()
	e.cleared = false
	e.quarantined = e.quarantined || isolated && len(e.servers) >= QuarantineThreshold || r.crashedEnough(e)
	return e.suspicion(f)
}

// crashedEnough reports whether enough servers crashed under a request to quarantine it,
// whatever ran beside it.
func (r *Registry) crashedEnough(e *entry) bool {
	return r.CrashThreshold > 0 && len(e.servers) >= r.CrashThreshold
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
// all of them. If s was completed, its crashes and losses are forgotten.
func (r *Registry) Merge(s Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Completed {
		r.forgetLocked(s)
		return
	}
	e := r.entryLocked(s.Fingerprint)
	now := time.Now()
	for _, name := range s.Losses {
		e.addLoss(name, now)
	}
	if e.quarantined {
		return
	}
	e.quarantined = s.Quarantined
	for _, server := range s.Servers {
		if !e.servers.Has(server) {
			e.servers.Add(server)
			e.updatedAt = time.Now()
			e.cleared = s.Cleared
		}
	}
	e.quarantined = e.quarantined || r.crashedEnough(e)
	if s.Cleared && len(s.Servers) == len(e.servers) {
		e.cleared = true
	}
}

// forgetLocked forgets the crashes and losses of a completed request, unless it is
// quarantined.
func (r *Registry) forgetLocked(s Suspicion) {
	e, known := r.entries[s.Fingerprint]
	if !known || e.quarantined {
		return
	}
	for _, name := range s.Losses {
		delete(e.losses, name)
	}
	for _, server := range s.Servers {
		e.servers.Remove(server)
	}
	if len(e.losses) == 0 && len(e.servers) == 0 {
		delete(r.entries, s.Fingerprint)
	}
}

// maxEntries limits the memory of a registry to a few megabytes. It is several times the
// streams that an availability zone runs at the size to design for, which all lose a
// server when the zone fails.
const maxEntries = 20_000

// entryLocked returns the entry of a request, and creates it if there is none. If there
// are too many, others that are not rejected are deleted, in random order.
func (r *Registry) entryLocked(f Fingerprint) *entry {
	if r.entries == nil {
		r.entries = map[Fingerprint]*entry{}
	}
	e, ok := r.entries[f]
	if !ok {
		for other, o := range r.entries {
			if len(r.entries) < maxEntries {
				break
			}
			if !o.rejected() {
				delete(r.entries, other)
			}
		}
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
	return ok && !e.cleared && len(e.servers) > 0 && time.Since(e.updatedAt) < suspicionTTL
}

// QuarantineError returns the error for a request that is rejected, or nil if it is not.
// The error's RetryAfter is the rest of the time for which it is rejected.
func (r *Registry) QuarantineError(f Fingerprint) *rwerror.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok || !e.rejected() {
		return nil
	}
	remaining := e.life() - time.Since(e.updatedAt)
	if remaining <= 0 {
		delete(r.entries, f)
		return nil
	}
	const remedy = "change the request, or contact the operators"
	if e.quarantined {
		return rwerror.New(rwerror.KindQuarantined, remedy, "%d backend servers died while they ran this request", len(e.servers)).WithRetryAfter(remaining)
	}
	return rwerror.New(rwerror.KindQuarantined, remedy, "%d backend servers were lost while they ran this request, and none completed it", len(e.losses)).WithRetryAfter(remaining)
}

func (e *entry) rejected() bool { return e.quarantined || len(e.losses) >= MaxLosses }

func (e *entry) life() time.Duration { return Suspicion{Quarantined: e.quarantined}.Life() }

// Sweep deletes expired suspicions.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweepLocked()
}

func (r *Registry) sweepLocked() {
	for f, e := range r.entries {
		if time.Since(e.updatedAt) > e.life() {
			delete(r.entries, f)
		}
	}
}

// Rejected returns the suspicions of the requests that are rejected.
func (r *Registry) Rejected() []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Suspicion
	for f, e := range r.entries {
		if e.rejected() && time.Since(e.updatedAt) <= e.life() {
			all = append(all, e.suspicion(f))
		}
	}
	return all
}

// Known deletes expired suspicions and returns the others, the most recent first.
func (r *Registry) Known() []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweepLocked()
	all := make([]Suspicion, 0, len(r.entries))
	for f, e := range r.entries {
		all = append(all, e.suspicion(f))
	}
	slices.SortFunc(all, func(x, y Suspicion) int {
		return r.entries[y.Fingerprint].updatedAt.Compare(r.entries[x.Fingerprint].updatedAt)
	})
	return all
}
