package rwfeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
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
	Regained  func() time.Time // when the store was last regained after an outage
	Log       logr.Logger

	mu      sync.Mutex
	missing map[string]bool // gone from the list, perhaps for the outage alone
}

// Apply takes in changes of the list.
func (s *Servers) Apply(b Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing == nil {
		s.missing = map[string]bool{}
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
		old, known := s.Directory.Entry(c.Name)
		s.Directory.Put(entry)
		if !known || old.Leaving != entry.Leaving || old.Incarnation != entry.Incarnation {
			s.Log.Info("server listed", "server", c.Name, "service", entry.Service, "zone", entry.Zone, "address", entry.Address,
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
	s.Directory.Remove(name)
	s.Log.Info("server gone", "server", name, "cause", cause)
}

// Run drops servers whose entries have not come back, until ctx ends.
func (s *Servers) Run(ctx context.Context) {
	const interval = 250 * time.Millisecond // a small part of returnTime
	rwtime.Every(ctx, interval, s.settle)
}

func (s *Servers) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.Regained()) < returnTime {
		return
	}
	for name := range s.missing {
		s.dropLocked(name, "entry did not come back")
	}
}
