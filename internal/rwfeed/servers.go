package rwfeed

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/go-logr/logr"
)

// returnTime is how long entries that lapsed while the store was away may take
// to come back; from the platform's promise of about two seconds.
const returnTime = 2200 * time.Millisecond

// Servers keeps the directory as the store lists it.
type Servers struct {
	Directory *rwbackend.Directory
	Regained  func() time.Time // when the store was last regained after an outage
	Log       logr.Logger

	mu      sync.Mutex
	missing map[string]bool // gone from the list, perhaps for the outage alone
	listed  map[string]int64
}

// Apply takes in changes of the list.
func (s *Servers) Apply(b Batch[rwbackend.Entry]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed == nil {
		s.listed, s.missing = map[string]int64{}, map[string]bool{}
	}
	seen := map[string]bool{}
	for _, c := range b.Changes {
		seen[c.Name] = true
		switch {
		case c.Gone:
			s.removeLocked(c.Name)
		case c.Bad != nil:
			s.Log.Info("entry of a server can't be read", "server", c.Name, "cause", c.Bad.Error())
			s.removeLocked(c.Name)
		case c.Revision >= s.listed[c.Name]:
			s.listed[c.Name] = c.Revision
			delete(s.missing, c.Name)
			old, known := s.Directory.Entry(c.Name)
			s.Directory.Put(c.Value)
			if !known || old.Leaving != c.Value.Leaving || old.Incarnation != c.Value.Incarnation {
				s.Log.Info("server listed", "server", c.Name, "service", c.Value.Service, "zone", c.Value.Zone, "address", c.Value.Address,
					"version", c.Value.Version, "leaving", c.Value.Leaving, "revision", c.Revision)
			}
		}
	}
	if !b.Whole {
		return
	}
	for name := range s.listed {
		if !seen[name] {
			s.removeLocked(name)
		}
	}
}

// removeLocked takes a server out, or waits for its entry to come back when it
// may have lapsed for the store's outage alone.
func (s *Servers) removeLocked(name string) {
	if _, ok := s.listed[name]; !ok {
		return
	}
	if entry, ok := s.Directory.Entry(name); ok && !entry.Leaving && time.Since(s.Regained()) < returnTime {
		s.missing[name] = true
		return
	}
	s.dropLocked(name, "entry gone")
}

func (s *Servers) dropLocked(name, cause string) {
	delete(s.listed, name)
	delete(s.missing, name)
	s.Directory.Remove(name)
	s.Log.Info("server gone", "server", name, "cause", cause)
}

// Run drops servers whose entries have not come back, until ctx ends.
func (s *Servers) Run(ctx context.Context) {
	const interval = 250 * time.Millisecond // a small part of returnTime
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.settle()
		}
	}
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
