package rwfeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/pkg/rwset"

	"github.com/go-logr/logr"
)

// Change is the state of one object at a store revision.
type Change struct {
	Name     string          `json:"name"`
	Era      int64           `json:"era,omitempty"` // in which the store last had the object
	Revision int64           `json:"revision"`
	Created  int64           `json:"created,omitempty"` // revision at which the object was created; zero if unknown
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
	Deleted  bool            `json:"gone,omitempty"`
}

// Position returns the position of the change.
func (c Change) Position() Position { return Position{Era: c.Era, Revision: c.Revision} }

// Batch is the result of one list or watch call.
type Batch struct {
	Changes  []Change `json:"changes,omitempty"`
	Era      int64    `json:"era,omitempty"`   // era of Revision
	Revision int64    `json:"revision"`        // store revision from which to watch next
	Snapshot bool     `json:"whole,omitempty"` // Changes lists all objects of the kind
}

// Position returns the position from which to watch next.
func (b Batch) Position() Position { return Position{Era: b.Era, Revision: b.Revision} }

// Lost reports whether the store no longer has an object of an older era, although nobody
// deleted it: the copy from which the store came back was older. Its writer will write it
// again. If c is also deleted, that hasn't happened in time.
func (b Batch) Lost(c Change) bool { return c.Era < b.Era }

// Cache holds a local copy of all objects of one kind. Set the exported fields
// before first use.
//
// An object that the store lost with an era is kept until it is written again, at most
// for LostTTL.
type Cache struct {
	Kind      string
	IgnoreAge bool              // confirmed so rarely that a peer's copy is accepted at any age
	Optional  bool              // not needed to serve callers
	LostTTL   time.Duration     // how long lost objects are kept; zero for no limit
	Outdated  func(Change) bool // reports whether a new era's object is older than the lost one, which is then kept; nil for never
	Apply     func(Batch)       // called in order of position, by one goroutine at a time; it must not call Update
	Log       logr.Logger

	updating sync.Mutex // held by Update, also while Apply runs; taken before mu and by nothing else

	mu                sync.Mutex
	objects           map[string]object
	position          Position
	compactedRevision int64           // a follower of the same era with an older revision gets a full list, as later deletions are no longer kept
	confirmed         rwtime.BootTime // when the store last confirmed the contents; zero if it never did
	complete          rwtime.BootTime // until when the contents hold every acknowledged change, see Lag
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
// and changes nothing if the batch is older than the cache, or has only some of the
// objects of a newer era. The contents count as confirmed once Apply has returned.
func (c *Cache) Update(b Batch, confirmedAt rwtime.BootTime) bool {
	return c.UpdateComplete(b, confirmedAt, confirmedAt)
}

// UpdateComplete applies a batch like Update. With it, the contents hold every change that
// the store acknowledged until complete, which is not before confirmedAt.
func (c *Cache) UpdateComplete(b Batch, confirmedAt, complete rwtime.BootTime) bool {
	c.updating.Lock()
	defer c.updating.Unlock()
	outdated := c.outdatedChanges(b)
	delta, first, accepted := c.merge(b, outdated)
	if !accepted {
		return false
	}
	if len(delta.Changes) > 0 || first {
		c.Apply(delta)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = max(c.confirmed, confirmedAt)
	c.complete = max(c.complete, complete)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	return true
}

// outdatedChanges returns the names of the objects of a batch of a newer era that Outdated
// reports.
func (c *Cache) outdatedChanges(b Batch) rwset.Set[string] {
	outdated := rwset.New[string]()
	if c.Outdated == nil || b.Era <= c.Position().Era {
		return outdated
	}
	for _, change := range b.Changes {
		if c.Outdated(change) {
			outdated.Add(change.Name)
		}
	}
	return outdated
}

// merge merges a batch into the cached objects. It returns the changes that were new, whether
// it is the first batch, and whether it was accepted.
func (c *Cache) merge(b Batch, outdated rwset.Set[string]) (delta Batch, first, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.position
	newEra := b.Era > former.Era
	if b.Position().Before(former) || newEra && !b.Snapshot {
		return Batch{}, false, false
	}
	if c.objects == nil {
		c.objects = map[string]object{}
		c.compactedRevision = b.Revision
	}
	first = c.confirmed == 0
	if newEra && !first {
		c.Log.Info("new era of the store", "kind", c.Kind, "from", former.String(), "to", b.Position().String())
		c.compactedRevision = b.Revision
	}
	delta = c.mergeLocked(b, newEra, outdated)
	c.position = b.Position()
	return delta, first, true
}

// mergeLocked merges a batch into the cached objects and returns the changes that were
// new. In a new era these are all objects, as their revisions mean something else.
func (c *Cache) mergeLocked(b Batch, newEra bool, outdated rwset.Set[string]) Batch {
	delta := Batch{Era: b.Era, Revision: b.Revision}
	now := time.Now()
	accept := func(change Change) {
		c.objects[change.Name] = object{Change: change, batchRevision: b.Revision, receivedAt: now}
		delta.Changes = append(delta.Changes, change)
	}
	listed, seen := make(map[string]bool, len(b.Changes)), make(map[string]bool, len(b.Changes))
	for _, change := range b.Changes {
		listed[change.Name] = true
		if old, known := c.objects[change.Name]; !known && change.Deleted || known && !supersedes(change, old.Change, outdated) {
			continue
		}
		seen[change.Name] = true
		accept(change)
	}
	for name, o := range c.objects {
		switch {
		case seen[name]:
		case newEra && o.Deleted:
			delete(c.objects, name)
		case newEra:
			accept(o.Change) // lost, or the new one is outdated
		case o.Deleted && now.Sub(o.receivedAt) > tombstoneTTL:
			c.compactedRevision = max(c.compactedRevision, o.batchRevision)
			delete(c.objects, name)
		case !o.Deleted && b.Lost(o.Change):
			if c.LostTTL > 0 && now.Sub(o.receivedAt) > c.LostTTL {
				accept(Change{Name: name, Era: o.Era, Revision: o.Revision, Deleted: true})
			}
		case b.Snapshot && !o.Deleted && !listed[name]:
			accept(Change{Name: name, Era: b.Era, Revision: b.Revision, Deleted: true})
		}
	}
	return delta
}

// supersedes reports whether a change replaces the cached state of its object.
func supersedes(change, old Change, outdated rwset.Set[string]) bool {
	if change.Position() == old.Position() {
		return change.Deleted && !old.Deleted
	}
	if change.Era > old.Era && !old.Deleted && outdated.Has(change.Name) {
		return false
	}
	return old.Position().Before(change.Position())
}

// Age returns the time since the store last confirmed the contents, and whether it
// ever did.
func (c *Cache) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rwtime.Since(c.confirmed), c.confirmed > 0
}

// Lag returns the time since which the contents may lack changes that the store has
// acknowledged, and whether there are contents. Unlike Age it trusts the store to end a
// watch as soon as there is a change: a watch that ended without any proves that there was
// none until then.
func (c *Cache) Lag() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rwtime.Since(c.complete), c.confirmed > 0
}

// Position returns the store's position of the contents, or the zero position if there
// are none.
func (c *Cache) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// contents are the changes of a cache after a position, and how recent they are.
type contents struct {
	Batch
	confirmed, complete rwtime.BootTime // see Age and Lag; zero if the cache is empty or older than the position
}

// changesSince returns the changes after a position, and a channel that is closed when the
// next batch is accepted.
func (c *Cache) changesSince(position Position) (contents, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	if c.confirmed == 0 || c.position.Before(position) {
		return contents{}, c.changed
	}
	b := Batch{Era: c.position.Era, Revision: c.position.Revision}
	b.Snapshot = position.Era < b.Era || position.Revision < c.compactedRevision
	for _, o := range c.objects {
		if b.Snapshot && !o.Deleted || !b.Snapshot && o.batchRevision > position.Revision {
			b.Changes = append(b.Changes, o.Change)
		}
	}
	return contents{b, c.confirmed, c.complete}, c.changed
}

// waitForChange blocks until there are changes after a position, until the contents are
// confirmed anew after complete, or until ctx ends. If complete is zero, no confirmation ends
// the wait. While the position is newer than the cache, there is nothing to return.
func (c *Cache) waitForChange(ctx context.Context, position Position, complete rwtime.BootTime) {
	for {
		now, changed := c.changesSince(position)
		confirmed := complete > 0 && now.complete >= complete+rwtime.BootTime(minConfirmation)
		if len(now.Changes) > 0 || now.Snapshot || confirmed {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
