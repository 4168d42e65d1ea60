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

// relistTimeout is how long entries that expired during an outage of the store may
// take to be listed again. The platform promises about two seconds.
const relistTimeout = 2200 * time.Millisecond

// ServerList updates the directory of backend servers from the store's list. Set the
// exported fields before first use.
type ServerList struct {
	Directory        *rwbackend.Directory
	Decode           func(name string, spec json.RawMessage) (rwbackend.Entry, error)
	StoreRecoveredAt func() time.Time             // when the store last recovered from an outage
	Age              func() (time.Duration, bool) // time since the store last confirmed the list; false if it never did
	Log              logr.Logger

	mu       sync.Mutex
	missing  map[string]bool      // no longer listed, but still in the directory: an outage of the store may be the cause
	removed  map[string]time.Time // when servers were removed from the directory
	unlisted map[string]time.Time // when servers that the store does not list yet were added
}

// removedRetention is how long a removed server is remembered, so that it isn't added
// again unlisted. A leaving server stops answering long before.
const removedRetention = 10 * time.Minute

// Apply applies changes of the store's list to the directory.
func (s *ServerList) Apply(b Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing == nil {
		s.missing, s.removed, s.unlisted = map[string]bool{}, map[string]time.Time{}, map[string]time.Time{}
	}
	for _, c := range b.Changes {
		if c.Deleted {
			s.handleDeletionLocked(c.Name)
			continue
		}
		entry, err := s.Decode(c.Name, c.Spec)
		if err != nil {
			s.Log.Info("cannot decode server entry; removing the server", "server", c.Name, "cause", err.Error())
			s.handleDeletionLocked(c.Name)
			continue
		}
		delete(s.missing, c.Name)
		delete(s.unlisted, c.Name)
		old, known := s.Directory.Entry(c.Name)
		s.Directory.Put(entry)
		if !known || old.Leaving != entry.Leaving || old.Incarnation != entry.Incarnation {
			s.Log.V(rwlog.Routine).Info("server added or changed", "server", c.Name, "service", entry.Service, "zone", entry.Zone, "address", entry.Address,
				"version", entry.Version, "leaving", entry.Leaving, "revision", c.Revision)
		}
	}
}

// handleDeletionLocked removes a server, or defers that until relistTimeout after an
// outage of the store, as its entry may have expired because of the outage.
func (s *ServerList) handleDeletionLocked(name string) {
	entry, ok := s.Directory.Entry(name)
	if !ok {
		return
	}
	if !entry.Leaving && time.Since(s.StoreRecoveredAt()) < relistTimeout {
		s.missing[name] = true
		return
	}
	s.removeLocked(name, "entry deleted from the store")
}

func (s *ServerList) removeLocked(name, cause string) {
	delete(s.missing, name)
	delete(s.unlisted, name)
	s.removed[name] = time.Now()
	s.Directory.Remove(name)
	s.Log.Info("server removed", "server", name, "cause", cause)
}

// AddUnlisted adds a server that the store does not list yet. The server is removed if a
// list that the store confirms more than relistTimeout later still lacks it. It returns
// an error of kind conflict if the server is known or was removed, and of kind
// unavailable before the first list.
func (s *ServerList) AddUnlisted(e rwbackend.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, gone := s.removed[e.ID]; gone || s.missing[e.ID] {
		return rwerror.New(rwerror.KindConflict, "wait until the store lists it again", "server %s was removed from the store's list", e.ID)
	}
	if _, known := s.Directory.Entry(e.ID); known {
		return rwerror.New(rwerror.KindConflict, "use the listed entry", "server %s is already known", e.ID)
	}
	if s.unlisted == nil {
		return rwerror.New(rwerror.KindUnavailable, "wait for the first list", "the list of servers was not received yet")
	}
	s.unlisted[e.ID] = time.Now()
	s.Directory.Put(e)
	return nil
}

// expireUnlistedLocked removes servers that were added unlisted if the list confirmed
// at the given time still lacks them. It also forgets servers that were removed longer
// than removedRetention ago.
func (s *ServerList) expireUnlistedLocked(confirmed time.Time) {
	for name, since := range s.unlisted {
		if confirmed.Sub(since) > relistTimeout {
			s.removeLocked(name, "not listed by the store in time")
		}
	}
	for name, at := range s.removed {
		if time.Since(at) > removedRetention {
			delete(s.removed, name)
		}
	}
}

// Run removes servers whose entries were not listed in time, until ctx ends.
func (s *ServerList) Run(ctx context.Context) {
	const interval = 250 * time.Millisecond // a small part of relistTimeout
	rwtime.Every(ctx, interval, s.expire)
}

// expire removes servers that were added unlisted and not listed in time. Once
// relistTimeout has passed since the store recovered, it also removes the missing ones.
func (s *ServerList) expire() {
	// The cache calls Apply with its own lock held, so that calling Age with s.mu held
	// could deadlock.
	age, known := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	if known {
		s.expireUnlistedLocked(time.Now().Add(-age))
	}
	if time.Since(s.StoreRecoveredAt()) < relistTimeout {
		return
	}
	for name := range s.missing {
		s.removeLocked(name, "entry not listed again after an outage of the store")
	}
}
