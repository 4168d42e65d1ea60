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
	reconcileInterval = 200 * time.Millisecond
	pollInterval      = 300 * time.Millisecond
	pollTimeout       = 700 * time.Millisecond
	missesUntilDown   = 2
)

// Engines is what the owner needs of a backend server.
type Engines interface {
	Load(ctx context.Context, address string) (rwengine.Load, error)
	Cancel(ctx context.Context, address, stream string) error
}

// Owner runs the pools of the servers that belong to this instance. Set the
// exported fields before Run.
type Owner struct {
	View    *rwmember.View
	Tree    func() rwtree.Tree
	Engines Engines
	Log     logr.Logger

	mu     sync.Mutex
	owners map[string]string // owner of each server
	basis  basis
	pools  map[string]*ownedPool
}

// basis is what the placement was computed from.
type basis struct {
	live []string
	tree uint64
}

type ownedPool struct {
	*Pool

	server      rwtree.NamedServer // as it was when the pool was made; its address does not change
	stop        context.CancelFunc
	poke        chan struct{}
	incarnation string
	misses      int
	seen        time.Time
}

// Run keeps the pools in step with the members and the settings until ctx ends.
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

// Reconcile computes the placement anew if the members or settings changed.
func (o *Owner) Reconcile(ctx context.Context) {
	live := o.View.Live()
	tree := o.Tree()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := basis{live: live, tree: tree.Digest()}
	if o.owners != nil && now.tree == o.basis.tree && slices.Equal(now.live, o.basis.live) {
		return
	}
	o.basis = now
	o.placeLocked(ctx, tree, live)
}

func (o *Owner) placeLocked(ctx context.Context, tree rwtree.Tree, live []string) {
	owners := map[string]string{}
	mine := map[string]rwtree.NamedServer{}
	self := o.View.Self().Name
	for _, s := range tree.Servers() {
		owners[s.Name] = rwmember.First(rwmember.Key(s.Name), live)
		if owners[s.Name] == self {
			mine[s.Name] = s
		}
	}
	o.owners = owners
	if o.pools == nil {
		o.pools = map[string]*ownedPool{}
	}
	for name, p := range o.pools {
		if s, ok := mine[name]; !ok || s.Address != p.server.Address {
			p.stop()
			p.Close()
			delete(o.pools, name)
		}
	}
	for name, s := range mine {
		o.ownLocked(ctx, name, s, paceOf(tree, s))
	}
}

func paceOf(tree rwtree.Tree, s rwtree.NamedServer) time.Duration {
	for _, r := range tree.Routes() {
		if r.Team == s.Team && r.Model != "" && slices.Contains(r.ServerNames(), s.Name) {
			return r.Pace.Or(rwtree.DefaultPace)
		}
	}
	return 0
}

func (o *Owner) ownLocked(ctx context.Context, name string, s rwtree.NamedServer, pace time.Duration) {
	if p, ok := o.pools[name]; ok {
		p.Resize(s.Capacity, s.Leaving)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &ownedPool{
		Pool:   NewPool(name, s.Capacity, pace, o.View.Majority),
		server: s,
		stop:   cancel,
		poke:   make(chan struct{}, 1),
	}
	p.Resize(s.Capacity, s.Leaving)
	o.pools[name] = p
	o.Log.V(1).Info("owns backend server", "server", name)
	go o.watch(ctx, p)
}

// watch polls a server and sweeps its expired leases until ctx ends.
func (o *Owner) watch(ctx context.Context, p *ownedPool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.poke:
		case <-timer.C:
		}
		o.poll(ctx, p)
		o.sweep(ctx, p)
		timer.Reset(pollInterval)
	}
}

func (o *Owner) poll(ctx context.Context, p *ownedPool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := o.Engines.Load(ctx, p.server.Address)
	if err == nil {
		o.polled(p, load)
		return
	}
	p.misses++
	dead := Refused(err)
	if dead || p.misses >= missesUntilDown {
		if !p.Load().Down {
			o.Log.Info("backend server is down", "server", p.Server, "dead", dead, "cause", err.Error())
		}
		p.Down(dead)
	}
}

func (o *Owner) polled(p *ownedPool, load rwengine.Load) {
	if p.incarnation != "" && load.Incarnation != p.incarnation {
		o.Log.Info("backend server restarted", "server", p.Server)
		p.Down(true)
	}
	if p.Load().Down && p.incarnation != "" {
		o.Log.Info("backend server is back", "server", p.Server)
	}
	p.incarnation = load.Incarnation
	p.misses = 0
	p.seen = time.Now()
	p.Report(Short(load.Incarnation), load.Versions)
}

// shortBytes is how much of an incarnation tells two apart.
const shortBytes = 8

// Short is the part of a server's incarnation that digests carry.
func Short(incarnation string) string {
	return incarnation[:min(shortBytes, len(incarnation))]
}

// Refused reports whether an error shows that no process listens at the
// address: it is dead, not frozen or cut off.
func Refused(err error) bool {
	return stderrors.Is(err, syscall.ECONNREFUSED)
}

// sweep cancels the streams of expired leases at the server and frees their
// slots. A server that answers at all has no such stream any more, or never had
// streams.
func (o *Owner) sweep(ctx context.Context, p *ownedPool) {
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

// Pool returns the pool of a server that this instance owns.
func (o *Owner) Pool(server string) (*Pool, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.pools[server]
	if !ok {
		return nil, false
	}
	return p.Pool, true
}

// Poke has a server polled at once, for instance when a stream broke.
func (o *Owner) Poke(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pools[server]; ok {
		select {
		case p.poke <- struct{}{}:
		default:
		}
	}
}

// Loads returns what this instance knows of the servers that it owns.
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

// Sees reports whether this instance reached any of the servers that it owns
// lately, and whether it owns any.
func (o *Owner) Sees() (sees, owns bool) {
	for _, l := range o.Loads() {
		owns = true
		sees = sees || !l.Down
	}
	return sees, owns
}
