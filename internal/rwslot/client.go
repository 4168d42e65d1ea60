package rwslot

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwwire"

	"github.com/go-logr/logr"
)

const (
	callMargin   = 700 * time.Millisecond // added to the maximum time in the queue to get the timeout of a remote Acquire
	renewTimeout = 700 * time.Millisecond
	loadTTL      = 5 * time.Second // cached loads are not used when older
)

// Outcome is how the use of a slot ended.
type Outcome string

// The outcomes. After OutcomeLost or OutcomeStalled the owner frees the slot only once
// it has cancelled the stream or found the server process dead.
const (
	OutcomeDone    Outcome = "done"    // the stream or call has ended
	OutcomeLost    Outcome = "lost"    // the server was lost
	OutcomeStalled Outcome = "stalled" // the stream was left and may still run at the server
	OutcomeFailed  Outcome = "failed"  // the server rejected the request or failed it
)

// Client acquires leases from the owners, local or remote, and renews them.
// Set the exported fields before Run.
type Client struct {
	View  *rwmember.View
	Owner *Owner
	Peers func(address string) rwwire.DRPCInstanceClient // returns the client of the instance at an address
	Log   logr.Logger

	mu     sync.Mutex
	leases map[string]heldLease
	loads  map[string]cachedLoad
}

type heldLease struct {
	Lease

	server string
}

type cachedLoad struct {
	Load

	receivedAt time.Time
}

// Acquire requests a slot from the owner of a server. It blocks until the slot
// is granted or refused; a refusal is an *rwerror.Error.
func (c *Client) Acquire(ctx context.Context, server string, r Request) error {
	r.Holder = c.View.Self().Name
	owner := c.Owner.OwnerOf(server)
	var err error
	if owner == r.Holder {
		err = c.acquireLocal(ctx, server, r)
	} else {
		err = c.acquireRemote(ctx, owner, server, r)
	}
	if err == nil {
		c.addLease(server, r)
	}
	return err
}

func (c *Client) acquireLocal(ctx context.Context, server string, r Request) error {
	pool, ok := c.Owner.Pool(server)
	if !ok {
		return noOwnerError(server)
	}
	return pool.Acquire(ctx, r)
}

func noOwnerError(server string) error {
	return rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After", "backend server %s has no owner yet", server).WithRetryAfter(WarmUp)
}

func (c *Client) acquireRemote(ctx context.Context, owner, server string, r Request) error {
	m, ok := c.View.Member(owner)
	if !ok {
		return noOwnerError(server)
	}
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+callMargin)
	defer cancel()
	reply, err := c.Peers(m.Address).Acquire(ctx, &rwwire.AcquireRequest{
		Server: server, Lease: r.Lease, Holder: r.Holder, Organisation: r.Organisation,
		Weight: int32(r.Weight), Priority: int32(r.Priority), Tokens: int32(r.Tokens),
		Patience: r.MaxWait.Milliseconds(), Resume: r.Resumed, Fingerprint: r.Fingerprint, Suspect: r.Suspect,
		Left: r.UntilDeadline.Milliseconds(),
	})
	if IsConnectionRefused(err) {
		c.View.MarkDown(owner)
	} else if err != nil {
		// The slot may have been granted: release it in any case.
		go c.release(owner, server, r.Lease, OutcomeStalled, 0)
	}
	if err != nil {
		return rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After", "the owner of backend server %s did not answer: %v", server, err).WithRetryAfter(WarmUp)
	}
	c.cacheLoad(reply.Load)
	if !reply.Granted {
		return reply.Fault.ToError()
	}
	return nil
}

// addLease adds a lease to those that this instance renews.
func (c *Client) addLease(server string, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leases == nil {
		c.leases = map[string]heldLease{}
	}
	c.leases[r.Lease] = heldLease{server: server, Lease: Lease{ID: r.Lease, Organisation: r.Organisation, Tokens: r.Tokens, Fingerprint: r.Fingerprint, Suspect: r.Suspect}}
}

// Adopt takes over another holder's lease after its stream has moved here, and
// renews it at once so that the owner records this instance as the holder.
func (c *Client) Adopt(server string, r Request) {
	c.addLease(server, r)
	go c.renewAtOwner(context.Background(), c.Owner.OwnerOf(server))
}

// Clear marks the request of a lease as no longer suspected of crashing servers.
// The next renewal reports it to the owner.
func (c *Client) Clear(lease string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.leases[lease]; ok {
		l.Suspect = false
		c.leases[lease] = l
	}
}

// Drop stops renewing a lease that another instance has taken over. If none has,
// the owner cancels the stream once the lease has expired.
func (c *Client) Drop(lease string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leases, lease)
}

// Release returns a slot to the owner. meanTokenTime is the mean time between the
// request's tokens, or zero if unknown.
func (c *Client) Release(server, lease string, outcome Outcome, meanTokenTime time.Duration) {
	c.mu.Lock()
	delete(c.leases, lease)
	c.mu.Unlock()
	c.release(c.Owner.OwnerOf(server), server, lease, outcome, meanTokenTime)
}

// release reports to an owner that the use of a slot has ended. It does so once: if the
// call fails, the lease expires.
func (c *Client) release(owner, server, lease string, outcome Outcome, meanTokenTime time.Duration) {
	if owner == c.View.Self().Name {
		c.Owner.ReleaseLease(server, lease, owner, outcome, meanTokenTime)
		return
	}
	m, ok := c.View.Member(owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	reply, err := c.Peers(m.Address).Renew(ctx, &rwwire.RenewRequest{
		Holder:   c.View.Self().Name,
		Releases: []*rwwire.Release{{Id: lease, Server: server, Outcome: string(outcome), Token: meanTokenTime.Microseconds()}},
	})
	if err != nil {
		// The lease expires by itself: it is no longer renewed.
		c.Log.V(1).Info("failed to release the lease; it will expire", "server", server, "lease", lease, "cause", err.Error())
		return
	}
	c.UpdateLoads(reply.Loads)
}

// ReleaseLease frees the slot of a lease at a server that this instance owns. If the
// stream may still run there, the slot is freed only after it is cancelled.
func (o *Owner) ReleaseLease(server, lease, holder string, outcome Outcome, meanTokenTime time.Duration) {
	pool, ok := o.Pool(server)
	if !ok {
		return
	}
	if outcome == OutcomeLost || outcome == OutcomeStalled {
		pool.Abandon(lease, holder)
		o.PollNow(server)
		return
	}
	pool.Release(lease, holder, meanTokenTime)
}

// Run renews the leases until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.renewAll(ctx)
		}
	}
}

func (c *Client) renewAll(ctx context.Context) {
	for owner := range c.leasesByOwner() {
		go c.renewAtOwner(ctx, owner)
	}
}

// leasesByOwner groups the held leases by the owner of their server.
func (c *Client) leasesByOwner() map[string][]heldLease {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := map[string][]heldLease{}
	for _, l := range c.leases {
		owner := c.Owner.OwnerOf(l.server)
		groups[owner] = append(groups[owner], l)
	}
	return groups
}

// renewAtOwner renews all leases at servers of one owner, with one call if that is
// another instance. Errors are ignored, as Run renews again after RenewInterval.
func (c *Client) renewAtOwner(ctx context.Context, owner string) {
	leases := c.leasesByOwner()[owner]
	self := c.View.Self().Name
	if owner == self {
		for _, l := range leases {
			if pool, ok := c.Owner.Pool(l.server); ok {
				pool.Renew(self, l.Lease)
			}
		}
		return
	}
	m, ok := c.View.Member(owner)
	if !ok {
		return
	}
	request := &rwwire.RenewRequest{Holder: self}
	for _, l := range leases {
		request.Leases = append(request.Leases, &rwwire.Lease{
			Id: l.ID, Server: l.server, Organisation: l.Organisation, Tokens: int32(l.Tokens), Fingerprint: l.Fingerprint, Suspect: l.Suspect,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := c.Peers(m.Address).Renew(ctx, request)
	if err == nil {
		c.UpdateLoads(reply.Loads)
	}
}

// UpdateLoads caches the loads that owners report for their servers.
func (c *Client) UpdateLoads(loads []*rwwire.ServerLoad) {
	for _, l := range loads {
		c.cacheLoad(l)
	}
}

func (c *Client) cacheLoad(l *rwwire.ServerLoad) {
	if l == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		c.loads = map[string]cachedLoad{}
	}
	c.loads[l.Server] = cachedLoad{receivedAt: time.Now(), Load: FromWire(l)}
}

// Load returns the load of a server: from the pool if this instance owns it, else
// from the cache. It returns false if the cached load is missing or stale.
func (c *Client) Load(server string) (Load, bool) {
	if pool, ok := c.Owner.Pool(server); ok {
		return pool.Load(), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.loads[server]
	return l.Load, ok && time.Since(l.receivedAt) < loadTTL
}

// Owned reports whether a server has a live owner.
func (c *Client) Owned(server string) bool {
	owner := c.Owner.OwnerOf(server)
	return owner != "" && c.View.Alive(owner)
}

// LeaseCount returns the number of leases that this instance holds.
func (c *Client) LeaseCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.leases)
}

// ToWire encodes a load as a message.
func ToWire(server string, l Load) *rwwire.ServerLoad {
	return &rwwire.ServerLoad{
		Server: server, Held: int32(l.Held), Limit: int32(l.Limit), Waiting: int32(l.Waiting),
		Down: l.Down, Leaving: l.Leaving, Drain: l.Drain.Milliseconds(), Versions: l.Versions, Incarnation: l.Incarnation,
	}
}

// FromWire decodes a load from a message.
func FromWire(l *rwwire.ServerLoad) Load {
	return Load{
		Held: int(l.Held), Limit: int(l.Limit), Waiting: int(l.Waiting), Down: l.Down,
		Leaving: l.Leaving, Drain: time.Duration(l.Drain) * time.Millisecond, Versions: l.Versions, Incarnation: l.Incarnation,
	}
}
