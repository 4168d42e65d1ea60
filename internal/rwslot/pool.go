package rwslot

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
)

// The times of leases. A holder renews each RenewInterval; the owner cancels
// the stream of a lease that was not renewed for LeaseLife.
const (
	RenewInterval = 500 * time.Millisecond
	LeaseLife     = 6 * time.Second
	WarmUp        = 1500 * time.Millisecond

	queueFactor   = 2 // asks that wait at most, as a multiple of the limit
	queueLeast    = 8
	drainWeight   = 0.2
	drainGuess    = 2 * time.Second // between two releases of one slot, before any was seen
	retryLeast    = 250 * time.Millisecond
	retryMost     = 30 * time.Second
	retryJitter   = 0.3
	retryWhenDown = time.Second
)

// AnyHolder stands for whoever holds a lease.
const AnyHolder = ""

// Load is what the owner of a server knows of it.
type Load struct {
	Held     int
	Limit    int
	Waiting  int
	Down     bool
	Leaving  bool
	Drain    time.Duration // between two slots given back
	Versions []string

	Incarnation string // of the server's process
	Closed      bool   // the owner gives out no slots for now
}

// Lease is a slot that a holder has.
type Lease struct {
	ID           string
	Organisation string
	Tokens       int
	Fingerprint  uint64
	Suspect      bool
}

type held struct {
	Lease

	holder  string
	granted time.Time
	renewed time.Time
}

// Pool is the slots of one server at its owner. Set the exported fields before
// first use.
type Pool struct {
	Server string
	Pace   time.Duration // aim between tokens
	Fence  func() bool   // reports whether this owner may give out slots

	mu          sync.Mutex
	adaptive    adaptive
	leases      map[string]*held
	queue       fairQueue
	warm        time.Time
	down        bool
	leaving     bool
	versions    []string
	incarnation string
	drain       time.Duration
	holding     time.Duration // how long a request holds its slot, on average
	released    time.Time
}

// NewPool returns the pool of a server whose owner this instance becomes now.
func NewPool(server string, capacity int, pace time.Duration, fence func() bool) *Pool {
	return &Pool{
		Server:   server,
		Pace:     pace,
		Fence:    fence,
		adaptive: newAdaptive(capacity),
		leases:   map[string]*held{},
		warm:     time.Now().Add(WarmUp),
		drain:    drainGuess / time.Duration(capacity),
	}
}

// Resize takes in a changed capacity and whether the server is leaving.
func (p *Pool) Resize(capacity int, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adaptive.resize(capacity)
	p.leaving = leaving
	if leaving {
		p.refuseAllLocked(p.leavingLocked())
	}
	p.pumpLocked()
}

// Acquire waits for a slot. It returns nil when the lease is granted, and a
// typed refusal otherwise.
func (p *Pool) Acquire(ctx context.Context, a Ask) error {
	w, err := p.enqueue(a)
	if err != nil {
		return err
	}
	timer := time.NewTimer(a.Patience)
	defer timer.Stop()
	select {
	case err := <-w.reply:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.done {
		return <-w.reply
	}
	p.queue.remove(w)
	return p.overloadedLocked(a)
}

func (p *Pool) enqueue(a Ask) (*waiting, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.closedLocked(); err != nil {
		return nil, err
	}
	if !p.canWaitLocked(a) {
		return nil, p.overloadedLocked(a)
	}
	w := p.queue.push(a)
	p.pumpLocked()
	return w, nil
}

func (p *Pool) closedLocked() error {
	switch {
	case p.down:
		return rwerror.New(rwerror.KindUnavailable, "use another backend server", "backend server %s is down", p.Server).WithRetryAfter(retryWhenDown)
	case p.leaving:
		return p.leavingLocked()
	case time.Now().Before(p.warm):
		return rwerror.New(rwerror.KindUnavailable, "use another backend server", "backend server %s has a new owner", p.Server).WithRetryAfter(time.Until(p.warm))
	case !p.Fence():
		return rwerror.New(rwerror.KindUnavailable, "use another backend server", "the owner of backend server %s has lost the majority of instances", p.Server).WithRetryAfter(retryWhenDown)
	}
	return nil
}

func (p *Pool) leavingLocked() *rwerror.Error {
	return rwerror.New(rwerror.KindUnavailable, "use another backend server", "backend server %s is leaving", p.Server).WithRetryAfter(retryWhenDown)
}

// canWaitLocked reports whether the ask has a place in the queue and can be
// expected to be served before its patience ends.
func (p *Pool) canWaitLocked(a Ask) bool {
	if p.fitsLocked(a) && len(p.queue.items) == 0 {
		return !p.hopelessLocked(a, 0)
	}
	most := max(queueLeast, queueFactor*p.adaptive.slots())
	if len(p.queue.items) >= most && !a.Resume && !p.displaceLocked(a) {
		return false
	}
	wait := p.expectedWaitLocked(a)
	return wait <= a.Patience && !p.hopelessLocked(a, wait)
}

// displaceLocked makes room in a full queue for an ask that would be served before
// the last one in it: an organisation that floods the queue keeps nobody out.
func (p *Pool) displaceLocked(a Ask) bool {
	last := p.queue.last()
	if last == nil || last.ask.Resume || p.queue.ahead(a) >= len(p.queue.items) {
		return false
	}
	p.queue.remove(last)
	last.done = true
	last.reply <- p.overloadedLocked(last.ask)
	return true
}

// hopelessLocked reports whether the work would not be done before the caller
// has given up on it. Work that has begun is never refused for this.
func (p *Pool) hopelessLocked(a Ask, wait time.Duration) bool {
	return a.Left > 0 && !a.Resume && wait+p.holding > a.Left
}

func (p *Pool) expectedWaitLocked(a Ask) time.Duration {
	free := p.adaptive.slots() - len(p.leases)
	turns := p.queue.ahead(a) + 1 - max(0, free)
	return time.Duration(max(0, turns)) * p.drain
}

// overloadedLocked tells the asker to come back when the queue will have
// drained, spread by a jitter so that the refused do not come back together.
func (p *Pool) overloadedLocked(a Ask) *rwerror.Error {
	wait := p.expectedWaitLocked(a) + time.Duration(len(p.queue.items))*p.drain
	wait = max(retryLeast, min(retryMost, wait))
	wait += time.Duration(rand.Float64() * retryJitter * float64(wait))
	return rwerror.New(rwerror.KindOverloaded, "come back after the time in Retry-After", "backend server %s has no slot in time", p.Server).WithRetryAfter(wait)
}

func (p *Pool) fitsLocked(a Ask) bool {
	if len(p.leases) >= p.adaptive.slots() {
		return false
	}
	if !a.Suspect {
		return true
	}
	for _, l := range p.leases {
		if l.Suspect && l.Fingerprint != a.Fingerprint {
			return false
		}
	}
	return true
}

func (p *Pool) pumpLocked() {
	if p.closedLocked() != nil {
		return
	}
	for {
		w := p.queue.pop(p.fitsLocked)
		if w == nil {
			return
		}
		a := w.ask
		p.leases[a.Lease] = &held{
			Lease:   Lease{ID: a.Lease, Organisation: a.Organisation, Tokens: a.Tokens, Fingerprint: a.Fingerprint, Suspect: a.Suspect},
			holder:  a.Holder,
			granted: time.Now(),
			renewed: time.Now(),
		}
		w.done = true
		w.reply <- nil
	}
}

func (p *Pool) refuseAllLocked(err error) {
	for _, w := range p.queue.items {
		w.done = true
		w.reply <- err
	}
	p.queue = fairQueue{}
}

// Renew keeps a holder's leases. A lease that the owner does not know is taken
// in as declared: it comes from the time of an earlier owner, or from a holder
// that took the work over.
func (p *Pool) Renew(holder string, leases ...Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range leases {
		h, ok := p.leases[l.ID]
		if !ok {
			h = &held{Lease: l}
			p.leases[l.ID] = h
		}
		h.holder = holder
		h.Suspect = l.Suspect
		h.renewed = time.Now()
	}
	p.pumpLocked()
}

// Release gives a slot back. token is the mean time between its tokens, or zero.
// A holder from whom another has taken the lease over gives nothing back.
func (p *Pool) Release(lease, holder string, token time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[lease]
	if !ok || holder != AnyHolder && l.holder != holder {
		return
	}
	if token > 0 && !l.granted.IsZero() {
		p.holding += time.Duration(drainWeight * float64(time.Since(l.granted)-p.holding))
	}
	delete(p.leases, lease)
	now := time.Now()
	p.adaptive.observe(token, p.Pace, now)
	p.measureLocked(now)
	p.pumpLocked()
}

// measureLocked learns the time between two releases, but only while all slots
// are in use: an idle server says nothing of how fast it drains.
func (p *Pool) measureLocked(now time.Time) {
	busy := len(p.leases)+1 >= p.adaptive.slots()
	if busy && !p.released.IsZero() {
		interval := now.Sub(p.released)
		p.drain += time.Duration(drainWeight * float64(interval-p.drain))
	}
	p.released = now
}

// Abandon notes that the holder no longer wants a lease whose stream may still
// run at the server. The slot is free once the stream has been cancelled.
func (p *Pool) Abandon(lease, holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.leases[lease]; ok && l.holder == holder {
		l.renewed = time.Time{}
	}
}

// Expired returns the leases whose holders have not renewed them in time. They
// keep their slots until Release: their streams may still run at the server.
func (p *Pool) Expired() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, l := range p.leases {
		if time.Since(l.renewed) > LeaseLife {
			ids = append(ids, id)
		}
	}
	p.pumpLocked()
	return ids
}

// Report takes in the server's own report.
func (p *Pool) Report(incarnation string, versions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	p.versions = versions
	p.incarnation = incarnation
	p.pumpLocked()
}

// Down notes that the server does not answer. When it is known to be dead its
// streams died with it and all leases are dropped; a frozen one may wake with
// them, so they stay until they have been cancelled.
func (p *Pool) Down(dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	if dead {
		clear(p.leases)
	}
	p.refuseAllLocked(p.closedLocked())
}

// Close refuses all asks: this instance owns the server no longer.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseAllLocked(rwerror.New(rwerror.KindUnavailable, "ask the new owner", "backend server %s has a new owner", p.Server).WithRetryAfter(WarmUp))
}

// Load returns what the owner knows of the server.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{
		Held:        len(p.leases),
		Limit:       p.adaptive.slots(),
		Waiting:     len(p.queue.items),
		Down:        p.down,
		Leaving:     p.leaving,
		Drain:       p.drain,
		Versions:    p.versions,
		Incarnation: p.incarnation,
		Closed:      p.closedLocked() != nil,
	}
}
