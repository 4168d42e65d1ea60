package rwgeneration

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtoken"
)

// Generation is one generation at its primary.
type Generation struct {
	Spec    Spec
	Journal *rwtoken.Journal

	mu       sync.Mutex
	lineage  Lineage
	changed  chan struct{} // closed when the lineage or a reader changes
	readers  map[*reader]struct{}
	lastLeft time.Time
	begun    time.Time
	ended    time.Time
	cancel   context.CancelFunc
	failed   string // the version that failed last; only the run's goroutine uses it
	taken    bool   // the stream of an adopted lineage has been taken over
	moved    bool   // the gateways take the journal to another instance
}

// reader is a gateway that reads the generation.
type reader struct {
	position int
	local    bool // the gateway is at this instance: it is no second copy
}

func newGeneration(spec Spec, run rwtoken.Run, lineage Lineage) *Generation {
	return &Generation{
		Spec:     spec,
		Journal:  rwtoken.NewJournal(run),
		lineage:  lineage,
		changed:  make(chan struct{}),
		readers:  map[*reader]struct{}{},
		taken:    lineage.Stream == "",
		lastLeft: time.Now(),
		begun:    time.Now(),
	}
}

func (g *Generation) signalLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Lineage returns where the tokens come from.
func (g *Generation) Lineage() Lineage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lineage
}

func (g *Generation) setLineage(change func(*Lineage)) Lineage {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.lineage)
	g.signalLocked()
	return g.lineage
}

// state returns the lineage, whether the generation is to move, and a channel
// that is closed at the next change.
func (g *Generation) state() (Lineage, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lineage, g.moved, g.changed
}

func (g *Generation) attach(position int, local bool) *reader {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &reader{position: position, local: local}
	g.readers[r] = struct{}{}
	g.signalLocked()
	return r
}

func (g *Generation) detach(r *reader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.readers, r)
	g.lastLeft = time.Now()
	g.signalLocked()
}

func (g *Generation) advance(r *reader, position int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.position = position
	g.signalLocked()
}

// orphaned reports whether nobody has read for the grace time.
func (g *Generation) orphaned(grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.readers) == 0 && time.Since(g.lastLeft) > grace
}

// lag is how many tokens the fastest reader is behind the journal's end.
func (g *Generation) lag() int {
	count, _, _ := g.Journal.State()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.readers) == 0 {
		return 0
	}
	furthest := 0
	for r := range g.readers {
		furthest = max(furthest, r.position)
	}
	return count - furthest
}

// awaitReader waits until a reader is less than most tokens behind.
func (g *Generation) awaitReader(ctx context.Context, most int) error {
	for {
		_, _, changed := g.state()
		if g.lag() <= most {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitAnyReader waits until somebody reads.
func (g *Generation) awaitAnyReader(ctx context.Context) error {
	for {
		g.mu.Lock()
		read, changed := len(g.readers) > 0, g.changed
		g.mu.Unlock()
		if read {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// move has the gateways take the generation to another instance.
func (g *Generation) move() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moved = true
	g.signalLocked()
}

func (g *Generation) isMoved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.moved
}

// alone reports whether no gateway at another instance has a copy.
func (g *Generation) alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.readers {
		if !r.local {
			return false
		}
	}
	return len(g.readers) > 0
}

func (g *Generation) end(f rwtoken.Finish) {
	g.mu.Lock()
	if g.ended.IsZero() {
		g.ended = time.Now()
	}
	g.mu.Unlock()
	g.Journal.End(f)
}

func (g *Generation) fail(err error) {
	e := rwerror.As(err)
	if count, _, _ := g.Journal.State(); count > 0 && e.Ran == rwerror.RanNo {
		e = e.WithRan(rwerror.RanYes)
	}
	g.end(rwtoken.Finish{Err: e})
}
