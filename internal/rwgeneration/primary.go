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

// Timeouts and limits of generations at their primary.
const (
	OrphanTimeout        = 30 * time.Second // a generation without a reader is cancelled after this
	EndedRetention       = 2 * time.Minute  // an ended generation is kept this long for repeated requests
	sweepInterval        = time.Second
	heartbeatInterval    = 300 * time.Millisecond // an empty chunk is sent after this long without tokens
	maxChunkTokens       = 256
	maxLagBytes          = 64 << 10 // of the furthest reader; beyond it the engine's stream is cancelled
	bytesPerToken        = 8        // converts maxLagBytes to tokens
	maxAttempts          = 6
	maxJournalBytes      = 96 << 20 // of all journals of this process
	pressureDivisor      = 8        // divides the lag limit while journals are near their limits
	maxOrganisationShare = 0.5      // of maxJournalBytes, for one organisation
)

// Slots acquires and releases slots of backend servers.
type Slots interface {
	Acquire(ctx context.Context, server string, r rwslot.Request) error
	Adopt(server string, r rwslot.Request)
	Clear(lease string)
	Drop(lease string)
	Release(server, lease string, outcome rwslot.Outcome, meanTokenTime time.Duration)
	Load(server string) (rwslot.Load, bool)
	Owned(server string) bool
}

// Engines runs streams on the engines of backend servers.
type Engines interface {
	Complete(ctx context.Context, address, stream string, r rwengine.Request) (*rwengine.Stream, error)
	Resume(ctx context.Context, address, stream string, offset int) (*rwengine.Stream, error)
	Cancel(ctx context.Context, address, stream string) error
	Load(ctx context.Context, address string) (rwengine.Load, error)
}

// Versions picks the version for a generation, and receives the results of attempts.
type Versions interface {
	Pick(route rwtree.NamedRoute, id rwcursor.GenerationID) string
	FallbackVersion(route rwtree.NamedRoute, failed string) string
	RecordAttempt(s Sample)
}

// Sample holds the measurements of one attempt with a version.
type Sample struct {
	Route            string
	Version          string
	Server           string
	Failed           bool          // the version failed; false if the server was lost
	TimeToFirstToken time.Duration // from the start of the attempt; zero if no token arrived
	MeanTokenTime    time.Duration // mean time between tokens; zero if there were too few
	Tokens           int
	Load             float64 // of the server when the attempt started, from 0 to 1
}

// Counters holds named counters.
type Counters struct {
	mu sync.Mutex
	m  map[string]int64
}

// Add adds n to the counter name.
func (c *Counters) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[string]int64{}
	}
	c.m[name] += n
}

// Values returns a copy of all counters.
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
	Tree       func() rwtree.Tree
	Slots      Slots
	Engines    Engines
	Versions   Versions
	Suspicions *rwpoison.Registry
	Budget     *rwretry.Budget
	Refusals   *rwretry.Refusals
	Self       string // this instance's name

	// NotifySuspicion sends a suspicion to the instances that could become primary of
	// copies of the request. After a crash, the next attempt waits until it returns.
	NotifySuspicion func(id rwcursor.GenerationID, s rwpoison.Suspicion)

	HasOtherInstances func() bool // reports whether there is another instance to move generations to
	Counters          *Counters
	Log               logr.Logger

	mu                         sync.Mutex
	ctx                        context.Context //nolint:containedctx // lifetime of the process, set by Run
	generations                map[rwcursor.GenerationID]*Generation
	trials                     trials
	underPressure              bool            // the journals together are near maxJournalBytes
	organisationsUnderPressure map[string]bool // organisations whose journals are near their share
}

// Run removes ended and orphaned generations until ctx ends.
func (p *Primary) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	if p.generations == nil {
		p.generations = map[rwcursor.GenerationID]*Generation{}
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
	for _, g := range p.Generations() {
		g.mu.Lock()
		ended := g.endedAt
		g.mu.Unlock()
		switch {
		case !ended.IsZero() && time.Since(ended) > EndedRetention:
			p.remove(g)
		case ended.IsZero() && g.orphaned(OrphanTimeout):
			p.Log.Info("generation cancelled: no reader", "generation", FormatID(g.Spec.ID), "organisation", g.Spec.Organisation)
			p.Counters.Add("orphans", 1)
			g.cancel()
			p.remove(g)
		}
	}
	p.trimEnded()
	p.updatePressure()
}

// trimEnded removes ended generations without a reader while the journals together
// exceed maxJournalBytes.
func (p *Primary) trimEnded() {
	total := p.JournalBytes()
	for _, g := range p.Generations() {
		if total <= maxJournalBytes {
			return
		}
		g.mu.Lock()
		ended := !g.endedAt.IsZero() && len(g.readers) == 0
		g.mu.Unlock()
		if ended {
			total -= g.Journal.MemoryBytes()
			p.remove(g)
		}
	}
}

// lagLimit returns how many tokens the furthest reader may be behind before the
// engine's stream is cancelled. It is lower while the journals of the process, or of
// the organisation, are near their limit.
func (p *Primary) lagLimit(organisation string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := maxLagBytes / bytesPerToken
	if p.underPressure || p.organisationsUnderPressure[organisation] {
		limit /= pressureDivisor
	}
	return limit
}

// updatePressure computes whether the journals are near their limits.
func (p *Primary) updatePressure() {
	total := 0
	byOrganisation := map[string]int{}
	for _, g := range p.Generations() {
		n := g.Journal.MemoryBytes()
		total += n
		byOrganisation[g.Spec.Organisation] += n
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.underPressure = total > maxJournalBytes/2
	p.organisationsUnderPressure = map[string]bool{}
	for organisation, n := range byOrganisation {
		p.organisationsUnderPressure[organisation] = float64(n) > maxOrganisationShare*maxJournalBytes/2
	}
}

// JournalBytes returns the size of all journals in bytes.
func (p *Primary) JournalBytes() int {
	total := 0
	for _, g := range p.Generations() {
		total += g.Journal.MemoryBytes()
	}
	return total
}

// Generations returns all generations at this instance.
func (p *Primary) Generations() []*Generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*Generation, 0, len(p.generations))
	for _, g := range p.generations {
		all = append(all, g)
	}
	return all
}

// CountRunning returns the number of generations that have not ended.
func (p *Primary) CountRunning() int {
	n := 0
	for _, g := range p.Generations() {
		if _, _, finish := g.Journal.State(); finish == nil {
			n++
		}
	}
	return n
}

// HasRequest reports whether this instance is the primary of a generation, or of an
// unproven copy of the same request.
func (p *Primary) HasRequest(id rwcursor.GenerationID) bool {
	_, ok := p.Find(id)
	return ok || p.trials.unproven(binary.LittleEndian.Uint64(id[:]))
}

// CountPinned returns the number of running generations of a route on a version.
func (p *Primary) CountPinned(route, version string) int {
	n := 0
	for _, g := range p.Generations() {
		_, _, finish := g.Journal.State()
		if finish == nil && g.Spec.Route == route && g.Lineage().Version == version {
			n++
		}
	}
	return n
}

// Find returns the generation with the given ID.
func (p *Primary) Find(id rwcursor.GenerationID) (*Generation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.generations[id]
	return g, ok
}

// remove removes g, unless another generation has its ID by now.
func (p *Primary) remove(g *Generation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.generations[g.Spec.ID] == g {
		delete(p.generations, g.Spec.ID)
	}
}

// MoveAll tells the gateways to move all running generations to other instances,
// because this instance is leaving.
func (p *Primary) MoveAll() {
	for _, g := range p.Generations() {
		if _, _, finish := g.Journal.State(); finish == nil {
			g.startMove()
		}
	}
}

// Start returns the generation with the ID of spec, and starts it if there is none.
func (p *Primary) Start(spec Spec) (*Generation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.generations[spec.ID]; ok {
		return g, checkSameBody(g, spec)
	}
	if refusal := p.checkAdmission(spec); refusal != nil {
		return nil, refusal
	}
	g := newGeneration(spec, newRun(), Lineage{})
	p.startLocked(g)
	return g, nil
}

func newRun() rwtoken.RunID { return rwtoken.RunID(rand.Uint64() | 1) }

func checkSameBody(g *Generation, spec Spec) error {
	if g.Spec.Fingerprint == spec.Fingerprint && g.Spec.Organisation == spec.Organisation {
		return nil
	}
	return rwerror.New(rwerror.KindMismatch, "use a new Idempotency-Key for a new request",
		"the Idempotency-Key was already used with a different body")
}

// checkAdmission returns an error if the request is quarantined or is retried before
// its Retry-After has passed. Otherwise a request that was not refused before adds
// to the route's retry budget.
func (p *Primary) checkAdmission(spec Spec) error {
	if e := p.Suspicions.QuarantineError(rwpoison.Fingerprint(spec.Fingerprint)); e != nil {
		p.Counters.Add("quarantined", 1)
		return e
	}
	wait, count := p.Refusals.RemainingWait(refusalKey(spec))
	if wait > 0 {
		p.Counters.Add("early", 1)
		return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After",
			"the request was retried too early").WithRetryAfter(wait)
	}
	if count == 0 {
		if route, ok := p.Tree().Route(spec.Route); ok {
			p.Budget.Deposit(spec.Route, route.RetryBudget())
		}
	}
	return nil
}

func refusalKey(spec Spec) rwretry.Request {
	return rwretry.Request{Organisation: spec.Organisation, Fingerprint: spec.Fingerprint}
}

// Adopt takes over a generation from a failed primary, using a gateway's copy. If the
// generation is at this instance already, Adopt returns it unchanged, and the caller
// must check the copy against its journal.
func (p *Primary) Adopt(spec Spec, run rwtoken.RunID, lineage Lineage, tokens []rwtoken.Token) (*Generation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.generations[spec.ID]; ok {
		return g, nil
	}
	if e := p.Suspicions.QuarantineError(rwpoison.Fingerprint(spec.Fingerprint)); e != nil {
		return nil, e
	}
	g := newGeneration(spec, run, lineage)
	if err := g.Journal.Append(0, tokens...); err != nil {
		return nil, err
	}
	p.Counters.Add("adopted", 1)
	p.startLocked(g)
	return g, nil
}

func (p *Primary) startLocked(g *Generation) {
	ctx, cancel := context.WithDeadline(p.ctx, g.Spec.Deadline)
	g.cancel = cancel
	p.generations[g.Spec.ID] = g
	p.trials.join(g)
	go func() {
		defer cancel()
		p.run(ctx, g)
	}()
}
