package rwlimit

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Peers reaches the other instances.
type Peers interface {
	// Rank returns the names of all instances, this one included, in the order in which they
	// own the limit of a server.
	Rank(server string) []string
	// Ask sends a question to an instance. The answer goes to Limiter.HandleGrant.
	Ask(instance string, a Ask)
	// AnnounceLimits publishes findings to all other instances.
	AnnounceLimits(findings []Finding)
	// AskHeard asks all other instances which of the named ones they heard from lately. The
	// answers go to Limiter.HandleHeard.
	AskHeard(names []string)
}

// Ask asks the owner of a server's limit for tokens.
type Ask struct {
	Number  uint64  `json:"number"` // of the question
	Finding Finding `json:"limit"`  // what the asking instance knows
	Want    int     `json:"want"`   // tokens; 0 asks whether the owner answers
	Reserve float64 `json:"reserve,omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	Number  uint64  `json:"number"` // of the question
	Finding Finding `json:"limit"`  // what the owner knows
	Tokens  int     `json:"tokens,omitempty"`
	Wait    int64   `json:"wait,omitempty"` // time until the next question without tokens, in milliseconds
}

// Urgency orders requests when tokens are scarce.
type Urgency struct {
	Priority int  // 0 is the highest
	Repeat   bool // a server was asked before
}

// reserve returns the tokens that a request leaves for more urgent ones.
func (u Urgency) reserve() float64 {
	const steps = 4
	reserve := float64(min(max(u.Priority, 0), steps)) / (2 * steps)
	if u.Repeat {
		reserve += 0.5
	}
	return reserve
}

const (
	// firstAskTimeout and secondAskTimeout are the waits for the answer to a question, which is
	// sent twice. Datagrams get lost, and instances are busy for some time.
	firstAskTimeout  = 40 * time.Millisecond
	secondAskTimeout = 80 * time.Millisecond
	// maxAsked is how many instances are asked one after the other.
	maxAsked = 3
	// minSilence and maxSilence bound how long an instance that didn't answer is passed over.
	// The time doubles each time.
	minSilence = 2 * time.Second
	maxSilence = 30 * time.Second
	// ownerGoneAfter is how long all instances that come before it must have been silent until
	// a deputy grants tokens at the full rate, if no other instance has heard from them.
	ownerGoneAfter = 5 * time.Second
	// heardWithin is how recently an instance must have heard from another to say so. Those
	// that get their tokens from it hear from it much more often.
	heardWithin = 3 * time.Second
	// heardAskInterval is the time between two questions to all instances about silent ones,
	// and heardAnswerTime the time for the answers.
	heardAskInterval = 3 * time.Second
	heardAnswerTime  = time.Second
	// heardLife is how long it counts that another instance heard from a silent one.
	heardLife = 10 * time.Second
	// maxServers bounds the servers whose limits are known.
	maxServers = 4096
	// endedLife is how long it is remembered that a limit has ended, in case older evidence
	// arrives late.
	endedLife = 10 * time.Second
	// maxRetryWait bounds the wait that is returned to callers, who may leave before a longer
	// one is over. It also holds if no answer came.
	maxRetryWait = time.Second
	// maxWant bounds the tokens of one question.
	maxWant = 256
)

// Limiter keeps to the limits of servers. Set the exported fields before first use. A nil
// Limiter knows no limits.
type Limiter struct {
	Self  string
	Peers Peers
	Count func(name string) // counts an event for the metrics; may be nil
	Log   logr.Logger

	mu         sync.Mutex
	servers    map[Server]*serverState
	silent     map[string]*silence  // instances that did not answer
	heardAt    map[string]time.Time // when something last came from an instance
	lastNumber uint64
	answers    map[uint64]chan Grant // of questions that wait for their answer
	invalid    map[Server]bool       // whose limit could not be used
}

// serverState is what is known of one server's limit.
type serverState struct {
	evidence
	bucket      bucket    // if this instance grants its tokens
	tokens      int       // granted to this instance
	validUntil  time.Time // of tokens
	askAfter    time.Time // no tokens were left; ask again then
	asking      bool
	answered    chan struct{} // closed at the end of the current question
	demand      int           // requests that found no token since demandSince
	demandSince time.Time
}

// silence is the state of an instance that did not answer.
type silence struct {
	since   time.Time     // of the first question without an answer
	until   time.Time     // the instance is passed over
	backoff time.Duration // of the latest one

	firstAskedAt  time.Time // when the others were first asked whether they heard from it
	askedOthersAt time.Time // when they last were
	heardByOther  time.Time // when one of them last said so
}

// isGone reports whether an instance has been silent for all for so long that another one
// takes its place.
func (s *silence) isGone(now time.Time) bool {
	asked := !s.firstAskedAt.IsZero() && now.Sub(s.firstAskedAt) > heardAnswerTime
	return now.Sub(s.since) > ownerGoneAfter && asked && now.Sub(s.heardByOther) > heardLife
}

// mayAskOthers reports whether the others are to be asked about an instance now.
func (s *silence) mayAskOthers(now time.Time) bool {
	const confirmInterval = 5 * heardAskInterval // once it is gone
	interval := heardAskInterval
	if s.isGone(now) {
		interval = confirmInterval
	}
	return now.Sub(s.since) > heardWithin && now.Sub(s.askedOthersAt) > interval
}

// Observe records what a response says of its server's limit. sentAt is when its request was
// sent.
func (l *Limiter) Observe(s Server, limit Limit, sentAt time.Time) {
	if l == nil {
		return
	}
	now := time.Now()
	if finding, changed := l.learn(s, evidence{Limit: limit, sentAt: sentAt, receivedAt: now}, l.Self); changed {
		l.Peers.AnnounceLimits([]Finding{finding})
	}
}

// ReportInvalid logs a limit that can't be used, once for each server.
func (l *Limiter) ReportInvalid(s Server, text string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.invalid[s] || len(l.invalid) >= maxServers {
		return
	}
	if l.invalid == nil {
		l.invalid = map[Server]bool{}
	}
	l.invalid[s] = true
	const maxLogged = 32
	l.Log.Info("limit of a server ignored: not a number of requests per second", "server", s.ID, "limit", text[:min(len(text), maxLogged)])
}

// Merge records a finding of another instance.
func (l *Limiter) Merge(f Finding, from string) {
	if l != nil {
		l.learn(f.Server, f.evidence(time.Now()), from)
	}
}

// learn merges evidence and reports whether the limit is another one now.
func (l *Limiter) learn(s Server, e evidence, from string) (f Finding, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.servers[s]
	if !known {
		if !e.Named || len(l.servers) >= maxServers {
			return Finding{}, false
		}
		if l.servers == nil {
			l.servers = map[Server]*serverState{}
		}
		state = &serverState{}
		l.servers[s] = state
	}
	before := state.evidence
	if state.evidence = e; known {
		state.evidence = before.merge(e)
	}
	if state.Limit == before.Limit {
		return Finding{}, false
	}
	if state.tokens > 0 && state.Named && state.Rate < before.Rate {
		state.tokens = 0 // granted at a higher rate
	}
	text := "server names a limit"
	if !state.Named {
		text = "limit of a server ended"
	}
	l.Log.Info(text, "server", s.ID, "incarnation", s.Incarnation, "rate", state.Rate, "was", before.Rate, "by", from)
	l.count("limits_learnt")
	return state.finding(s, time.Now()), true
}

func (l *Limiter) count(name string) {
	if l.Count != nil {
		l.Count(name)
	}
}

// Limit returns the limit of a server.
func (l *Limiter) Limit(s Server) Limit {
	if l == nil {
		return Limit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state, ok := l.servers[s]; ok {
		return state.Limit
	}
	return Limit{}
}

// Ready reports whether a request may be sent to a server now: it has no limit, or this
// instance has a token for it. If it has none, it asks for some, for the next request.
func (l *Limiter) Ready(s Server) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.servers[s]
	if !ok || !state.Named || state.hasToken(time.Now()) {
		return true
	}
	l.askLocked(s, state, Urgency{})
	return false
}

// Take takes a token for a request to a server. It reports whether the request may be sent.
func (l *Limiter) Take(s Server) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.servers[s]
	return !ok || !state.Named || state.takeToken(time.Now())
}

// Wait asks for tokens of several servers and takes the first that it gets. If there is none
// it returns false and when one may be there, soon after which is known.
func (l *Limiter) Wait(ctx context.Context, servers []Server, u Urgency) (s Server, wait time.Duration, ok bool) {
	shortest := maxRetryWait
	for _, s := range servers {
		answered := l.startAsking(s, u)
		if answered != nil {
			select {
			case <-answered:
			case <-ctx.Done():
				return Server{}, shortest, false
			}
		}
		if l.Take(s) {
			return s, 0, true
		}
		shortest = min(shortest, l.untilNext(s))
	}
	return Server{}, shortest, false
}

// startAsking asks for tokens unless there are some or there were none a moment ago. It
// returns a channel that is closed when the question was answered, or nil.
func (l *Limiter) startAsking(s Server, u Urgency) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.servers[s]
	if !ok || !state.Named || state.hasToken(time.Now()) {
		return nil
	}
	l.askLocked(s, state, u)
	if !state.asking {
		return nil
	}
	return state.answered
}

// untilNext returns the time until tokens of a server may be asked for.
func (l *Limiter) untilNext(s Server) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.servers[s]
	if !ok {
		return 0
	}
	return max(minAskWait, time.Until(state.askAfter))
}

func (s *serverState) hasToken(now time.Time) bool { return s.tokens > 0 && now.Before(s.validUntil) }

func (s *serverState) takeToken(now time.Time) bool {
	if !s.hasToken(now) {
		return false
	}
	s.tokens--
	return true
}

// askLocked starts a question for tokens, unless one is under way or was refused a moment ago.
func (l *Limiter) askLocked(s Server, state *serverState, u Urgency) {
	now := time.Now()
	state.demand++
	if state.asking || now.Before(state.askAfter) {
		return
	}
	state.asking, state.answered = true, make(chan struct{})
	want := state.want(now)
	go func() {
		g := l.question(s, want, u.reserve())
		l.mu.Lock()
		defer l.mu.Unlock()
		l.applyLocked(state, g)
		state.asking = false
		close(state.answered)
	}()
}

// want returns how many tokens to ask for: what is needed while they are valid, if requests
// come as often as since the last question.
func (s *serverState) want(now time.Time) int {
	elapsed := max(tokenLife, now.Sub(s.demandSince))
	want := float64(s.demand) * tokenLife.Seconds() / elapsed.Seconds()
	s.demand, s.demandSince = 0, now
	return min(maxWant, max(1, int(want+0.5)))
}

// applyLocked records the answer to a question.
func (l *Limiter) applyLocked(state *serverState, g Grant) {
	now := time.Now()
	if g.Tokens > 0 {
		if !state.hasToken(now) {
			state.tokens = 0
		}
		state.tokens += g.Tokens
		state.validUntil = now.Add(tokenLife)
		l.count("limit_tokens_granted")
		return
	}
	l.count("limit_tokens_refused")
	wait := time.Duration(g.Wait) * time.Millisecond
	state.askAfter = now.Add(wait/2 + rand.N(wait+1))
}

// Sweep forgets servers that are not listed any more, and limits that ended some time ago.
func (l *Limiter) Sweep(listed func(Server) bool) {
	l.mu.Lock()
	servers := slices.Concat(slices.Collect(maps.Keys(l.servers)), slices.Collect(maps.Keys(l.invalid)))
	l.mu.Unlock()
	gone := slices.DeleteFunc(servers, listed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range gone {
		delete(l.servers, s)
		delete(l.invalid, s)
	}
	for s, state := range l.servers {
		if !state.Named && time.Since(state.receivedAt) > endedLife {
			delete(l.servers, s)
		}
	}
}
