package rwlink

import (
	"context"
	"sync"
	"time"
)

// Probe asks servers whether they are there, by connecting to them. A server
// that is busy accepts as fast as an idle one, so silence on a stream and a
// connection that opens at once mean work, and no answer at all means a loss.
// The zero value is ready.
type Probe struct {
	mu    sync.Mutex
	known map[string]*finding
}

type finding struct {
	running bool
	at      time.Time // when the last connect began
	reached bool
	done    time.Time
}

const (
	// probeTime is how long a connect may take: many network round trips of the
	// users' regions, and far less than the pause that callers bear.
	probeTime = 70 * time.Millisecond
	// probeTries is how many connects in a row must go unanswered: one opening
	// packet in some dozens is lost on a bad link.
	probeTries = 2
	probesKept = 512
)

// Finding is what a probe found.
type Finding int

// What a probe may have found.
const (
	FindingNone    Finding = iota // nothing yet
	FindingReached                // a connection opened
	FindingLost                   // no connection opened
)

// Ask returns what was found at an address by a probe that began at or after
// since, and starts one if there is none.
func (p *Probe) Ask(address string, since time.Time) Finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil || len(p.known) > probesKept {
		p.known = map[string]*finding{}
	}
	f, ok := p.known[address]
	if !ok {
		f = &finding{}
		p.known[address] = f
	}
	if !f.done.IsZero() && !f.at.Before(since) {
		if f.reached {
			return FindingReached
		}
		return FindingLost
	}
	if !f.running {
		f.running = true
		go p.run(address, f)
	}
	return FindingNone
}

func (p *Probe) run(address string, f *finding) {
	began := time.Now()
	reached := false
	for range probeTries {
		accepted, answered := Reached(context.Background(), address, probeTime)
		if reached = accepted; answered {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f.running, f.at, f.reached, f.done = false, began, reached, time.Now()
}
