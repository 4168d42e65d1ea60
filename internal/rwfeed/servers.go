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
	StoreRecoveredAt func() time.Time             // when the store answered again after its last outage; an instance that was cut off from it alone doesn't count that as one
	Age              func() (time.Duration, bool) // time since the store last confirmed the list; false if it never did
	ExpiryTime       time.Duration                // after which the store removes the entry of a server that is silent
	Log              logr.Logger

	mu       sync.Mutex           // held while no function of others is called but those of Directory
	missing  map[string]bool      // no longer listed, but still in the directory: an outage of the store may be the cause
	removed  map[string]removal   // servers that were removed from the directory
	unlisted map[string]time.Time // when servers that the store does not list yet were added
	held     map[string]held      // entries of a new era that contradict a later state of their server
	era      int64                // of the last batch
	eraAt    time.Time            // when that era began here; zero for the first
}

// removal is the removal of a server from the directory.
type removal struct {
	at          time.Time
	incarnation int64
}

// held is an entry that is used from a time on, unless it is changed or deleted before.
type held struct {
	entry    rwbackend.Entry
	revision int64
	until    time.Time
}

// removedRetention is how long a removed server is remembered, so that it isn't added
// again unlisted. A leaving server stops answering long before.
const removedRetention = 10 * time.Minute

// decoded is a decoded change of the store's list.
type decoded struct {
	Change
	entry rwbackend.Entry
	err   error
}

// Apply applies changes of the store's list to the directory.
func (s *ServerList) Apply(b Batch) {
	changes := make([]decoded, len(b.Changes))
	for n, c := range b.Changes {
		changes[n].Change = c
		if !c.Deleted {
			changes[n].entry, changes[n].err = s.Decode(c.Name, c.Spec)
		}
	}
	recoveredAt := s.StoreRecoveredAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing == nil {
		s.missing, s.removed, s.unlisted, s.held = map[string]bool{}, map[string]removal{}, map[string]time.Time{}, map[string]held{}
		s.era = b.Era
	}
	newEra := b.Era > s.era
	if newEra {
		s.era, s.eraAt = b.Era, time.Now()
	}
	defer s.scheduleExpireLocked(len(s.missing), recoveredAt)
	for _, c := range changes {
		delete(s.held, c.Name)
		if lost := b.Lost(c.Change); c.Deleted || lost {
			s.handleDeletionLocked(c.Name, lost || time.Since(recoveredAt) < relistTimeout)
			continue
		}
		if c.err != nil {
			s.Log.Info("cannot decode server entry; removing the server", "server", c.Name, "cause", c.err.Error())
			s.handleDeletionLocked(c.Name, false) // the store has it: it didn't expire
			continue
		}
		delete(s.missing, c.Name)
		if newEra && s.contradictsLocked(c.entry) {
			s.held[c.Name] = held{c.entry, c.Revision, time.Now().Add(relistTimeout + s.ExpiryTime)}
			continue
		}
		s.putLocked(c.entry, c.Revision)
	}
}

// scheduleExpireLocked schedules the removal of servers that have become missing, if there are
// more than before, for the moment at which they no longer may be listed again.
func (s *ServerList) scheduleExpireLocked(before int, recoveredAt time.Time) {
	if left := relistTimeout - time.Since(recoveredAt); len(s.missing) > before && left > 0 {
		time.AfterFunc(left, s.expire)
	}
}

// contradictsLocked reports whether an entry of a new era says that a process accepts
// requests that has left or was leaving: the copy from which the store came back was
// older, and the server or the store will correct it.
func (s *ServerList) contradictsLocked(entry rwbackend.Entry) bool {
	if old, known := s.Directory.Entry(entry.ID); known {
		return old.Leaving && !entry.Leaving && old.Incarnation == entry.Incarnation
	}
	gone, removed := s.removed[entry.ID]
	return removed && gone.incarnation == entry.Incarnation
}

func (s *ServerList) putLocked(entry rwbackend.Entry, revision int64) {
	delete(s.unlisted, entry.ID)
	old, known := s.Directory.Entry(entry.ID)
	s.Directory.Put(entry)
	if !known || old.Leaving != entry.Leaving || old.Incarnation != entry.Incarnation {
		s.Log.V(rwlog.Routine).Info("server added or changed", "server", entry.ID, "service", entry.Service, "zone", entry.Zone, "address", entry.Address,
			"version", entry.Version, "leaving", entry.Leaving, "revision", revision)
	}
}

// handleDeletionLocked removes a server, or defers that if its entry may be listed again: the
// store has lost it, or has just recovered from an outage, in which entries expire.
func (s *ServerList) handleDeletionLocked(name string, mayReturn bool) {
	entry, ok := s.Directory.Entry(name)
	if !ok {
		return
	}
	if !entry.Leaving && mayReturn {
		if !s.missing[name] {
			s.Log.Info("server no longer listed, but may be listed again", "server", name)
		}
		s.missing[name] = true
		return
	}
	s.removeLocked(name, "entry deleted from the store")
}

func (s *ServerList) removeLocked(name, cause string) {
	delete(s.missing, name)
	delete(s.unlisted, name)
	entry, _ := s.Directory.Entry(name)
	s.removed[name] = removal{at: time.Now(), incarnation: entry.Incarnation}
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
	for name, gone := range s.removed {
		if time.Since(gone.at) > removedRetention {
			delete(s.removed, name)
		}
	}
}

// Run removes servers whose entries were not listed in time, until ctx ends.
func (s *ServerList) Run(ctx context.Context) {
	const interval = 250 * time.Millisecond // a small part of relistTimeout
	rwtime.Every(ctx, interval, s.expire)
}

// expire removes servers that were added unlisted and not listed in time, and uses the
// entries that were held long enough. Once relistTimeout has passed since the store
// recovered, it also removes the missing servers.
func (s *ServerList) expire() {
	age, known := s.Age()
	recoveredAt := s.StoreRecoveredAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.held {
		if time.Now().After(h.until) {
			delete(s.held, name)
			s.putLocked(h.entry, h.revision)
		}
	}
	if time.Since(s.eraAt) < relistTimeout {
		return
	}
	if known {
		s.expireUnlistedLocked(time.Now().Add(-age))
	}
	if time.Since(recoveredAt) < relistTimeout {
		return
	}
	for name := range s.missing {
		s.removeLocked(name, "entry not listed again after an outage of the store")
	}
}
