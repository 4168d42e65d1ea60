package rwslot

import (
	"context"
	stderrors "errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwengine"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
)

const (
	reconcileInterval    = 200 * time.Millisecond
	pollInterval         = 300 * time.Millisecond
	pollTimeout          = 700 * time.Millisecond
	failedPollsUntilDown = 2
)

// Engines reads the load of backend servers and cancels streams there.
type Engines interface {
	Load(ctx context.Context, address string) (rwengine.Load, error)
	Cancel(ctx context.Context, address, stream string) error
}

// Owner assigns each server to an instance and runs the pools of the servers that
// this instance owns. Set the exported fields before Run.
type Owner struct {
	View    *rwmember.View
	Tree    func() rwtree.Tree
	Engines Engines
	Log     logr.Logger

	mu     sync.Mutex
	owners map[string]string // by server
	inputs placementInputs
	pools  map[string]*ownedPool
}

// placementInputs are the live instances and the digest of the settings from
// which the owners were last computed.
type placementInputs struct {
	live       []string
	treeDigest uint64
}

type ownedPool struct {
	*Pool

	server      rwtree.NamedServer // settings at the pool's creation; a changed address creates a new pool
	stop        context.CancelFunc
	pollNow     chan struct{} // makes pollLoop poll at once
	incarnation string        // as last reported by the server; empty before the first report
	failedPolls int           // in a row
	lastSeen    time.Time
}

// Run updates the pools as members and settings change, until ctx is done.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		o.Reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reconcile recomputes the owners if the live members or the settings changed.
func (o *Owner) Reconcile(ctx context.Context) {
	live := o.View.Live()
	tree := o.Tree()
	o.mu.Lock()
	defer o.mu.Unlock()
	inputs := placementInputs{live: live, treeDigest: tree.Digest()}
	if o.owners != nil && inputs.treeDigest == o.inputs.treeDigest && slices.Equal(inputs.live, o.inputs.live) {
		return
	}
	o.inputs = inputs
	o.assignOwnersLocked(ctx, tree, live)
}

// assignOwnersLocked computes the owner of each server. It closes the pools of servers
// that this instance no longer owns or whose address changed, and creates or updates
// those of the servers that it owns.
func (o *Owner) assignOwnersLocked(ctx context.Context, tree rwtree.Tree, live []string) {
	owners := map[string]string{}
	owned := map[string]rwtree.NamedServer{}
	self := o.View.Self().Name
	for _, s := range tree.Servers() {
		owners[s.Name] = rwmember.First(rwmember.Key(s.Name), live)
		if owners[s.Name] == self {
			owned[s.Name] = s
		}
	}
	o.owners = owners
	if o.pools == nil {
		o.pools = map[string]*ownedPool{}
	}
	for name, p := range o.pools {
		if s, ok := owned[name]; !ok || s.Address != p.server.Address {
			p.stop()
			p.Close()
			delete(o.pools, name)
		}
	}
	for name, s := range owned {
		o.ensurePoolLocked(ctx, name, s, targetTokenTimeOf(tree, s))
	}
}

// targetTokenTimeOf returns the target time between tokens of the first model route of
// the server's team that uses the server, or zero if there is none.
func targetTokenTimeOf(tree rwtree.Tree, s rwtree.NamedServer) time.Duration {
	for _, r := range tree.Routes() {
		if r.Team == s.Team && r.Model != "" && slices.Contains(r.ServerNames(), s.Name) {
			return r.TokenInterval.Or(rwtree.DefaultTokenInterval)
		}
	}
	return 0
}

// ensurePoolLocked creates a server's pool and starts polling the server, or updates
// the capacity of an existing pool. An existing pool keeps its targetTokenTime.
func (o *Owner) ensurePoolLocked(ctx context.Context, name string, s rwtree.NamedServer, targetTokenTime time.Duration) {
	if p, ok := o.pools[name]; ok {
		p.Resize(s.Capacity, s.Leaving)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &ownedPool{
		Pool:    NewPool(name, s.Capacity, targetTokenTime, o.View.HasMajority),
		server:  s,
		stop:    cancel,
		pollNow: make(chan struct{}, 1),
	}
	p.Resize(s.Capacity, s.Leaving)
	o.pools[name] = p
	o.Log.V(1).Info("became owner of backend server", "server", name)
	go o.pollLoop(ctx, p)
}

// pollLoop polls a server and cancels its expired leases until ctx is done.
func (o *Owner) pollLoop(ctx context.Context, p *ownedPool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.pollNow:
		case <-timer.C:
		}
		o.poll(ctx, p)
		o.cancelExpired(ctx, p)
		timer.Reset(pollInterval)
	}
}

// poll asks a server for its load once. A refused connection marks the server down at
// once, another error only after failedPollsUntilDown failures in a row.
func (o *Owner) poll(ctx context.Context, p *ownedPool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := o.Engines.Load(ctx, p.server.Address)
	if err == nil {
		o.handleReport(p, load)
		return
	}
	p.failedPolls++
	dead := IsConnectionRefused(err)
	if dead || p.failedPolls >= failedPollsUntilDown {
		if !p.Load().Down {
			o.Log.Info("backend server is down", "server", p.Server, "dead", dead, "cause", err.Error())
		}
		p.MarkDown(dead)
	}
}

// handleReport marks a server up after a successful poll. If the server has restarted,
// its leases are dropped first, as their streams ended with the old process.
func (o *Owner) handleReport(p *ownedPool, load rwengine.Load) {
	if p.incarnation != "" && load.Incarnation != p.incarnation {
		o.Log.Info("backend server restarted", "server", p.Server)
		p.MarkDown(true)
	}
	if p.Load().Down && p.incarnation != "" {
		o.Log.Info("backend server is up again", "server", p.Server)
	}
	p.incarnation = load.Incarnation
	p.failedPolls = 0
	p.lastSeen = time.Now()
	p.MarkUp(ShortIncarnation(load.Incarnation), load.Versions)
}

// shortIncarnationBytes is the length of a prefix that tells two incarnations apart.
const shortIncarnationBytes = 8

// ShortIncarnation returns the prefix of a server's incarnation that is
// stored in Load.Incarnation.
func ShortIncarnation(incarnation string) string {
	return incarnation[:min(shortIncarnationBytes, len(incarnation))]
}

// IsConnectionRefused reports whether err is a refused connection: no process listens at the
// address, so the process is dead and not just frozen or partitioned.
func IsConnectionRefused(err error) bool {
	return stderrors.Is(err, syscall.ECONNREFUSED)
}

// cancelExpired cancels the streams of expired leases at the server and frees their
// slots. A slot is also freed after an error other than KindUnavailable: a server that
// answers with such an error no longer has the stream, or doesn't support streams.
func (o *Owner) cancelExpired(ctx context.Context, p *ownedPool) {
	if p.Load().Down {
		return
	}
	for _, lease := range p.Expired() {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		err := o.Engines.Cancel(callCtx, p.server.Address, lease)
		cancel()
		if err == nil || !rwerror.Is(err, rwerror.KindUnavailable) {
			p.Release(lease, AnyHolder, 0)
		}
	}
}

// OwnerOf returns the name of the instance that owns a server.
func (o *Owner) OwnerOf(server string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owners[server]
}

// Pool returns the pool of a server. It returns false if this instance does not
// own the server.
func (o *Owner) Pool(server string) (*Pool, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.pools[server]
	if !ok {
		return nil, false
	}
	return p.Pool, true
}

// PollNow polls a server at once, for example after a broken stream, without waiting
// for the next interval.
func (o *Owner) PollNow(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pools[server]; ok {
		select {
		case p.pollNow <- struct{}{}:
		default:
		}
	}
}

// Loads returns the loads of the servers that this instance owns, by name.
func (o *Owner) Loads() map[string]Load {
	o.mu.Lock()
	pools := maps.Clone(o.pools)
	o.mu.Unlock()
	loads := make(map[string]Load, len(pools))
	for name, p := range pools {
		loads[name] = p.Load()
	}
	return loads
}

// AnyServerUp reports whether any server that this instance owns is up, and whether it
// owns any.
func (o *Owner) AnyServerUp() (anyUp, ownsAny bool) {
	for _, l := range o.Loads() {
		ownsAny = true
		anyUp = anyUp || !l.Down
	}
	return anyUp, ownsAny
}
