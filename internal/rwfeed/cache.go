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
	compactedRevision int64 // older revisions get a full list: their changes are no longer known one by one
	confirmed         rwtime.BootTime
	changed           chan struct{} // closed when the next batch is accepted
}

type object struct {
	Change
	batchRevision int64 // store revision of the batch that contained it
	receivedAt    time.Time
}

// tombstoneTTL is how long the deletion of an object is kept for followers. It is
// many times their polling interval.
const tombstoneTTL = time.Minute

// missingRequired reports whether the kind is needed to serve callers and was never
// received.
func (h *Cache) missingRequired() bool {
	_, known := h.Age()
	return !known && !h.Optional
}

// Update applies a batch that the store confirmed at confirmedAt. It returns false
// and changes nothing if the batch is older than the cache.
func (h *Cache) Update(b Batch, confirmedAt rwtime.BootTime) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Revision < h.revision {
		return false
	}
	if h.objects == nil {
		h.objects = map[string]object{}
		h.compactedRevision = b.Revision
	}
	delta := h.mergeLocked(b)
	first := h.confirmed == 0
	h.revision = b.Revision
	h.confirmed = max(h.confirmed, confirmedAt)
	if len(delta.Changes) > 0 || first {
		h.Apply(delta)
	}
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// mergeLocked merges a batch into the cached objects and returns the changes that
// were new.
func (h *Cache) mergeLocked(b Batch) Batch {
	delta := Batch{Revision: b.Revision}
	now := time.Now()
	seen := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		seen[c.Name] = true
		old, known := h.objects[c.Name]
		if known && (c.Revision < old.Revision || c.Revision == old.Revision && c.Deleted == old.Deleted) || !known && c.Deleted {
			continue
		}
		h.objects[c.Name] = object{Change: c, batchRevision: b.Revision, receivedAt: now}
		delta.Changes = append(delta.Changes, c)
	}
	for name, o := range h.objects {
		switch {
		case b.Snapshot && !seen[name] && !o.Deleted:
			gone := Change{Name: name, Revision: b.Revision, Deleted: true}
			h.objects[name] = object{Change: gone, batchRevision: b.Revision, receivedAt: now}
			delta.Changes = append(delta.Changes, gone)
		case o.Deleted && now.Sub(o.receivedAt) > tombstoneTTL:
			h.compactedRevision = max(h.compactedRevision, o.batchRevision)
			delete(h.objects, name)
		}
	}
	return delta
}

// Age returns the time since the store last confirmed the contents, and whether it
// ever did.
func (h *Cache) Age() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return rwtime.Since(h.confirmed), h.confirmed > 0
}

// Revision returns the store revision of the contents, or zero if there are none.
func (h *Cache) Revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// changesSince returns the changes after a revision, when the contents were last
// confirmed, and a channel that is closed when the next batch is accepted. It returns
// zero values for the first two if the cache is empty or older than the revision.
func (h *Cache) changesSince(revision int64) (Batch, rwtime.BootTime, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	b := Batch{Revision: h.revision, Snapshot: revision < h.compactedRevision}
	if h.confirmed == 0 || revision > h.revision {
		return Batch{}, 0, h.changed
	}
	for _, o := range h.objects {
		if b.Snapshot && !o.Deleted || !b.Snapshot && o.batchRevision > revision {
			b.Changes = append(b.Changes, o.Change)
		}
	}
	return b, h.confirmed, h.changed
}

// waitForChange blocks until there are changes after a revision or ctx ends. A
// confirmation without changes doesn't end the wait.
func (h *Cache) waitForChange(ctx context.Context, revision int64) {
	for {
		b, confirmed, changed := h.changesSince(revision)
		callerAhead := confirmed == 0 && revision > 0 // the caller's revision is newer than the cache
		if len(b.Changes) > 0 || b.Snapshot || callerAhead {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
