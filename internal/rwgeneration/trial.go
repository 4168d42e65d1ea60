package rwgeneration

import (
	"sync"
	"time"
)

const trialsKept = 20_000

// trials keeps copies of one request together until one of them is proven: has
// run for a while without a crash. A caller that sends a request which crashes
// servers through all instances at once then costs one server a round, since
// all copies have the same primary and run beside the first one.
type trials struct {
	mu      sync.Mutex
	entries map[uint64]*trial
}

type trial struct {
	leader  *Generation
	server  string
	proven  bool
	changed chan struct{} // closed when any of the above changes
}

// enter tells where a generation may run: anywhere, only at the server where
// the leading copy runs, or nowhere before the channel is closed.
func (t *trials) enter(g *Generation) (server string, wait <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[g.Spec.Fingerprint]
	if !ok {
		t.leadLocked(g)
		return "", nil
	}
	if e.proven || e.leader == g {
		return "", nil
	}
	return e.server, e.changed
}

// open reports whether a request has copies that are kept together.
func (t *trials) open(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	return ok && !e.proven
}

func (t *trials) leadLocked(g *Generation) {
	if t.entries == nil {
		t.entries = map[uint64]*trial{}
	}
	if len(t.entries) >= trialsKept {
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

func (t *trials) ofLocked(g *Generation) (*trial, bool) {
	e, ok := t.entries[g.Spec.Fingerprint]
	return e, ok && e.leader == g
}

// placed notes where the leading copy runs.
func (t *trials) placed(g *Generation, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.ofLocked(g); ok && !e.proven {
		e.server = server
		e.signalLocked()
	}
}

// prove notes that the request has run well.
func (t *trials) prove(g *Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[g.Spec.Fingerprint]; ok && !e.proven {
		e.proven = true
		e.signalLocked()
	}
}

// unproven notes that a server died under the request, which leads the trial
// from now on if nobody does.
func (t *trials) unproven(g *Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[g.Spec.Fingerprint]
	if !ok || e.proven {
		t.leadLocked(g)
		return
	}
	e.server = ""
	e.signalLocked()
}

// ended lets another copy lead where the leading one ends unproven.
func (t *trials) ended(g *Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.ofLocked(g); ok && !e.proven {
		delete(t.entries, g.Spec.Fingerprint)
		close(e.changed)
	}
}

// await waits for a change of a trial, but no longer than most.
func await(done <-chan struct{}, changed <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-done:
	case <-timer.C:
	}
	return false
}
