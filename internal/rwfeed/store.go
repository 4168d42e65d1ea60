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

// Source is one kind of object in the store. An error of kind conflict says that
// the history from the revision is gone.
type Source interface {
	List(ctx context.Context) (Batch, error)
	Watch(ctx context.Context, revision int64, wait time.Duration) (Batch, error)
}

// Settings of following the store.
const (
	listTime  = 1500 * time.Millisecond // many times a slow store's answer
	watchMore = 900 * time.Millisecond  // for the answer, over the wait that was asked for
	// backLeast and backMost bound the pause after a failed call: short enough
	// for a change to be in force within its bound after an outage.
	backLeast = 50 * time.Millisecond
	backMost  = 600 * time.Millisecond
	// lostAfter is how long calls must fail for the store to be called lost.
	lostAfter = time.Second
	// roleInterval is how often an instance asks itself whether it watches.
	roleInterval = 200 * time.Millisecond
)

// Watcher follows one kind in the store while it is this instance's task. Set
// the exported fields before Run.
type Watcher struct {
	Held   *Held
	Source Source
	Task   func() bool          // reports whether this instance is to watch
	Wait   time.Duration        // that a watch waits for a change: how often the state is confirmed
	Gather time.Duration        // pause between two watches, in which changes gather
	Back   func() time.Duration // pause after a failed call, if longer than a watcher's; nil for none
	Log    logr.Logger

	whole bool // the next call lists

	mu       sync.Mutex
	lost     time.Time // since when calls fail
	regained time.Time
}

// Run follows until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	back := backLeast
	w.whole = true
	for ctx.Err() == nil {
		if !w.Task() {
			rwtime.Sleep(ctx, roleInterval)
			continue
		}
		began := rwtime.Now()
		batch, err := w.call(ctx)
		switch {
		case ctx.Err() != nil:
			return // ended, not failed
		case err == nil:
			w.took(batch, began)
			back = backLeast
			if len(batch.Changes) > 0 && !batch.Whole {
				rwtime.Sleep(ctx, w.Gather)
			}
		case rwerror.Is(err, rwerror.KindConflict):
			w.Log.Info("history gone", "kind", w.Held.Kind, "revision", w.Held.Revision())
			w.whole = true
		default:
			w.failed(err)
			if w.Back != nil && w.Back() > backMost {
				back = w.Back()
			}
			rwtime.Sleep(ctx, back/2+rand.N(back/2))
			back = min(2*back, backMost)
		}
	}
}

func (w *Watcher) call(ctx context.Context) (Batch, error) {
	if w.whole || w.Held.Revision() == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTime)
		defer cancel()
		return w.Source.List(ctx)
	}
	wait := w.Wait
	if w.Lost() {
		wait = 0 // an answer at once tells that the store is back
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchMore)
	defer cancel()
	return w.Source.Watch(ctx, w.Held.Revision(), wait)
}

func (w *Watcher) took(batch Batch, began rwtime.Boot) {
	w.answered(batch.Revision)
	if !w.Held.Offer(batch, began) {
		w.Log.Info("older state passed over", "kind", w.Held.Kind, "revision", batch.Revision, "have", w.Held.Revision())
		return
	}
	w.whole = false
}

// answered notes that the store answered, and when it does again after an outage.
func (w *Watcher) answered(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost.IsZero() {
		return
	}
	if away := time.Since(w.lost); away > lostAfter {
		w.Log.Info("store regained", "kind", w.Held.Kind, "away", away.Seconds(), "revision", revision)
		w.regained = time.Now()
	}
	w.lost = time.Time{}
}

func (w *Watcher) failed(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost.IsZero() {
		w.lost = time.Now()
		w.Log.Info("store call failed", "kind", w.Held.Kind, "cause", err.Error(), "revision", w.Held.Revision())
	}
}

// Lost reports whether the last call failed.
func (w *Watcher) Lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.lost.IsZero()
}

// Regained is when the store was last regained after an outage.
func (w *Watcher) Regained() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.regained
}
