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
	maxServersAsked        = 2                      // servers asked for a free slot before waiting in a queue
	maxServersAskedUrgent  = 8                      // the same, if an earlier attempt ran or the request is suspect
	maxUrgentWait          = 400 * time.Millisecond // in the queue of one server before asking the others again
	placementRetryInterval = 100 * time.Millisecond
)

// slotSearch looks for a server with a slot for one attempt.
type slotSearch struct {
	primary    *Primary
	generation *Generation
	tree       rwtree.Tree
	route      rwtree.NamedRoute
	avoid      rwset.Set[string] // servers on which attempts of the generation failed
	resume     bool              // an earlier attempt ran, and the caller waits for more tokens
	lastSearch bool              // the request has waited; ask more servers and don't wait
	exclude    string            // server that must not be chosen, even if there is no other; empty for none
	queueLost  bool              // the server at which the last search waited was lost meanwhile
}

// grantedSlot is a slot that was acquired for an attempt.
type grantedSlot struct {
	server  rwtree.NamedServer
	version string
	request rwslot.Request
}

// place starts the next attempt, at the reserved slot if there is one. Else it acquires a
// slot at a server.
func (p *Primary) place(ctx context.Context, g *Generation, avoid rwset.Set[string], reserved *grantedSlot) (*attempt, error) {
	if reserved != nil {
		return p.beginAttempt(g, *reserved), nil
	}
	tree := p.Tree()
	route, ok := tree.Route(g.Spec.Route)
	if !ok {
		return nil, rwerror.New(rwerror.KindNotFound, "contact the operators for the route's new name", "route %s does not exist any more", g.Spec.Route)
	}
	if a, ok := p.adoptedAttempt(g, tree); ok {
		return a, nil
	}
	// After the first placement the caller has the response headers and maybe tokens,
	// so the request can no longer be refused.
	begun := g.Lineage().Attempt > 0
	s := &slotSearch{primary: p, generation: g, tree: tree, route: route, avoid: avoid, resume: begun}
	slot, err := s.run(ctx)
	if err != nil {
		return nil, err
	}
	return p.beginAttempt(g, *slot), nil
}

// run searches until it has a slot. It returns the first refusal, unless an earlier
// attempt ran, or the server at which it waited was lost: then it searches again until the
// time given by maxSlotWait has passed.
func (s *slotSearch) run(ctx context.Context) (*grantedSlot, error) {
	until := time.Now().Add(maxSlotWait(s.generation, s.route, s.resume))
	for {
		slot, err := s.searchOnce(ctx, time.Until(until))
		if err == nil || ctx.Err() != nil {
			return slot, err
		}
		if rwerror.Is(err, rwerror.KindQuarantined) || !s.resume && !s.queueLost && time.Now().Before(until) {
			return nil, err
		}
		if !time.Now().Before(until) {
			return s.searchLast(ctx, err)
		}
		s.avoid.Clear()
		rwtime.Sleep(ctx, placementRetryInterval)
		s.tree = s.primary.Tree()
	}
}

// searchLast asks more servers for a free slot before a request is refused that has waited
// at one of them. That one was chosen by loads that may have been out of date.
func (s *slotSearch) searchLast(ctx context.Context, refusal error) (*grantedSlot, error) {
	s.lastSearch = true
	if slot, err := s.searchOnce(ctx, 0); err == nil {
		return slot, nil
	}
	return nil, refusal
}

// adoptedAttempt returns an attempt that resumes the engine's live stream, if the
// generation was taken over from a failed primary and this is the first call.
func (p *Primary) adoptedAttempt(g *Generation, tree rwtree.Tree) (*attempt, bool) {
	lineage := g.Lineage()
	count, _, _ := g.Journal.State()
	if lineage.Stream == "" || !g.claimStream() {
		return nil, false
	}
	if count < lineage.Base {
		return nil, false // the copy lacks tokens from before the stream
	}
	server, ok := tree.Server(lineage.Server)
	if !ok {
		return nil, false
	}
	request := p.slotRequest(g, lineage.Stream, 0, true)
	p.Slots.Adopt(server.Name, request)
	a := p.newAttempt(server, lineage, request)
	a.resume = true
	a.incarnation = "" // the stream may have started before the known incarnation
	return a, true
}

// claimStream returns true once, if the stream in the lineage has yet to be resumed.
func (g *Generation) claimStream() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	alreadyClaimed := g.streamClaimed
	g.streamClaimed = true
	return !alreadyClaimed
}

func (p *Primary) slotRequest(g *Generation, lease string, wait time.Duration, resume bool) rwslot.Request {
	count, _, _ := g.Journal.State()
	return rwslot.Request{
		Lease:         lease,
		Organisation:  g.Spec.Organisation,
		Weight:        g.Spec.Weight,
		Priority:      g.Spec.Priority,
		Tokens:        g.Spec.MaxTokens - count,
		MaxWait:       wait,
		UntilDeadline: time.Until(g.Spec.Deadline),
		Resumed:       resume,
		Fingerprint:   g.Spec.Fingerprint,
		Suspect:       p.Suspicions.Suspect(rwpoison.Fingerprint(g.Spec.Fingerprint)),
	}
}

// searchOnce searches once. While the request is unproven, a copy may run only on
// the server of the leading copy.
func (s *slotSearch) searchOnce(ctx context.Context, wait time.Duration) (*grantedSlot, error) {
	p, g := s.primary, s.generation
	version := p.pickVersion(g, s.route)
	candidates := p.candidates(s.tree, s.route, version, s.avoid)
	candidates = slices.DeleteFunc(candidates, func(c rwchoice.Candidate) bool { return c.Name == s.exclude })
	leaderServer, changed := p.trials.join(g)
	// Checked after joining the trial: a copy that ends a trial by being quarantined is
	// added to the registry before it leaves the trial.
	if e := p.Suspicions.QuarantineError(rwpoison.Fingerprint(g.Spec.Fingerprint)); e != nil {
		return nil, e
	}
	if changed != nil {
		candidates = slices.DeleteFunc(candidates, func(c rwchoice.Candidate) bool { return c.Name != leaderServer })
	}
	err := noServerError(s.route)
	if len(candidates) > 0 {
		var slot *grantedSlot
		slot, err = s.acquire(ctx, version, rwchoice.Order(rwchoice.PrefixHash(g.Spec.Prompt), candidates), wait)
		if err == nil {
			return slot, nil
		}
	}
	if changed != nil {
		return s.searchAfterTrial(ctx, wait, changed)
	}
	return nil, err
}

// searchAfterTrial waits until the leading copy of the request is placed, proven or
// ended, and searches again.
func (s *slotSearch) searchAfterTrial(ctx context.Context, wait time.Duration, changed <-chan struct{}) (*grantedSlot, error) {
	started := time.Now()
	if !waitForChange(ctx.Done(), changed, wait) {
		return nil, noServerError(s.route)
	}
	return s.searchOnce(ctx, wait-time.Since(started))
}

func noServerError(route rwtree.NamedRoute) error {
	return rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
		"no backend server of route %s can take the request", route.Key()).WithRetryAfter(time.Second)
}

// pickVersion returns the version that the generation is pinned to. While the journal
// is empty, it picks one of the route's versions, other than the one that failed last.
func (p *Primary) pickVersion(g *Generation, route rwtree.NamedRoute) string {
	count, _, _ := g.Journal.State()
	if count > 0 {
		return g.Lineage().Version
	}
	if g.failedVersion != "" {
		return p.Versions.FallbackVersion(route, g.failedVersion)
	}
	return p.Versions.Pick(route, g.Spec.ID)
}

// candidates returns the route's servers that have the version and are up. Servers in
// avoid are left out, unless there are no others.
func (p *Primary) candidates(tree rwtree.Tree, route rwtree.NamedRoute, version string, avoid rwset.Set[string]) []rwchoice.Candidate {
	var all, notAvoided []rwchoice.Candidate
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
			notAvoided = append(notAvoided, c)
		}
	}
	if len(notAvoided) == 0 {
		return all
	}
	return notAvoided
}

// acquire asks the preferred servers for a free slot, then queues at the server with
// the shortest expected wait.
func (s *slotSearch) acquire(ctx context.Context, version string, ordered []rwchoice.Candidate, wait time.Duration) (*grantedSlot, error) {
	maxAsked, wait := s.limits(wait)
	s.queueLost = false
	var refusal error
	for i, c := range ordered {
		last := i >= maxAsked || i == len(ordered)-1
		maxWait := time.Duration(0)
		if last {
			c = shortestWait(ordered)
			maxWait = wait
		}
		slot, err := s.requestSlot(ctx, c.Name, version, maxWait)
		if err == nil {
			return slot, nil
		}
		refusal = earlierRetry(refusal, err)
		if last {
			s.queueLost = rwerror.Is(err, rwerror.KindUnavailable)
			break
		}
	}
	return nil, refusal
}

// limits returns how many servers to ask for a free slot, and how long to queue at
// the last one. Urgent attempts ask more servers and queue for a shorter time.
func (s *slotSearch) limits(wait time.Duration) (int, time.Duration) {
	switch {
	case s.lastSearch:
		return maxServersAskedUrgent, 0
	case s.resume:
		return maxServersAskedUrgent, min(wait, maxUrgentWait)
	}
	if s.primary.Suspicions.Suspect(rwpoison.Fingerprint(s.generation.Spec.Fingerprint)) {
		return maxServersAskedUrgent, wait
	}
	return maxServersAsked, wait
}

// requestSlot requests a slot from the owner of one server.
func (s *slotSearch) requestSlot(ctx context.Context, server, version string, maxWait time.Duration) (*grantedSlot, error) {
	p, g := s.primary, s.generation
	request := p.slotRequest(g, streamName(g, g.Lineage().Attempt+1), maxWait, s.resume)
	if err := p.Slots.Acquire(ctx, server, request); err != nil {
		p.Log.V(1).Info("slot request failed", "generation", FormatID(g.Spec.ID), "server", server, "cause", err.Error())
		return nil, err
	}
	if e := p.Suspicions.QuarantineError(rwpoison.Fingerprint(g.Spec.Fingerprint)); e != nil {
		go p.Slots.Release(server, request.Lease, rwslot.OutcomeDone, 0)
		return nil, e // a copy was quarantined in the meantime
	}
	named, _ := s.tree.Server(server)
	return &grantedSlot{server: named, version: version, request: request}, nil
}

// shortestWait returns the candidate with the shortest expected wait.
func shortestWait(candidates []rwchoice.Candidate) rwchoice.Candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if expectedWait(c.Load) < expectedWait(best.Load) {
			best = c
		}
	}
	return best
}

// expectedWait estimates how long a new request would queue: the number of releases
// that it must wait for, times the mean time between releases. It is zero if a slot is
// free or l.Limit is zero.
func expectedWait(l rwslot.Load) time.Duration {
	turns := l.Held + l.Waiting + 1 - l.Limit
	if l.Limit == 0 || turns <= 0 {
		return 0
	}
	return time.Duration(turns) * max(l.Drain, time.Millisecond)
}

// earlierRetry returns the refusal with the shorter RetryAfter.
func earlierRetry(a, b error) error {
	if a == nil || rwerror.As(b).RetryAfter < rwerror.As(a).RetryAfter {
		return b
	}
	return a
}

// beginAttempt records a new attempt in the lineage, and its server in the request's
// trial. It returns the attempt.
func (p *Primary) beginAttempt(g *Generation, slot grantedSlot) *attempt {
	count, _, _ := g.Journal.State()
	lineage := g.updateLineage(func(l *Lineage) {
		l.Version = slot.version
		l.Server = slot.server.Name
		l.Stream = slot.request.Lease
		l.Base = count
		l.Attempt++
	})
	p.trials.setServer(g, slot.server.Name)
	p.Log.V(1).Info("attempt started", "generation", FormatID(g.Spec.ID), "organisation", g.Spec.Organisation,
		"server", slot.server.Name, "attempt", lineage.Attempt, "version", slot.version, "suspect", slot.request.Suspect)
	a := p.newAttempt(slot.server, lineage, slot.request)
	a.isolated = slot.request.Suspect
	return a
}

func (p *Primary) newAttempt(server rwtree.NamedServer, lineage Lineage, request rwslot.Request) *attempt {
	load, _ := p.Slots.Load(server.Name)
	return &attempt{
		server: server, lineage: lineage, suspect: request.Suspect, started: time.Now(), incarnation: load.Incarnation,
		load: float64(load.Held) / float64(max(1, server.Capacity)),
	}
}
