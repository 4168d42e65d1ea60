package rwgeneration

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwengine"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtoken"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
)

// The times and sizes of generations at their primary.
const (
	Grace            = 30 * time.Second // without a reader, then the work is cancelled
	Retain           = 2 * time.Minute  // an ended answer is kept for repeats
	sweepInterval    = time.Second
	heartbeat        = 300 * time.Millisecond
	chunkTokens      = 256
	lagBytes         = 64 << 10 // a reader further behind has the engine's stream cancelled
	bytesPerToken    = 8
	maxAttempts      = 6
	journalBudget    = 96 << 20 // bytes of all journals of this process
	pressedDivisor   = 8
	organisationPart = 0.5 // of the journal budget that one organisation may take
)

// Slots gives slots of backend servers.
type Slots interface {
	Acquire(ctx context.Context, server string, a rwslot.Ask) error
	Adopt(server string, a rwslot.Ask)
	Clear(lease string)
	Drop(lease string)
	Release(server, lease string, outcome rwslot.Outcome, token time.Duration)
	Load(server string) (rwslot.Load, bool)
	Owned(server string) bool
}

// Engines runs streams at backend servers.
type Engines interface {
	Complete(ctx context.Context, address, stream string, r rwengine.Request) (*rwengine.Stream, error)
	Resume(ctx context.Context, address, stream string, offset int) (*rwengine.Stream, error)
	Cancel(ctx context.Context, address, stream string) error
	Load(ctx context.Context, address string) (rwengine.Load, error)
}

// Versions says which version serves a generation, and learns how it did.
type Versions interface {
	Pick(route rwtree.NamedRoute, id rwcursor.ID) string
	Other(route rwtree.NamedRoute, failed string) string
	Observe(s Sample)
}

// Sample is what one attempt showed of a version.
type Sample struct {
	Route   string
	Version string
	Server  string
	Failed  bool          // the version's own failure, not a lost server
	First   time.Duration // to the first token
	Token   time.Duration // mean between tokens
	Tokens  int
	Load    float64 // of the server when the attempt began, from 0 to 1
}

// Counters counts what the measures of the brief ask for.
type Counters struct {
	mu sync.Mutex
	m  map[string]int64
}

// Add adds to a counter.
func (c *Counters) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[string]int64{}
	}
	c.m[name] += n
}

// Values returns all counters.
func (c *Counters) Values() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.m))
	for k, v := range c.m {
		out[k] = v
	}
	return out
}

// Primary runs the generations whose primary is this instance. Set the exported
// fields before Run.
type Primary struct {
	Tree     func() rwtree.Tree
	Slots    Slots
	Engines  Engines
	Versions Versions
	Book     *rwpoison.Registry
	Budget   *rwretry.Budget
	Refusals *rwretry.Refusals
	Self     string // this instance's name

	// Tell has the other instances that could become primary of copies of a
	// request know a suspicion before any of them runs again.
	Tell func(id rwcursor.ID, s rwpoison.Suspicion)

	Others   func() bool // reports whether another instance could take a generation
	Counters *Counters
	Log      logr.Logger

	mu          sync.Mutex
	ctx         context.Context //nolint:containedctx // the life of the process, set by Run
	generations map[rwcursor.ID]*Generation
	trials      trials
	pressed     bool            // all journals are near their budget
	pressedBy   map[string]bool // organisations whose journals are near theirs
}

// Run sweeps ended and orphaned generations until ctx ends.
func (p *Primary) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	if p.generations == nil {
		p.generations = map[rwcursor.ID]*Generation{}
	}
	p.mu.Unlock()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep()
		}
	}
}

func (p *Primary) sweep() {
	for _, g := range p.All() {
		g.mu.Lock()
		ended := g.ended
		g.mu.Unlock()
		switch {
		case !ended.IsZero() && time.Since(ended) > Retain:
			p.forget(g)
		case ended.IsZero() && g.orphaned(Grace):
			p.Log.Info("generation has no reader", "generation", Text(g.Spec.ID), "organisation", g.Spec.Organisation)
			p.Counters.Add("orphans", 1)
			g.cancel()
			p.forget(g)
		}
	}
	p.trim()
	p.measure()
}

// trim forgets ended answers, the oldest first, while all journals together are
// over their budget.
func (p *Primary) trim() {
	total := p.JournalBytes()
	for _, g := range p.All() {
		if total <= journalBudget {
			return
		}
		g.mu.Lock()
		ended := !g.ended.IsZero() && len(g.readers) == 0
		g.mu.Unlock()
		if ended {
			total -= g.Journal.Bytes()
			p.forget(g)
		}
	}
}

// lagLimit is how many tokens a reader may be behind before the engine's stream
// is cancelled. It shrinks when the journals of the process, or of one
// organisation, come near their budget.
func (p *Primary) lagLimit(organisation string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := lagBytes / bytesPerToken
	if p.pressed || p.pressedBy[organisation] {
		limit /= pressedDivisor
	}
	return limit
}

// measure finds out whether the journals come near their budget.
func (p *Primary) measure() {
	total := 0
	byOrganisation := map[string]int{}
	for _, g := range p.All() {
		n := g.Journal.Bytes()
		total += n
		byOrganisation[g.Spec.Organisation] += n
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pressed = total > journalBudget/2
	p.pressedBy = map[string]bool{}
	for organisation, n := range byOrganisation {
		p.pressedBy[organisation] = float64(n) > organisationPart*journalBudget/2
	}
}

// JournalBytes is the memory of all journals.
func (p *Primary) JournalBytes() int {
	total := 0
	for _, g := range p.All() {
		total += g.Journal.Bytes()
	}
	return total
}

// All returns all generations known here.
func (p *Primary) All() []*Generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*Generation, 0, len(p.generations))
	for _, g := range p.generations {
		all = append(all, g)
	}
	return all
}

// Running counts the generations that have not ended.
func (p *Primary) Running() int {
	n := 0
	for _, g := range p.All() {
		if _, _, finish := g.Journal.State(); finish == nil {
			n++
		}
	}
	return n
}

// Runs reports whether a generation is here, or a copy of the same request that
// has yet to be proven.
func (p *Primary) Runs(id rwcursor.ID) bool {
	_, ok := p.Find(id)
	return ok || p.trials.open(binary.LittleEndian.Uint64(id[:]))
}

// Pinned counts the running generations of a route that a version serves.
func (p *Primary) Pinned(route, version string) int {
	n := 0
	for _, g := range p.All() {
		_, _, finish := g.Journal.State()
		if finish == nil && g.Spec.Route == route && g.Lineage().Version == version {
			n++
		}
	}
	return n
}

// Find returns a generation by identity.
func (p *Primary) Find(id rwcursor.ID) (*Generation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.generations[id]
	return g, ok
}

func (p *Primary) forget(g *Generation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.generations[g.Spec.ID] == g {
		delete(p.generations, g.Spec.ID)
	}
}

// MoveAll has all running generations taken elsewhere by their gateways: this
// instance is leaving.
func (p *Primary) MoveAll() {
	for _, g := range p.All() {
		if _, _, finish := g.Journal.State(); finish == nil {
			g.move()
		}
	}
}

// Start joins the generation that runs under the identity, or begins it.
func (p *Primary) Start(spec Spec) (*Generation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.generations[spec.ID]; ok {
		return g, sameBody(g, spec)
	}
	if refusal := p.refusal(spec); refusal != nil {
		return nil, refusal
	}
	g := newGeneration(spec, newRun(), Lineage{})
	p.beginLocked(g)
	return g, nil
}

func newRun() rwtoken.Run { return rwtoken.Run(rand.Uint64() | 1) }

func sameBody(g *Generation, spec Spec) error {
	if g.Spec.Fingerprint == spec.Fingerprint && g.Spec.Organisation == spec.Organisation {
		return nil
	}
	return rwerror.New(rwerror.KindMismatch, "use a new Idempotency-Key for a new request",
		"the key was used before with another body")
}

// refusal is the answer to a request that is given up on at once.
func (p *Primary) refusal(spec Spec) error {
	if e := p.Book.QuarantineError(rwpoison.Fingerprint(spec.Fingerprint)); e != nil {
		p.Counters.Add("quarantined", 1)
		return e
	}
	wait, count := p.Refusals.RemainingWait(requestOf(spec))
	if wait > 0 {
		p.Counters.Add("early", 1)
		return rwerror.New(rwerror.KindOverloaded, "come back after the time in Retry-After",
			"the request came back too early").WithRetryAfter(wait)
	}
	if count == 0 {
		if route, ok := p.Tree().Route(spec.Route); ok {
			p.Budget.Deposit(spec.Route, route.RetryBudget())
		}
	}
	return nil
}

func requestOf(spec Spec) rwretry.Request {
	return rwretry.Request{Organisation: spec.Organisation, Fingerprint: spec.Fingerprint}
}

// Adopt takes over a generation whose primary is lost, from a gateway's copy.
// When the generation is here already, that one stays, and the caller of Adopt
// sees to it that the copy agrees with it.
func (p *Primary) Adopt(spec Spec, run rwtoken.Run, lineage Lineage, tokens []rwtoken.Token) (*Generation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.generations[spec.ID]; ok {
		return g, nil
	}
	if e := p.Book.QuarantineError(rwpoison.Fingerprint(spec.Fingerprint)); e != nil {
		return nil, e
	}
	g := newGeneration(spec, run, lineage)
	if err := g.Journal.Append(0, tokens...); err != nil {
		return nil, err
	}
	p.Counters.Add("adopted", 1)
	p.beginLocked(g)
	return g, nil
}

func (p *Primary) beginLocked(g *Generation) {
	ctx, cancel := context.WithDeadline(p.ctx, g.Spec.Deadline)
	g.cancel = cancel
	p.generations[g.Spec.ID] = g
	p.trials.enter(g)
	go func() {
		defer cancel()
		p.run(ctx, g)
	}()
}
