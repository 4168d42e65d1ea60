package rwgeneration

import (
	"context"
	"slices"
	"time"

	"ragwortwall/internal/rwchoice"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwtree"
	"ragwortwall/pkg/rwset"
)

const (
	quickTries  = 2                      // servers that are asked for a free slot before waiting at one
	urgentTries = 8                      // the same, when a caller has part of the answer or the request is suspect
	urgentWait  = 400 * time.Millisecond // at one server, before asking the others again
	placePause  = 100 * time.Millisecond
)

// search is the looking for a server for one attempt.
type search struct {
	primary    *Primary
	generation *Generation
	tree       rwtree.Tree
	route      rwtree.NamedRoute
	avoid      rwset.Set[string] // servers that failed the generation
	resume     bool              // the work has begun: a caller waits for it to go on
}

// place finds a server with a slot for the next attempt.
func (p *Primary) place(ctx context.Context, g *Generation, avoid rwset.Set[string]) (*attempt, error) {
	tree := p.Tree()
	route, ok := tree.Route(g.Spec.Route)
	if !ok {
		return nil, rwerror.New(rwerror.KindNotFound, "ask the operators for the route's new name", "the route %s is gone", g.Spec.Route)
	}
	if a, ok := p.adopted(g, tree); ok {
		return a, nil
	}
	// Once a server had a slot for it the caller has the answer's head, and maybe
	// a part of it: a refusal would come too late.
	begun := g.Lineage().Attempt > 0
	s := &search{primary: p, generation: g, tree: tree, route: route, avoid: avoid, resume: begun}
	return s.run(ctx)
}

// run looks until there is a slot. It gives up at the first refusal, unless a
// caller has part of the answer: then it looks for as long as that one waits.
func (s *search) run(ctx context.Context) (*attempt, error) {
	until := time.Now().Add(patience(s.generation, s.route, s.resume))
	for {
		a, err := s.once(ctx, time.Until(until))
		if err == nil || ctx.Err() != nil {
			return a, err
		}
		if !s.resume || time.Now().After(until) || rwerror.Is(err, rwerror.KindQuarantined) {
			return nil, err
		}
		s.avoid.Clear()
		rwtime.Sleep(ctx, placePause)
		s.tree = s.primary.Tree()
	}
}

// adopted returns the attempt that goes on with the engine's live stream, when
// the generation was just taken over from a lost primary.
func (p *Primary) adopted(g *Generation, tree rwtree.Tree) (*attempt, bool) {
	lineage := g.Lineage()
	count, _, _ := g.Journal.State()
	if lineage.Stream == "" || !g.takeStream() {
		return nil, false
	}
	if count < lineage.Base {
		return nil, false // the copy ends before the stream began
	}
	server, ok := tree.Server(lineage.Server)
	if !ok {
		return nil, false
	}
	ask := p.ask(g, lineage.Stream, 0, true)
	p.Slots.Adopt(server.Name, ask)
	a := p.newAttempt(server, lineage, ask)
	a.resume = true
	a.incarnation = "" // the stream may be older than what is known of the server
	return a, true
}

// takeStream reports, once, that the stream in the lineage is still to be
// taken over.
func (g *Generation) takeStream() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	taken := g.taken
	g.taken = true
	return !taken
}

func (p *Primary) ask(g *Generation, lease string, wait time.Duration, resume bool) rwslot.Ask {
	count, _, _ := g.Journal.State()
	return rwslot.Ask{
		Lease:        lease,
		Organisation: g.Spec.Organisation,
		Weight:       g.Spec.Weight,
		Priority:     g.Spec.Priority,
		Tokens:       g.Spec.Limit - count,
		Patience:     wait,
		Left:         time.Until(g.Spec.Deadline),
		Resume:       resume,
		Fingerprint:  g.Spec.Fingerprint,
		Suspect:      p.Book.Suspect(rwpoison.Fingerprint(g.Spec.Fingerprint)),
	}
}

// once looks once. A copy of a request that has yet to be proven may run only
// where the leading copy runs.
func (s *search) once(ctx context.Context, wait time.Duration) (*attempt, error) {
	p, g := s.primary, s.generation
	version := p.version(g, s.route)
	candidates := p.candidates(s.tree, s.route, version, s.avoid)
	only, changed := p.trials.enter(g)
	// Looked at after the trial: a copy that ended it by being quarantined was
	// entered in the book before.
	if e := p.Book.QuarantineError(rwpoison.Fingerprint(g.Spec.Fingerprint)); e != nil {
		return nil, e
	}
	if changed != nil {
		candidates = slices.DeleteFunc(candidates, func(c rwchoice.Candidate) bool { return c.Name != only })
	}
	err := busy(s.route)
	if len(candidates) > 0 {
		var a *attempt
		a, err = s.acquire(ctx, version, rwchoice.Order(rwchoice.Prefix(g.Spec.Prompt), candidates), wait)
		if err == nil {
			return a, nil
		}
	}
	if changed != nil {
		return s.afterTrial(ctx, wait, changed)
	}
	return nil, err
}

// afterTrial waits for the leading copy of the request to be placed, proven or
// ended, and looks again.
func (s *search) afterTrial(ctx context.Context, wait time.Duration, changed <-chan struct{}) (*attempt, error) {
	started := time.Now()
	if !await(ctx.Done(), changed, wait) {
		return nil, busy(s.route)
	}
	return s.once(ctx, wait-time.Since(started))
}

func busy(route rwtree.NamedRoute) error {
	return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
		"no backend server of route %s can take the request", route.Key()).WithRetryAfter(time.Second)
}

// version is the one the generation is pinned to, or the route's choice while
// nothing has been delivered.
func (p *Primary) version(g *Generation, route rwtree.NamedRoute) string {
	count, _, _ := g.Journal.State()
	if count > 0 {
		return g.Lineage().Version
	}
	if g.failed != "" {
		return p.Versions.Other(route, g.failed)
	}
	return p.Versions.Pick(route, g.Spec.ID)
}

// candidates returns the route's servers that have the version and answer.
func (p *Primary) candidates(tree rwtree.Tree, route rwtree.NamedRoute, version string, avoid rwset.Set[string]) []rwchoice.Candidate {
	var all, fresh []rwchoice.Candidate
	for _, name := range route.ServerNames() {
		server, ok := tree.Server(name)
		if !ok || server.Leaving {
			continue
		}
		load, known := p.Slots.Load(name)
		versions := load.Versions
		if !known || len(versions) == 0 {
			versions = server.Versions
		}
		if load.Down || load.Leaving || !p.Slots.Owned(name) || !slices.Contains(versions, version) {
			continue
		}
		c := rwchoice.Candidate{Name: name, Load: load}
		all = append(all, c)
		if !avoid.Has(name) {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 {
		return all
	}
	return fresh
}

// acquire asks the preferred servers for a free slot, then waits at the one
// where the wait is shortest.
func (s *search) acquire(ctx context.Context, version string, ordered []rwchoice.Candidate, wait time.Duration) (*attempt, error) {
	tries, wait := s.effort(wait)
	var refusal error
	for i, c := range ordered {
		last := i >= tries || i == len(ordered)-1
		patience := time.Duration(0)
		if last {
			c = shortestWait(ordered)
			patience = wait
		}
		a, err := s.ask(ctx, c.Name, version, patience)
		if err == nil {
			return a, nil
		}
		refusal = soonest(refusal, err)
		if last {
			break
		}
	}
	return nil, refusal
}

// effort is how many servers are asked for a free slot, and how long the last one
// is waited for. Urgent work asks more of them, and waits at none for long.
func (s *search) effort(wait time.Duration) (int, time.Duration) {
	if s.resume {
		return urgentTries, min(wait, urgentWait)
	}
	if s.primary.Book.Suspect(rwpoison.Fingerprint(s.generation.Spec.Fingerprint)) {
		return urgentTries, wait
	}
	return quickTries, wait
}

// ask asks the owner of one server for a slot.
func (s *search) ask(ctx context.Context, server, version string, patience time.Duration) (*attempt, error) {
	p, g := s.primary, s.generation
	ask := p.ask(g, streamName(g, g.Lineage().Attempt+1), patience, s.resume)
	if err := p.Slots.Acquire(ctx, server, ask); err != nil {
		p.Log.V(1).Info("no slot", "generation", Text(g.Spec.ID), "server", server, "cause", err.Error())
		return nil, err
	}
	if e := p.Book.QuarantineError(rwpoison.Fingerprint(g.Spec.Fingerprint)); e != nil {
		go p.Slots.Release(server, ask.Lease, rwslot.OutcomeDone, 0)
		return nil, e // a copy has shown meanwhile what the request does
	}
	named, _ := s.tree.Server(server)
	a := p.begin(g, named, version, ask)
	a.isolated = ask.Suspect
	return a, nil
}

// shortestWait is the candidate whose queue drains first.
func shortestWait(candidates []rwchoice.Candidate) rwchoice.Candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if expectedWait(c.Load) < expectedWait(best.Load) {
			best = c
		}
	}
	return best
}

func expectedWait(l rwslot.Load) time.Duration {
	turns := l.Held + l.Waiting + 1 - l.Limit
	if l.Limit == 0 || turns <= 0 {
		return 0
	}
	return time.Duration(turns) * max(l.Drain, time.Millisecond)
}

// soonest keeps the refusal that lets the caller come back first.
func soonest(a, b error) error {
	if a == nil || rwerror.As(b).RetryAfter < rwerror.As(a).RetryAfter {
		return b
	}
	return a
}

func (p *Primary) begin(g *Generation, server rwtree.NamedServer, version string, ask rwslot.Ask) *attempt {
	count, _, _ := g.Journal.State()
	lineage := g.setLineage(func(l *Lineage) {
		l.Version = version
		l.Server = server.Name
		l.Stream = ask.Lease
		l.Base = count
		l.Attempt++
	})
	p.trials.placed(g, server.Name)
	p.Log.V(1).Info("attempt begins", "generation", Text(g.Spec.ID), "organisation", g.Spec.Organisation,
		"server", server.Name, "attempt", lineage.Attempt, "version", version, "suspect", ask.Suspect)
	return p.newAttempt(server, lineage, ask)
}

func (p *Primary) newAttempt(server rwtree.NamedServer, lineage Lineage, ask rwslot.Ask) *attempt {
	load, _ := p.Slots.Load(server.Name)
	return &attempt{
		server: server, lineage: lineage, suspect: ask.Suspect, started: time.Now(), incarnation: load.Incarnation,
		load: float64(load.Held) / float64(max(1, server.Capacity)),
	}
}
