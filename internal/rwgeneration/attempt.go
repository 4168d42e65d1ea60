package rwgeneration

import (
	"context"
	"encoding/json"
	"time"

	"ragwortwall/internal/rwengine"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtoken"
	"ragwortwall/internal/rwtree"

	"github.com/juju/errors"
)

// attempt is one attempt to generate the rest of an answer on a server.
type attempt struct {
	server  rwtree.NamedServer
	lineage Lineage
	resume  bool // resume the engine's live stream

	started          time.Time
	timeToFirstToken time.Duration
	lastTokenAt      time.Time
	tokens           int  // tokens that the attempt appended to the journal
	suspect          bool // the request is suspected of crashing servers
	isolated         bool // no other suspect ran on the server at the same time
	cleared          bool // it passed the position at which a server crashed
	proven           bool // it ran long enough to let copies run on other servers

	load        float64 // of the server when the attempt started, from 0 to 1
	incarnation string  // of the server's process; empty if unknown
}

// meanTokenTime returns the mean time between tokens, or zero if there are too few
// tokens.
func (a *attempt) meanTokenTime() time.Duration {
	const minTokens = 8
	if a.tokens < minTokens {
		return 0
	}
	return (a.lastTokenAt.Sub(a.started) - a.timeToFirstToken) / time.Duration(a.tokens-1)
}

func (a *attempt) recordTokens(tokens int) {
	now := time.Now()
	if a.tokens == 0 {
		a.timeToFirstToken = now.Sub(a.started)
	}
	a.tokens += tokens
	a.lastTokenAt = now
}

// Causes with which the watchdog cancels the context of a stream.
var (
	errStalled    = errors.New("the backend server is not sending tokens")
	errServerGone = errors.New("the backend server refuses connections")
)

// runAttempt runs an attempt until it ends. A stream that stalls ends only once r holds a
// slot for the next attempt.
func (p *Primary) runAttempt(ctx context.Context, g *Generation, a *attempt, r *reservation) (attemptOutcome, error) {
	if limitReached(g) {
		g.end(finishFor("length"))
		return outcomeFinished, nil
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	watchdog := p.startWatchdog(streamCtx, cancel, a, r)
	defer func() {
		cancel(nil)
		<-watchdog.ended
	}()
	stream, err := p.openStream(streamCtx, g, a)
	if err != nil {
		return p.classifyStreamError(ctx, streamCtx, a, err)
	}
	defer stream.Close()
	matcher := newStopMatcher(g.Spec.Stop)
	position, _, _ := g.Journal.State()
	position -= a.lineage.Base
	for {
		event, err := stream.Next()
		if err != nil {
			return p.classifyStreamError(ctx, streamCtx, a, err)
		}
		watchdog.recordToken()
		fresh, err := p.unseenTokens(g, event, &position)
		if err != nil {
			return outcomeServerLost, err
		}
		if done := p.processTokens(g, a, matcher, fresh, event.Finish); done {
			return outcomeFinished, nil
		}
		if event.Finish != "" {
			return outcomeServerLost, errors.Errorf("the backend server ended the stream: %s", event.Finish)
		}
		p.recordProgress(g, a)
		if g.lag() > p.lagLimit(g.Spec.Organisation) {
			return outcomePaused, nil
		}
	}
}

// openStream starts a stream at the server, or resumes the live one.
func (p *Primary) openStream(ctx context.Context, g *Generation, a *attempt) (*rwengine.Stream, error) {
	if a.resume {
		count, _, _ := g.Journal.State()
		return p.Engines.Resume(ctx, a.server.Address, a.lineage.Stream, count-a.lineage.Base)
	}
	return p.Engines.Complete(ctx, a.server.Address, a.lineage.Stream, completionRequest(g, a.lineage))
}

// completionRequest requests the rest of the answer. Its prompt is the caller's
// while the journal is empty, else the prompt's tokens followed by the journal's.
func completionRequest(g *Generation, lineage Lineage) rwengine.Request {
	count, _, _ := g.Journal.State()
	r := rwengine.Request{
		Model:     lineage.Version,
		MaxTokens: g.Spec.MaxTokens - count,
		Stream:    true,
		Priority:  g.Spec.Priority,
		TokenIDs:  true,
		Logprobs:  true,
		Sampling:  g.Spec.Sampling,
	}
	switch {
	case count > 0:
		r.Prompt = continuationPrompt(g, lineage, count)
	case g.Spec.Chat:
		r.Messages = g.Spec.Prompt
	default:
		r.Prompt = g.Spec.Prompt
	}
	return r
}

// continuationPrompt returns the token IDs of the prompt and of the first count tokens of
// the journal, as a JSON array.
func continuationPrompt(g *Generation, lineage Lineage, count int) json.RawMessage {
	ids := append([]uint32(nil), lineage.Prompt...)
	tokens, _ := g.Journal.Read(0, count)
	for _, t := range tokens {
		ids = append(ids, t.ID)
	}
	body, err := json.Marshal(ids)
	if err != nil {
		panic(err) // integers can always be encoded as JSON
	}
	return body
}

// unseenTokens returns the tokens of an event that this stream has not delivered yet,
// and advances position past them.
func (p *Primary) unseenTokens(g *Generation, event rwengine.StreamEvent, position *int) ([]rwtoken.Token, error) {
	if event.Offset > *position {
		return nil, errors.Errorf("the stream is missing the tokens from offset %d to %d", *position, event.Offset)
	}
	if len(event.Prompt) > 0 && len(g.Lineage().Prompt) == 0 {
		g.updateLineage(func(l *Lineage) { l.Prompt = event.Prompt })
	}
	skip := min(*position-event.Offset, len(event.Tokens))
	fresh := event.Tokens[skip:]
	*position += len(fresh)
	return fresh, nil
}

// processTokens appends tokens to the journal, holding back those that may begin a
// stop sequence. It ends the journal and returns true when the answer is complete.
func (p *Primary) processTokens(g *Generation, a *attempt, m *stopMatcher, fresh []rwtoken.Token, finish string) bool {
	var ready []rwtoken.Token
	for _, t := range fresh {
		safe, stopped := m.push(t)
		ready = append(ready, safe...)
		if stopped {
			p.appendTokens(g, a, ready)
			g.end(finishFor("stop"))
			return true
		}
	}
	complete := finish == "stop" || finish == "length"
	count, _, _ := g.Journal.State()
	if complete || count+len(ready)+len(m.pending) >= g.Spec.MaxTokens {
		ready = append(ready, m.flush()...)
	}
	p.appendTokens(g, a, ready)
	switch {
	case complete:
		g.end(finishFor(finish))
	case limitReached(g):
		g.end(finishFor("length"))
	default:
		return false
	}
	return true
}

func (p *Primary) appendTokens(g *Generation, a *attempt, tokens []rwtoken.Token) {
	if len(tokens) == 0 {
		return
	}
	count, _, _ := g.Journal.State()
	_ = g.Journal.Append(count, tokens...) // cannot fail: only this goroutine appends
	a.recordTokens(len(tokens))
	p.Counters.Add("tokens", int64(len(tokens)))
}

// classifyStreamError returns the outcome of an attempt whose stream ended without a
// finish reason.
func (p *Primary) classifyStreamError(ctx, streamCtx context.Context, a *attempt, err error) (attemptOutcome, error) {
	cause := context.Cause(streamCtx)
	switch {
	case ctx.Err() != nil:
		return outcomeStopped, err
	case errors.Is(cause, errStalled):
		return outcomeStalled, cause
	case a.resume && rwerror.Is(err, rwerror.KindNotFound):
		return outcomeStreamGone, err
	case rwerror.Is(err, rwerror.KindOverloaded), rwerror.Is(err, rwerror.KindNotFound):
		return outcomeBusy, err
	case rwerror.Is(err, rwerror.KindFailed), rwerror.Is(err, rwerror.KindInvalid):
		return outcomeFailed, err
	}
	return outcomeServerLost, err
}

// recordProgress clears the suspicion of a request that generated tokens for long
// enough, and lets copies of it run on other servers.
func (p *Primary) recordProgress(g *Generation, a *attempt) {
	if a.tokens == 0 {
		return
	}
	ran := time.Since(a.started) - a.timeToFirstToken
	if a.suspect && !a.cleared && a.tokens >= rwpoison.ClearTokens && ran >= rwpoison.ClearAfter {
		a.cleared = true
		p.clearSuspicion(g)
		p.Slots.Clear(a.lineage.Stream)
		go p.NotifySuspicion(g.Spec.ID, p.Suspicions.Get(rwpoison.Fingerprint(g.Spec.Fingerprint)))
	}
	if !a.proven && ran >= rwpoison.ProveAfter {
		a.proven = true
		p.trials.markProven(g)
	}
}

// slotOutcome returns the outcome that is reported when the slot is released.
func (r attemptOutcome) slotOutcome() rwslot.Outcome {
	switch r {
	case outcomeServerLost:
		return rwslot.OutcomeLost
	case outcomeStalled, outcomePaused, outcomeStopped:
		return rwslot.OutcomeStalled
	case outcomeFailed, outcomeBusy:
		return rwslot.OutcomeFailed
	case outcomeFinished, outcomeStreamGone:
		return rwslot.OutcomeDone
	}
	return rwslot.OutcomeDone
}
