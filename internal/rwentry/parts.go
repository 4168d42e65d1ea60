package rwentry

import (
	"context"
	"encoding/json"
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwpart"

	"github.com/juju/errors"
)

// partSpec is the spec of a stored held part. Its name is the part's key.
type partSpec struct {
	Losses []rwpart.Loss `json:"losses"`
	Held   int64         `json:"held"`  // for how long it was held, in milliseconds
	Made   int64         `json:"made"`  // Unix time of Losses and Held, in milliseconds
	Until  int64         `json:"until"` // Unix time, in seconds
}

// applyPart applies a held part that was added to or deleted from the store. lost reports
// that the store has lost the object, which releases nothing.
func (q *quarantines) applyPart(part rwpart.Key, c rwfeed.Change, lost bool) error {
	if c.Deleted {
		q.forget(c.Name)
		if lost {
			return nil
		}
		q.instance.parts.Release(part)
		q.instance.Log.Info("part released", "key", c.Name, "revision", c.Revision)
		return nil
	}
	var spec partSpec
	if err := json.Unmarshal(c.Spec, &spec); err != nil {
		return errors.Trace(err)
	}
	until := time.Unix(spec.Until, 0)
	if time.Now().Before(until) {
		// The clocks of instances differ.
		age := max(0, time.Since(time.UnixMilli(spec.Made))).Milliseconds()
		for n := range spec.Losses {
			spec.Losses[n].Age += age
		}
		if spec.Held > 0 {
			spec.Held += age
		}
		q.instance.parts.Merge(rwpart.Finding{Part: part, Losses: spec.Losses, Held: spec.Held})
		q.instance.Log.Info("held part received from the store", "key", c.Name, "losses", len(spec.Losses), "revision", c.Revision)
	}
	q.setStored(c.Name, storedQuarantine{until: until, era: c.Era, losses: spec.Losses})
	return nil
}

// syncParts stores the parts that are held, again after each trial that failed, and deletes those
// that are sound again.
func (q *quarantines) syncParts(ctx context.Context) {
	for _, part := range q.instance.parts.Held() {
		if q.dueForWrite(part.String(), q.instance.parts.Get(part).Losses) {
			q.writePart(ctx, part)
		}
	}
	for _, name := range q.storedNames() {
		if part, ok := rwpart.ParseName(name); ok && len(q.instance.parts.Get(part).Losses) == 0 {
			q.delete(ctx, name)
		}
	}
}

// writePart stores a held part. After a failure it is tried again at the next interval.
func (q *quarantines) writePart(ctx context.Context, part rwpart.Key) {
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	now := time.Now()
	until := now.Add(rwpart.HoldLife).Truncate(time.Second)
	era := q.instance.Stores.Era.Current()
	finding := q.instance.parts.Get(part)
	spec := partSpec{Losses: finding.Losses, Held: finding.Held, Made: now.UnixMilli(), Until: until.Unix()}
	q.instance.counters.Increment("store_write_quarantines")
	if err := q.instance.Stores.Quarantines.Put(ctx, part.String(), spec); err != nil {
		q.instance.Log.Info("cannot store a held part, will retry", "key", part.String(), "cause", err.Error())
		return
	}
	q.instance.Log.Info("held part stored", "key", part.String(), "losses", len(spec.Losses), "until", spec.Until)
	q.setStored(part.String(), storedQuarantine{until: until, era: era, losses: finding.Losses})
}

// storedNames returns the names of what is in the store.
func (q *quarantines) storedNames() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	names := make([]string, 0, len(q.stored))
	for name := range q.stored {
		names = append(names, name)
	}
	return names
}

// PartDump is a part of prompts that is held in a StateDump.
type PartDump struct {
	Key    string `json:"key"`
	Losses int    `json:"losses"`
}
