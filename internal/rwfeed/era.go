package rwfeed

import (
	"context"
	"fmt"
	"sync"
)

// Position is a point in the history of the store. The era rises when the store comes back
// from an older copy of its contents: it then gives out revisions again, so that a revision
// says nothing without its era.
type Position struct {
	Era      int64
	Revision int64
}

// Before reports whether p is older than other.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// String returns the era and the revision, separated by a slash.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// Era holds the highest era of the store that was seen in any answer. The zero value is
// ready for use: a store that doesn't tell its era is in era 0. A nil Era never rises.
type Era struct {
	mu     sync.Mutex
	era    int64
	ctx    context.Context // ended when the era rises
	cancel context.CancelFunc
}

// Observe records the era of an answer and reports whether the answer is current: an
// answer of an older era says nothing about the store's contents.
func (e *Era) Observe(era int64) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.era {
		e.era = era
		if e.cancel != nil {
			e.cancel()
			e.ctx, e.cancel = nil, nil
		}
	}
	return era == e.era
}

// Current returns the highest era that was seen.
func (e *Era) Current() int64 {
	era, _ := e.watch()
	return era
}

// watch returns the highest era that was seen and a context that ends when it rises.
func (e *Era) watch() (int64, context.Context) {
	if e == nil {
		return 0, context.Background()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil {
		e.ctx, e.cancel = context.WithCancel(context.Background())
	}
	return e.era, e.ctx
}

// Until returns the highest era that was seen, and a context that also ends when it rises.
func (e *Era) Until(ctx context.Context) (int64, context.Context, context.CancelFunc) {
	era, raised := e.watch()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(raised, cancel)
	return era, ctx, func() {
		stop()
		cancel()
	}
}
