package rwgeneration

import (
	"sync"
	"time"
)

// maxTrials is the number of trials at which starting another first removes all proven
// ones.
const maxTrials = 20_000

// trials keeps all copies of a request on one server until one of them is proven, that
// is, has run for some time without a crash. All copies of a request have the same
// primary, and may run at the same time on the server of the first one. If a caller
// sends a request that crashes servers through all instances at once, each round of
// attempts therefore crashes only one server.
type trials struct {
	mu      sync.Mutex
	entries map[uint64]*trial // by the fingerprint of the request
}

// trial is the trial of one request.
type trial struct {
	leader  *Generation
	server  string // of the leading copy; empty until it is placed, and after a crash
	proven  bool
	changed chan struct{} // closed when server or proven changes, or the trial ends
}

// join returns where a generation may run: anywhere if wait is nil, else only on the
// server of the leading copy, or nowhere until wait is closed if server is empty. The
// first copy of a request becomes the leader.
func (t *trials) join(g *Generation) (server string, wait <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[g.Spec.Fingerprint]
	if !ok {
		t.startLocked(g)
		return "", nil
	}
	if e.proven || e.leader == g {
		return "", nil
	}
	return e.server, e.changed
}

// unproven reports whether copies of a request are kept on one server.
func (t *trials) unproven(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	return ok && !e.proven
}

func (t *trials) startLocked(g *Generation) {
	if t.entries == nil {
		t.entries = map[uint64]*trial{}
	}
	if len(t.entries) >= maxTrials {
		t.dropProvenLocked()
	}
	t.entries[g.Spec.Fingerprint] = &trial{leader: g, changed: make(chan struct{})}
}

func (t *trials) dropProvenLocked() {
	for f, e := range t.entries {
		if e.proven {
			delete(t.entries, f)
		}
	}
}

func (e *trial) signalLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (t *trials) ledByLocked(g *Generation) (*trial, bool) {
	e, ok := t.entries[g.Spec.Fingerprint]
	return e, ok && e.leader == g
}

// setServer records the server of the leading copy.
func (t *trials) setServer(g *Generation, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.ledByLocked(g); ok && !e.proven {
		e.server = server
		e.signalLocked()
	}
}

// markProven records that the request ran without a crash.
func (t *trials) markProven(g *Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[g.Spec.Fingerprint]; ok && !e.proven {
		e.proven = true
		e.signalLocked()
	}
}

// markCrashed records that a server crashed under the request, and starts a trial led
// by g if there is none.
func (t *trials) markCrashed(g *Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[g.Spec.Fingerprint]
	if !ok || e.proven {
		t.startLocked(g)
		return
	}
	e.server = ""
	e.signalLocked()
}

// removeLeader ends the trial that g leads, so that another copy can lead.
func (t *trials) removeLeader(g *Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.ledByLocked(g); ok && !e.proven {
		delete(t.entries, g.Spec.Fingerprint)
		close(e.changed)
	}
}

// waitForChange waits until changed or done is closed or the timeout has passed, and
// reports whether changed was closed.
func waitForChange(done <-chan struct{}, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-done:
	case <-timer.C:
	}
	return false
}
