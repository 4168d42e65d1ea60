package rwfeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

// Change is one object as it is at a revision.
type Change struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
	Gone     bool            `json:"gone,omitempty"`
}

// Batch is what a call brought.
type Batch struct {
	Changes  []Change `json:"changes,omitempty"`
	Revision int64    `json:"revision"`        // the store's, to watch from
	Whole    bool     `json:"whole,omitempty"` // all objects of the kind
}

// Held is what is held of one kind of object. Set the exported fields before
// first use.
type Held struct {
	Kind     string
	Slow     bool        // confirmed so rarely that its age tells nothing
	Optional bool        // callers can be served without it
	Apply    func(Batch) // called in the order of revisions, by one goroutine at a time
	Log      logr.Logger

	mu        sync.Mutex
	objects   map[string]object
	revision  int64
	horizon   int64 // changes up to here are not known one by one
	confirmed rwtime.Boot
	changed   chan struct{} // closed at the next change
}

type object struct {
	Change
	stamp int64 // store revision of the batch that brought it
	at    time.Time
}

// goneLife is how long the deletion of an object is kept, to be handed on: many
// times the pause between two calls of a follower.
const goneLife = time.Minute

// lacking reports whether nothing is held of a kind that is needed to serve.
func (h *Held) lacking() bool {
	_, known := h.Age()
	return !known && !h.Optional
}

// Offer takes in a batch that was true at a time. It reports whether it was not
// older than what is held.
func (h *Held) Offer(b Batch, at rwtime.Boot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Revision < h.revision {
		return false
	}
	if h.objects == nil {
		h.objects = map[string]object{}
		h.horizon = b.Revision
	}
	fresh := h.freshLocked(b)
	first := h.confirmed == 0
	h.revision = b.Revision
	h.confirmed = max(h.confirmed, at)
	if len(fresh.Changes) > 0 || first {
		h.Apply(fresh)
	}
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// freshLocked takes what is new of a batch into the objects and returns it.
func (h *Held) freshLocked(b Batch) Batch {
	fresh := Batch{Revision: b.Revision}
	now := time.Now()
	seen := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		seen[c.Name] = true
		old, known := h.objects[c.Name]
		if known && (c.Revision < old.Revision || c.Revision == old.Revision && c.Gone == old.Gone) || !known && c.Gone {
			continue
		}
		h.objects[c.Name] = object{Change: c, stamp: b.Revision, at: now}
		fresh.Changes = append(fresh.Changes, c)
	}
	for name, o := range h.objects {
		switch {
		case b.Whole && !seen[name] && !o.Gone:
			gone := Change{Name: name, Revision: b.Revision, Gone: true}
			h.objects[name] = object{Change: gone, stamp: b.Revision, at: now}
			fresh.Changes = append(fresh.Changes, gone)
		case o.Gone && now.Sub(o.at) > goneLife:
			h.horizon = max(h.horizon, o.stamp)
			delete(h.objects, name)
		}
	}
	return fresh
}

// Age is the time since what is held was confirmed, and whether it ever was.
func (h *Held) Age() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return rwtime.Since(h.confirmed), h.confirmed > 0
}

// Revision is the store's revision that is held; zero when nothing is.
func (h *Held) Revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// since returns what has changed after a revision, when what is held was
// confirmed, and a channel that is closed at the next batch.
func (h *Held) since(revision int64) (Batch, rwtime.Boot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	b := Batch{Revision: h.revision, Whole: revision < h.horizon}
	if h.confirmed == 0 || revision > h.revision {
		return Batch{}, 0, h.changed
	}
	for _, o := range h.objects {
		if b.Whole && !o.Gone || !b.Whole && o.stamp > revision {
			b.Changes = append(b.Changes, o.Change)
		}
	}
	return b, h.confirmed, h.changed
}

// wait waits until something has changed after a revision, or a time is over. A
// later confirmation alone is not waited for.
func (h *Held) wait(ctx context.Context, revision int64) {
	for {
		b, confirmed, changed := h.since(revision)
		behind := confirmed == 0 && revision > 0 // whoever asks knows more
		if len(b.Changes) > 0 || b.Whole || behind {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
