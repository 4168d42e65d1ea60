package rwentry

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwpart"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwtime"

	"github.com/juju/errors"
)

// QuarantineStore reads and writes the quarantined requests.
type QuarantineStore interface {
	rwfeed.Source
	Put(ctx context.Context, name string, spec any) error
	Delete(ctx context.Context, name string) error
}

const (
	quarantineSyncInterval = time.Second
	quarantineCallTimeout  = 2 * time.Second
	// quarantineWriteDelay is how long an instance that doesn't watch the store waits for
	// another to store a quarantine.
	quarantineWriteDelay = 3 * time.Second
	// releaseMargin is added to the end of a quarantine before it is deleted from the
	// store, as the clocks of instances differ.
	releaseMargin = time.Minute
)

// quarantines stores the quarantined requests, so that instances which start later, missed
// the notices, or replace all others know them too. An object that is deleted from the
// store releases its request.
type quarantines struct {
	instance *Instance

	mu      sync.Mutex
	stored  map[string]storedQuarantine // by name
	writeAt map[string]time.Time        // when this instance is to store a quarantine, by name
}

// storedQuarantine is what is known of a quarantine in the store.
type storedQuarantine struct {
	until  time.Time     // when it ends
	era    int64         // in which the store had it; a later era may have lost it
	losses []rwpart.Loss // of a held part
}

// quarantineSpec is the spec of a stored quarantine. Its name is the fingerprint.
type quarantineSpec struct {
	Crashed []string `json:"crashed"` // processes of servers that the request crashed
	Lost    []string `json:"lost"`    // processes of servers that were lost while they ran it
	Proved  bool     `json:"proved"`  // it is known to crash servers
	Until   int64    `json:"until"`   // Unix time, in seconds
}

// apply applies the quarantines that were added to or deleted from the store.
func (q *quarantines) apply(b rwfeed.Batch) {
	for _, c := range b.Changes {
		if err := q.applyChange(c, b.Lost(c)); err != nil {
			q.instance.Log.Info("cannot decode a quarantine", "name", c.Name, "cause", err.Error())
		}
	}
}

// applyChange applies a change. lost reports that the store has lost the object, which
// releases no request.
func (q *quarantines) applyChange(c rwfeed.Change, lost bool) error {
	if part, ok := rwpart.ParseName(c.Name); ok {
		return q.applyPart(part, c, lost)
	}
	number, err := strconv.ParseUint(c.Name, 16, 64)
	if err != nil {
		return errors.Trace(err)
	}
	fingerprint := rwpoison.Fingerprint(number)
	if c.Deleted {
		q.forget(c.Name)
		if lost {
			return nil
		}
		q.instance.poison.Release(fingerprint)
		q.instance.Log.Info("request released from quarantine", "fingerprint", c.Name, "revision", c.Revision)
		return nil
	}
	var spec quarantineSpec
	if err := json.Unmarshal(c.Spec, &spec); err != nil {
		return errors.Trace(err)
	}
	until := time.Unix(spec.Until, 0)
	known := q.setStored(c.Name, storedQuarantine{until: until, era: c.Era})
	if !known && time.Now().Before(until) {
		q.instance.poison.Merge(rwpoison.Suspicion{Fingerprint: fingerprint, Servers: spec.Crashed, Losses: spec.Lost, Quarantined: spec.Proved})
		q.instance.Log.Info("quarantine received from the store", "fingerprint", c.Name, "losses", len(spec.Lost), "crashes", len(spec.Crashed), "revision", c.Revision)
	}
	return nil
}

// setStored records that the store had a quarantine, and reports whether that was known.
func (q *quarantines) setStored(name string, s storedQuarantine) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stored == nil {
		q.stored = map[string]storedQuarantine{}
	}
	old, known := q.stored[name]
	q.stored[name] = s
	delete(q.writeAt, name)
	return known && old.until.Equal(s.until)
}

func (q *quarantines) forget(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.stored, name)
}

// run stores new quarantines and deletes expired ones until ctx ends.
func (q *quarantines) run(ctx context.Context) {
	rwtime.Every(ctx, quarantineSyncInterval, func() {
		for _, s := range q.instance.poison.Rejected() {
			if q.dueForWrite(s.Fingerprint.String(), nil) {
				q.write(ctx, s)
			}
		}
		q.syncParts(ctx)
		for _, name := range q.expired() {
			q.delete(ctx, name)
		}
	})
}

// dueForWrite reports whether this instance is to store a quarantine, or a held part with some
// losses, now. Instances that watch the store do so at random within one interval, so that
// mostly one of them does.
func (q *quarantines) dueForWrite(name string, losses []rwpart.Loss) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.stored[name]; time.Now().Before(s.until) && s.era >= q.instance.Stores.Era.Current() && !lacksNewest(s.losses, losses) {
		return false
	}
	at, known := q.writeAt[name]
	if !known {
		at = time.Now().Add(rand.N(quarantineSyncInterval))
		if !q.instance.feeds.watchesStore() {
			at = at.Add(quarantineWriteDelay)
		}
		if q.writeAt == nil {
			q.writeAt = map[string]time.Time{}
		}
		q.writeAt[name] = at
	}
	return !time.Now().Before(at)
}

// lacksNewest reports whether the newest of the known losses isn't among those stored.
func lacksNewest(stored, known []rwpart.Loss) bool {
	if len(known) == 0 {
		return false
	}
	newest := slices.MinFunc(known, func(a, b rwpart.Loss) int { return cmp.Compare(a.Age, b.Age) })
	return !slices.ContainsFunc(stored, func(l rwpart.Loss) bool { return l.Process == newest.Process })
}

// write stores a quarantine. After a failure it is tried again at the next interval.
func (q *quarantines) write(ctx context.Context, s rwpoison.Suspicion) {
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	name := s.Fingerprint.String()
	until := time.Now().Add(s.Life()).Truncate(time.Second)
	era := q.instance.Stores.Era.Current()
	q.instance.counters.Increment("store_write_quarantines")
	err := q.instance.Stores.Quarantines.Put(ctx, name, quarantineSpec{Crashed: s.Servers, Lost: s.Losses, Proved: s.Quarantined, Until: until.Unix()})
	if err != nil {
		q.instance.Log.Info("cannot store a quarantine, will retry", "fingerprint", name, "cause", err.Error())
		return
	}
	q.instance.Log.Info("quarantine stored", "fingerprint", name, "losses", len(s.Losses), "crashes", len(s.Servers), "until", until.Unix())
	q.setStored(name, storedQuarantine{until: until, era: era})
}

// expired returns the names of the stored quarantines that have ended, if this instance
// watches the store.
func (q *quarantines) expired() []string {
	if !q.instance.feeds.watchesStore() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var names []string
	for name, s := range q.stored {
		if time.Since(s.until) > releaseMargin {
			names = append(names, name)
		}
	}
	return names
}

func (q *quarantines) delete(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	q.instance.counters.Increment("store_write_quarantines")
	err := q.instance.Stores.Quarantines.Delete(ctx, name)
	if err != nil && !rwerror.Is(err, rwerror.KindNotFound) {
		q.instance.Log.Info("cannot delete an expired quarantine, will retry", "fingerprint", name, "cause", err.Error())
		return
	}
	q.forget(name)
}
