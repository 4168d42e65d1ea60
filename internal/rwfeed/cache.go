package rwfeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

// Change is the state of one object at a store revision.
type Change struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
	Deleted  bool            `json:"gone,omitempty"`
}

// Batch is the result of one list or watch call.
type Batch struct {
	Changes  []Change `json:"changes,omitempty"`
	Revision int64    `json:"revision"`        // store revision from which to watch next
	Snapshot bool     `json:"whole,omitempty"` // Changes lists all objects of the kind
}

// Cache holds a local copy of all objects of one kind. Set the exported fields
// before first use.
type Cache struct {
	Kind      string
	IgnoreAge bool        // confirmed so rarely that a peer's copy is accepted at any age
	Optional  bool        // not needed to serve callers
	Apply     func(Batch) // called in revision order, by one goroutine at a time, with the cache locked
	Log       logr.Logger

	mu                sync.Mutex
	objects           map[string]object
	revision          int64
	compactedRevision int64           // a follower with an older revision gets a full list, as later deletions are no longer kept
	confirmed         rwtime.BootTime // when the store last confirmed the contents; zero if it never did
	changed           chan struct{}   // closed when the next batch is accepted
}

type object struct {
	Change
	batchRevision int64     // store revision of the batch that contained it
	receivedAt    time.Time // when this instance accepted the change; tombstones are kept from then on
}

// tombstoneTTL is how long the deletion of an object is kept for followers. It is
// many times their polling interval.
const tombstoneTTL = time.Minute

// missingRequired reports whether the kind is needed to serve callers and was never
// received.
func (c *Cache) missingRequired() bool {
	_, known := c.Age()
	return !known && !c.Optional
}

// Update applies a batch that the store confirmed at confirmedAt. It returns false
// and changes nothing if the batch is older than the cache.
func (c *Cache) Update(b Batch, confirmedAt rwtime.BootTime) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Revision < c.revision {
		return false
	}
	if c.objects == nil {
		c.objects = map[string]object{}
		c.compactedRevision = b.Revision
	}
	delta := c.mergeLocked(b)
	first := c.confirmed == 0
	c.revision = b.Revision
	c.confirmed = max(c.confirmed, confirmedAt)
	if len(delta.Changes) > 0 || first {
		c.Apply(delta)
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	return true
}

// mergeLocked merges a batch into the cached objects and returns the changes that
// were new.
func (c *Cache) mergeLocked(b Batch) Batch {
	delta := Batch{Revision: b.Revision}
	now := time.Now()
	seen := make(map[string]bool, len(b.Changes))
	for _, change := range b.Changes {
		seen[change.Name] = true
		old, known := c.objects[change.Name]
		if known && (change.Revision < old.Revision || change.Revision == old.Revision && change.Deleted == old.Deleted) || !known && change.Deleted {
			continue
		}
		c.objects[change.Name] = object{Change: change, batchRevision: b.Revision, receivedAt: now}
		delta.Changes = append(delta.Changes, change)
	}
	for name, o := range c.objects {
		switch {
		case b.Snapshot && !seen[name] && !o.Deleted:
			gone := Change{Name: name, Revision: b.Revision, Deleted: true}
			c.objects[name] = object{Change: gone, batchRevision: b.Revision, receivedAt: now}
			delta.Changes = append(delta.Changes, gone)
		case o.Deleted && now.Sub(o.receivedAt) > tombstoneTTL:
			c.compactedRevision = max(c.compactedRevision, o.batchRevision)
			delete(c.objects, name)
		}
	}
	return delta
}

// Age returns the time since the store last confirmed the contents, and whether it
// ever did.
func (c *Cache) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rwtime.Since(c.confirmed), c.confirmed > 0
}

// Revision returns the store revision of the contents, or zero if there are none.
func (c *Cache) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// changesSince returns the changes after a revision, when the contents were last
// confirmed, and a channel that is closed when the next batch is accepted. It returns
// zero values for the first two if the cache is empty or older than the revision.
func (c *Cache) changesSince(revision int64) (Batch, rwtime.BootTime, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	b := Batch{Revision: c.revision, Snapshot: revision < c.compactedRevision}
	if c.confirmed == 0 || revision > c.revision {
		return Batch{}, 0, c.changed
	}
	for _, o := range c.objects {
		if b.Snapshot && !o.Deleted || !b.Snapshot && o.batchRevision > revision {
			b.Changes = append(b.Changes, o.Change)
		}
	}
	return b, c.confirmed, c.changed
}

// waitForChange blocks until there are changes after a revision or ctx ends. It returns
// at once if the revision is newer than the cache. A confirmation without changes doesn't
// end the wait.
func (c *Cache) waitForChange(ctx context.Context, revision int64) {
	for {
		b, confirmed, changed := c.changesSince(revision)
		followerAhead := confirmed == 0 && revision > 0 // its revision is newer than this cache
		if len(b.Changes) > 0 || b.Snapshot || followerAhead {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
