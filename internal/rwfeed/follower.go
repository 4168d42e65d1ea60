package rwfeed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

// Change is one object as it is at a revision.
type Change[T any] struct {
	Name     string
	Revision int64
	Value    T
	Gone     bool  // the object is deleted
	Bad      error // the object can't be read
}

// Batch is what a call to the store brought.
type Batch[T any] struct {
	Changes  []Change[T]
	Revision int64 // the store's, to watch from
	Whole    bool  // all objects of the kind
}

// Source is one kind of object in the store. An error of kind conflict says that
// the history from the revision is gone.
type Source[T any] interface {
	List(ctx context.Context) (Batch[T], error)
	Watch(ctx context.Context, revision int64, wait time.Duration) (Batch[T], error)
}

// Settings of following.
const (
	listTime  = 1500 * time.Millisecond // many times a slow store's answer
	watchMore = 900 * time.Millisecond  // for the answer, over the wait that was asked for
	// backLeast and backMost bound the pause after a failed call: short enough
	// for a change to be in force within its bound after an outage.
	backLeast = 50 * time.Millisecond
	backMost  = 600 * time.Millisecond
	// lostAfter is how long calls must fail for the store to be called lost.
	lostAfter = time.Second
)

// Follower follows one kind. Set the exported fields before Run.
type Follower[T any] struct {
	Kind   string // for logs
	Source Source[T]
	Wait   time.Duration // that a watch waits for a change: how often the state is confirmed
	Gather time.Duration // pause between two watches, in which changes gather
	Apply  func(Batch[T])
	Log    logr.Logger

	mu        sync.Mutex
	confirmed rwtime.Boot
	known     bool
	revision  int64
	lost      time.Time // since when calls fail
	regained  time.Time
}

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	back := backLeast
	for ctx.Err() == nil {
		began := rwtime.Now()
		batch, err := f.call(ctx)
		if err == nil {
			f.took(batch, began)
			back = backLeast
			if len(batch.Changes) > 0 {
				rwtime.Sleep(ctx, f.Gather)
			}
			continue
		}
		if rwerror.Is(err, rwerror.KindConflict) {
			f.Log.Info("history gone", "kind", f.Kind, "revision", f.revision)
			f.known = false
			continue
		}
		f.failed(err)
		rwtime.Sleep(ctx, back/2+rand.N(back/2))
		back = min(2*back, backMost)
	}
}

func (f *Follower[T]) call(ctx context.Context) (Batch[T], error) {
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, listTime)
		defer cancel()
		return f.Source.List(ctx)
	}
	wait := f.Wait
	if !f.lost.IsZero() {
		wait = 0 // an answer at once tells that the store is back
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchMore)
	defer cancel()
	return f.Source.Watch(ctx, f.revision, wait)
}

func (f *Follower[T]) took(batch Batch[T], began rwtime.Boot) {
	if batch.Revision < f.revision {
		f.Log.Info("older state passed over", "kind", f.Kind, "revision", batch.Revision, "have", f.revision)
		f.failed(errOlder)
		return
	}
	if !f.lost.IsZero() {
		if away := time.Since(f.lost); away > lostAfter {
			f.Log.Info("store regained", "kind", f.Kind, "away", away.Seconds(), "revision", batch.Revision)
			f.mu.Lock()
			f.regained = time.Now()
			f.mu.Unlock()
		}
		f.lost = time.Time{}
	}
	if len(batch.Changes) > 0 || batch.Whole {
		f.Apply(batch)
	}
	f.revision, f.known = batch.Revision, true
	f.mu.Lock()
	defer f.mu.Unlock()
	if began > f.confirmed {
		f.confirmed = began
	}
}

var errOlder = rwerror.New(rwerror.KindUnavailable, "list again", "the store answered with an older state")

func (f *Follower[T]) failed(err error) {
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.Log.Info("store call failed", "kind", f.Kind, "cause", err.Error(), "revision", f.revision)
	}
}

// Age is the time since what is held was confirmed, and whether it ever was.
func (f *Follower[T]) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rwtime.Since(f.confirmed), f.confirmed > 0
}

// Regained is when the store was last regained after an outage.
func (f *Follower[T]) Regained() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regained
}
