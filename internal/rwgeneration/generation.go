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

	mu             sync.Mutex
	lineage        Lineage
	changed        chan struct{} // closed when the lineage or a reader changes
	readers        map[*reader]struct{}
	lastReaderLeft time.Time // initially the time of creation, so that orphaned allows a grace period
	startedAt      time.Time // time at which this instance started it or took it over
	endedAt        time.Time // zero while it runs
	cancel         context.CancelFunc
	failedVersion  string // version that failed last; used only by the goroutine of Primary.run
	streamClaimed  bool   // the stream of an adopted lineage was resumed or needs no resuming
	moving         bool   // the gateways are to send their copies to another instance
}

// reader is a gateway that reads the generation.
type reader struct {
	position int  // offset in the journal of the next token to send to it
	local    bool // the gateway is this instance, so its copy is no replica
}

func newGeneration(spec Spec, run rwtoken.RunID, lineage Lineage) *Generation {
	return &Generation{
		Spec:           spec,
		Journal:        rwtoken.NewJournal(run),
		lineage:        lineage,
		changed:        make(chan struct{}),
		readers:        map[*reader]struct{}{},
		streamClaimed:  lineage.Stream == "",
		lastReaderLeft: time.Now(),
		startedAt:      time.Now(),
	}
}

func (g *Generation) signalLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Lineage returns the current lineage.
func (g *Generation) Lineage() Lineage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lineage
}

// updateLineage calls change with g.mu held, and returns the changed lineage.
func (g *Generation) updateLineage(change func(*Lineage)) Lineage {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.lineage)
	g.signalLocked()
	return g.lineage
}

// state returns the lineage, whether the generation is moving to another instance,
// and a channel that is closed at the next change.
func (g *Generation) state() (Lineage, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lineage, g.moving, g.changed
}

func (g *Generation) addReader(position int, local bool) *reader {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &reader{position: position, local: local}
	g.readers[r] = struct{}{}
	g.signalLocked()
	return r
}

func (g *Generation) removeReader(r *reader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.readers, r)
	g.lastReaderLeft = time.Now()
	g.signalLocked()
}

func (g *Generation) advance(r *reader, position int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.position = position
	g.signalLocked()
}

// orphaned reports whether there has been no reader for longer than grace.
func (g *Generation) orphaned(grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.readers) == 0 && time.Since(g.lastReaderLeft) > grace
}

// lag returns the number of tokens by which the furthest reader is behind the end of
// the journal.
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

// waitForLag waits until the lag is at most maxLag tokens.
func (g *Generation) waitForLag(ctx context.Context, maxLag int) error {
	for {
		_, _, changed := g.state()
		if g.lag() <= maxLag {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *Generation) hasReader() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.readers) > 0
}

// waitForReader waits until there is a reader.
func (g *Generation) waitForReader(ctx context.Context) error {
	for {
		g.mu.Lock()
		hasReader, changed := len(g.readers) > 0, g.changed
		g.mu.Unlock()
		if hasReader {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startMove tells the gateways to send their copies to another instance, which
// becomes the primary.
func (g *Generation) startMove() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moving = true
	g.signalLocked()
}

func (g *Generation) isMoving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.moving
}

// onlyLocalReaders reports whether there are readers and all of them are at this
// instance.
func (g *Generation) onlyLocalReaders() bool {
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
	if g.endedAt.IsZero() {
		g.endedAt = time.Now()
	}
	g.mu.Unlock()
	g.Journal.End(f)
}

// fail ends the generation with err. If err says that the request did not run although
// the journal holds tokens, or an attempt was made, this is corrected.
func (g *Generation) fail(err error) {
	e := rwerror.As(err)
	switch count, _, _ := g.Journal.State(); {
	case e.Ran != rwerror.RanNo:
	case count > 0:
		e = e.WithRan(rwerror.RanYes)
	case g.Lineage().Attempt > 0:
		e = e.WithRan(rwerror.RanUnknown)
	}
	g.end(rwtoken.Finish{Err: e})
}
