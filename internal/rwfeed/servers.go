package rwfeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

// returnTime is how long entries that lapsed while the store was away may take
// to come back; from the platform's promise of about two seconds.
const returnTime = 2200 * time.Millisecond

// Servers keeps the directory as the store lists it. Set the exported fields
// before first use.
type Servers struct {
	Directory *rwbackend.Directory
	Decode    func(name string, spec json.RawMessage) (rwbackend.Entry, error)
	Regained  func() time.Time             // when the store was last regained after an outage
	Age       func() (time.Duration, bool) // since the list was confirmed; false if it never was
	Log       logr.Logger

	mu      sync.Mutex
	missing map[string]bool      // gone from the list, perhaps for the outage alone
	gone    map[string]time.Time // taken out, and when
	adopted map[string]time.Time // not listed yet, and since when they are used
}

// goneMemory is how long a server that was taken out is remembered: far longer
// than a server that leaves goes on answering.
const goneMemory = 10 * time.Minute

// Apply takes in changes of the list.
func (s *Servers) Apply(b Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing == nil {
		s.missing, s.gone, s.adopted = map[string]bool{}, map[string]time.Time{}, map[string]time.Time{}
	}
	for _, c := range b.Changes {
		if c.Gone {
			s.removeLocked(c.Name)
			continue
		}
		entry, err := s.Decode(c.Name, c.Spec)
		if err != nil {
			s.Log.Info("entry of a server can't be read", "server", c.Name, "cause", err.Error())
			s.removeLocked(c.Name)
			continue
		}
		delete(s.missing, c.Name)
		delete(s.adopted, c.Name)
		old, known := s.Directory.Entry(c.Name)
		s.Directory.Put(entry)
		if !known || old.Leaving != entry.Leaving || old.Incarnation != entry.Incarnation {
			s.Log.V(rwlog.Routine).Info("server listed", "server", c.Name, "service", entry.Service, "zone", entry.Zone, "address", entry.Address,
				"version", entry.Version, "leaving", entry.Leaving, "revision", c.Revision)
		}
	}
}

// removeLocked takes a server out, or waits for its entry to come back when it
// may have lapsed for the store's outage alone.
func (s *Servers) removeLocked(name string) {
	entry, ok := s.Directory.Entry(name)
	if !ok {
		return
	}
	if !entry.Leaving && time.Since(s.Regained()) < returnTime {
		s.missing[name] = true
		return
	}
	s.dropLocked(name, "entry gone")
}

func (s *Servers) dropLocked(name, cause string) {
	delete(s.missing, name)
	delete(s.adopted, name)
	s.gone[name] = time.Now()
	s.Directory.Remove(name)
	s.Log.Info("server gone", "server", name, "cause", cause)
}

// Adopt puts in a server that the store does not list yet. It stays until the
// store's list, confirmed late enough to know of it, still lacks it.
func (s *Servers) Adopt(e rwbackend.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, gone := s.gone[e.ID]; gone || s.missing[e.ID] {
		return rwerror.New(rwerror.KindConflict, "wait until the store lists it again", "server %s was listed and is gone", e.ID)
	}
	if _, known := s.Directory.Entry(e.ID); known {
		return rwerror.New(rwerror.KindConflict, "use it as it is listed", "server %s is known", e.ID)
	}
	if s.adopted == nil {
		return rwerror.New(rwerror.KindUnavailable, "wait for the list", "no server was listed yet")
	}
	s.adopted[e.ID] = time.Now()
	s.Directory.Put(e)
	return nil
}

// unlistedLocked drops servers that were put in unlisted and that the store did not
// know when the list was last confirmed.
func (s *Servers) unlistedLocked(confirmed time.Time) {
	for name, since := range s.adopted {
		if confirmed.Sub(since) > returnTime {
			s.dropLocked(name, "never listed")
		}
	}
	for name, at := range s.gone {
		if time.Since(at) > goneMemory {
			delete(s.gone, name)
		}
	}
}

// Run drops servers whose entries have not come back, until ctx ends.
func (s *Servers) Run(ctx context.Context) {
	const interval = 250 * time.Millisecond // a small part of returnTime
	rwtime.Every(ctx, interval, s.settle)
}

func (s *Servers) settle() {
	// The list calls Apply with its own lock held: it is asked before this one.
	age, known := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	if known {
		s.unlistedLocked(time.Now().Add(-age))
	}
	if time.Since(s.Regained()) < returnTime {
		return
	}
	for name := range s.missing {
		s.dropLocked(name, "entry did not come back")
	}
}
