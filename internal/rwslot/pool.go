package rwslot

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
)

// Lease timing. A holder renews its leases each RenewInterval; the owner cancels
// the stream of a lease that was not renewed for LeaseDuration. A new owner
// grants no leases for WarmUp.
const (
	RenewInterval = 500 * time.Millisecond
	LeaseDuration = 6 * time.Second
	WarmUp        = 1500 * time.Millisecond

	queueFactor           = 2 // maximum queue length as a multiple of the concurrency limit
	minQueueLimit         = 8
	smoothingFactor       = 0.2             // weight of a new sample in the moving averages
	initialSlotHoldTime   = 2 * time.Second // assumed until releases are measured
	minRetryAfter         = 250 * time.Millisecond
	maxRetryAfter         = 30 * time.Second
	retryJitter           = 0.3
	unavailableRetryAfter = time.Second
)

// AnyHolder as the holder makes Release free a lease whoever holds it.
const AnyHolder = ""

// Load is the state of a server as its owner knows it.
type Load struct {
	Held     int // slots in use
	Limit    int // slots that may be in use at a time
	Waiting  int // queued requests
	Down     bool
	Leaving  bool
	Drain    time.Duration // moving average of the time between releases while all slots are in use
	Versions []string

	Incarnation string // of the server's process
	Closed      bool   // the owner grants no leases at present
}

// Lease is a slot granted to a holder.
type Lease struct {
	ID           string
	Organisation string
	Tokens       int
	Fingerprint  uint64
	Suspect      bool
}

type leaseRecord struct {
	Lease

	holder    string
	grantedAt time.Time // zero if the lease was declared by its holder
	renewedAt time.Time // zero if the lease was abandoned
}

// Pool holds the leases of one server and the queue for its slots, at the server's
// owner. Set the exported fields before first use.
type Pool struct {
	Server          string
	TargetTokenTime time.Duration // target time between tokens
	MayGrant        func() bool   // reports whether this owner may grant leases

	mu              sync.Mutex
	limit           adaptiveLimit
	leases          map[string]*leaseRecord
	queue           fairQueue
	warmUntil       time.Time // no leases are granted before
	down            bool
	leaving         bool
	versions        []string
	incarnation     string
	releaseInterval time.Duration // moving average of the time between releases while all slots are in use
	meanHoldTime    time.Duration // moving average
	lastRelease     time.Time
}

// NewPool returns the pool of a server that this instance starts to own. The
// warm-up starts now.
func NewPool(server string, capacity int, targetTokenTime time.Duration, mayGrant func() bool) *Pool {
	return &Pool{
		Server:          server,
		TargetTokenTime: targetTokenTime,
		MayGrant:        mayGrant,
		limit:           newAdaptiveLimit(capacity),
		leases:          map[string]*leaseRecord{},
		warmUntil:       time.Now().Add(WarmUp),
		releaseInterval: initialSlotHoldTime / time.Duration(capacity),
	}
}

// Resize sets the capacity of the server and whether it is leaving. If it is leaving,
// all queued requests are refused.
func (p *Pool) Resize(capacity int, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.resize(capacity)
	p.leaving = leaving
	if leaving {
		p.refuseAllLocked(p.leavingErrorLocked())
	}
	p.dispatchLocked()
}

// Acquire waits for a slot, up to the maximum wait of r. It returns nil when the
// lease is granted, and an *rwerror.Error when it is refused.
func (p *Pool) Acquire(ctx context.Context, r Request) error {
	w, err := p.enqueue(r)
	if err != nil {
		return err
	}
	timer := time.NewTimer(r.MaxWait)
	defer timer.Stop()
	select {
	case err := <-w.reply:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.answered {
		return <-w.reply
	}
	p.queue.remove(w)
	return p.overloadedErrorLocked(r)
}

// enqueue adds a request to the queue, or returns why it is refused. If a slot is free,
// it may be granted before enqueue returns.
func (p *Pool) enqueue(r Request) (*queuedRequest, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkOpenLocked(); err != nil {
		return nil, err
	}
	if !p.canEnqueueLocked(r) {
		return nil, p.overloadedErrorLocked(r)
	}
	w := p.queue.push(r)
	p.dispatchLocked()
	return w, nil
}

// checkOpenLocked returns why no leases can be granted at present, or nil if they can.
func (p *Pool) checkOpenLocked() error {
	switch {
	case p.down:
		return rwerror.New(rwerror.KindUnavailable, "use another backend server", "backend server %s is down", p.Server).WithRetryAfter(unavailableRetryAfter)
	case p.leaving:
		return p.leavingErrorLocked()
	case time.Now().Before(p.warmUntil):
		return rwerror.New(rwerror.KindUnavailable, "use another backend server", "backend server %s has a new owner", p.Server).WithRetryAfter(time.Until(p.warmUntil))
	case !p.MayGrant():
		return rwerror.New(rwerror.KindUnavailable, "use another backend server", "the owner of backend server %s has lost the majority of instances", p.Server).WithRetryAfter(unavailableRetryAfter)
	}
	return nil
}

func (p *Pool) leavingErrorLocked() *rwerror.Error {
	return rwerror.New(rwerror.KindUnavailable, "use another backend server", "backend server %s is leaving", p.Server).WithRetryAfter(unavailableRetryAfter)
}

// canEnqueueLocked reports whether the queue has room for the request and the
// expected wait is within the request's maximum wait and deadline. To make room, it
// may evict the last request.
func (p *Pool) canEnqueueLocked(r Request) bool {
	if p.canGrantLocked(r) && len(p.queue.items) == 0 {
		return !p.missesDeadlineLocked(r, 0)
	}
	maxQueued := max(minQueueLimit, queueFactor*p.limit.slots())
	if len(p.queue.items) >= maxQueued && !r.Resumed && !p.evictLastLocked(r) {
		return false
	}
	wait := p.expectedWaitLocked(r)
	return wait <= r.MaxWait && !p.missesDeadlineLocked(r, wait)
}

// evictLastLocked evicts the last request of a full queue if request r would be
// served before it, so that an organisation that floods the queue can't block others. It
// reports whether it did.
func (p *Pool) evictLastLocked(r Request) bool {
	last := p.queue.last()
	if last == nil || last.request.Resumed || p.queue.countAhead(r) >= len(p.queue.items) {
		return false
	}
	p.queue.remove(last)
	last.answered = true
	last.reply <- p.overloadedErrorLocked(last.request)
	return true
}

// missesDeadlineLocked reports whether the request is expected to end after the
// caller's deadline. Resumed requests are never refused for this.
func (p *Pool) missesDeadlineLocked(r Request, wait time.Duration) bool {
	return r.UntilDeadline > 0 && !r.Resumed && wait+p.meanHoldTime > r.UntilDeadline
}

// expectedWaitLocked estimates how long a request would wait for a slot, from the number
// of requests ahead of it and the mean time between releases.
func (p *Pool) expectedWaitLocked(r Request) time.Duration {
	free := p.limit.slots() - len(p.leases)
	turns := p.queue.countAhead(r) + 1 - max(0, free)
	return time.Duration(max(0, turns)) * p.releaseInterval
}

// overloadedErrorLocked returns a refusal whose RetryAfter is the request's expected
// wait plus the time in which the queue is expected to empty, between minRetryAfter and
// maxRetryAfter. Jitter is added so that refused callers don't retry at the same time.
func (p *Pool) overloadedErrorLocked(r Request) *rwerror.Error {
	wait := p.expectedWaitLocked(r) + time.Duration(len(p.queue.items))*p.releaseInterval
	wait = max(minRetryAfter, min(maxRetryAfter, wait))
	wait += time.Duration(rand.Float64() * retryJitter * float64(wait))
	return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After", "no slot of backend server %s becomes free in time", p.Server).WithRetryAfter(wait)
}

// canGrantLocked reports whether a slot is free for the request. Slots are granted
// to copies of only one suspect request at a time, so that a crash can be attributed to
// it.
func (p *Pool) canGrantLocked(r Request) bool {
	if len(p.leases) >= p.limit.slots() {
		return false
	}
	if !r.Suspect {
		return true
	}
	for _, l := range p.leases {
		if l.Suspect && l.Fingerprint != r.Fingerprint {
			return false
		}
	}
	return true
}

// dispatchLocked grants free slots to queued requests in queue order, but passes over
// suspects that canGrantLocked rejects.
func (p *Pool) dispatchLocked() {
	if p.checkOpenLocked() != nil {
		return
	}
	for {
		w := p.queue.pop(p.canGrantLocked)
		if w == nil {
			return
		}
		r := w.request
		p.leases[r.Lease] = &leaseRecord{
			Lease:     Lease{ID: r.Lease, Organisation: r.Organisation, Tokens: r.Tokens, Fingerprint: r.Fingerprint, Suspect: r.Suspect},
			holder:    r.Holder,
			grantedAt: time.Now(),
			renewedAt: time.Now(),
		}
		w.answered = true
		w.reply <- nil
	}
}

func (p *Pool) refuseAllLocked(err error) {
	for _, w := range p.queue.items {
		w.answered = true
		w.reply <- err
	}
	p.queue = fairQueue{}
}

// Renew extends a holder's leases. An unknown lease is added as declared: an
// earlier owner granted it, or the holder took it over.
func (p *Pool) Renew(holder string, leases ...Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range leases {
		record, ok := p.leases[l.ID]
		if !ok {
			record = &leaseRecord{Lease: l}
			p.leases[l.ID] = record
		}
		record.holder = holder
		record.Suspect = l.Suspect
		record.renewedAt = time.Now()
	}
	p.dispatchLocked()
}

// Release frees the slot of a lease. meanTokenTime is the mean time between the
// request's tokens, or zero if unknown. It does nothing if another holder has taken
// over the lease.
func (p *Pool) Release(lease, holder string, meanTokenTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[lease]
	if !ok || holder != AnyHolder && l.holder != holder {
		return
	}
	if meanTokenTime > 0 && !l.grantedAt.IsZero() {
		p.meanHoldTime += time.Duration(smoothingFactor * float64(time.Since(l.grantedAt)-p.meanHoldTime))
	}
	delete(p.leases, lease)
	now := time.Now()
	p.limit.observe(meanTokenTime, p.TargetTokenTime, now)
	p.updateReleaseIntervalLocked(now)
	p.dispatchLocked()
}

// updateReleaseIntervalLocked updates the mean time between two releases, but only
// while all slots are in use: at an idle server the interval depends on arrivals.
func (p *Pool) updateReleaseIntervalLocked(now time.Time) {
	busy := len(p.leases)+1 >= p.limit.slots()
	if busy && !p.lastRelease.IsZero() {
		interval := now.Sub(p.lastRelease)
		p.releaseInterval += time.Duration(smoothingFactor * float64(interval-p.releaseInterval))
	}
	p.lastRelease = now
}

// Abandon expires a lease whose stream may still run at the server. The slot is
// freed once the stream has been cancelled.
func (p *Pool) Abandon(lease, holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.leases[lease]; ok && l.holder == holder {
		l.renewedAt = time.Time{}
	}
}

// Expired returns the IDs of leases that were not renewed in time. They keep their
// slots until Release, as their streams may still run at the server.
func (p *Pool) Expired() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, l := range p.leases {
		if time.Since(l.renewedAt) > LeaseDuration {
			ids = append(ids, id)
		}
	}
	p.dispatchLocked()
	return ids
}

// MarkUp records a load report of the server, which shows that it is up.
func (p *Pool) MarkUp(incarnation string, versions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	p.versions = versions
	p.incarnation = incarnation
	p.dispatchLocked()
}

// MarkDown records that the server does not answer and refuses all queued requests.
// If the server process is dead its streams ended with it, so all leases are
// dropped. A frozen process may continue its streams later, so its leases stay
// until the streams have been cancelled.
func (p *Pool) MarkDown(dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	if dead {
		clear(p.leases)
	}
	p.refuseAllLocked(p.checkOpenLocked())
}

// Close refuses all queued requests: this instance no longer owns the server.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseAllLocked(rwerror.New(rwerror.KindUnavailable, "retry at the new owner", "backend server %s has a new owner", p.Server).WithRetryAfter(WarmUp))
}

// Load returns the current state of the server.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{
		Held:        len(p.leases),
		Limit:       p.limit.slots(),
		Waiting:     len(p.queue.items),
		Down:        p.down,
		Leaving:     p.leaving,
		Drain:       p.releaseInterval,
		Versions:    p.versions,
		Incarnation: p.incarnation,
		Closed:      p.checkOpenLocked() != nil,
	}
}
