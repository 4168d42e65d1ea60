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

// attempt is one try to have a server generate the rest of an answer.
type attempt struct {
	server  rwtree.NamedServer
	lineage Lineage
	resume  bool // take over the engine's live stream

	started   time.Time
	firstTime time.Duration
	lastAt    time.Time
	tokens    int
	suspect   bool // it is to be cleared
	isolated  bool // it is known to have run beside no other suspect
	cleared   bool // it got past the place where a server died under it
	proven    bool // it has run long enough for copies to run elsewhere

	load        float64 // of the server at the beginning, from 0 to 1
	incarnation string  // of the server's process, if known
}

// tokenTime is the mean time between tokens, or zero when there are too few.
func (a *attempt) tokenTime() time.Duration {
	const fewest = 8
	if a.tokens < fewest {
		return 0
	}
	return (a.lastAt.Sub(a.started) - a.firstTime) / time.Duration(a.tokens-1)
}

func (a *attempt) note(tokens int) {
	now := time.Now()
	if a.tokens == 0 {
		a.firstTime = now.Sub(a.started)
	}
	a.tokens += tokens
	a.lastAt = now
}

var (
	errStalled = errors.New("the backend server gives no token")
	errGone    = errors.New("the backend server is gone")
)

// attempt runs one attempt to its end.
func (p *Primary) attempt(ctx context.Context, g *Generation, a *attempt) (result, error) {
	if limitReached(g) {
		g.end(finishOf("length"))
		return resultFinished, nil
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := p.watch(streamCtx, cancel, a)
	stream, err := p.open(streamCtx, g, a)
	if err != nil {
		return p.explain(ctx, streamCtx, a, err)
	}
	defer stream.Close()
	matcher := newStopMatcher(g.Spec.Stop)
	position, _, _ := g.Journal.State()
	position -= a.lineage.Base
	for {
		piece, err := stream.Next()
		if err != nil {
			return p.explain(ctx, streamCtx, a, err)
		}
		dog.feed()
		fresh, err := p.take(g, piece, &position)
		if err != nil {
			return resultLost, err
		}
		if done := p.deliver(g, a, matcher, fresh, piece.Finish); done {
			return resultFinished, nil
		}
		if piece.Finish != "" {
			return resultLost, errors.Errorf("the backend server ended the stream: %s", piece.Finish)
		}
		p.prove(g, a)
		if g.lag() > p.lagLimit(g.Spec.Organisation) {
			return resultPaused, nil
		}
	}
}

// open starts the stream at the server, or takes over the live one.
func (p *Primary) open(ctx context.Context, g *Generation, a *attempt) (*rwengine.Stream, error) {
	if a.resume {
		count, _, _ := g.Journal.State()
		return p.Engines.Resume(ctx, a.server.Address, a.lineage.Stream, count-a.lineage.Base)
	}
	return p.Engines.Complete(ctx, a.server.Address, a.lineage.Stream, request(g, a.lineage))
}

// request asks for the rest of the answer: the caller's own prompt while the
// journal is empty, else the prompt's tokens followed by the journal's.
func request(g *Generation, lineage Lineage) rwengine.Request {
	count, _, _ := g.Journal.State()
	r := rwengine.Request{
		Model:     lineage.Version,
		MaxTokens: g.Spec.Limit - count,
		Stream:    true,
		Priority:  g.Spec.Priority,
		TokenIDs:  true,
		Logprobs:  true,
		Sampling:  g.Spec.Sampling,
	}
	switch {
	case count > 0:
		r.Prompt = continuation(g, lineage, count)
	case g.Spec.Chat:
		r.Messages = g.Spec.Prompt
	default:
		r.Prompt = g.Spec.Prompt
	}
	return r
}

func continuation(g *Generation, lineage Lineage, count int) json.RawMessage {
	ids := append([]uint32(nil), lineage.Prompt...)
	tokens, _ := g.Journal.Read(0, count)
	for _, t := range tokens {
		ids = append(ids, t.ID)
	}
	body, err := json.Marshal(ids)
	if err != nil {
		panic(err) // numbers always have a JSON form
	}
	return body
}

// take returns the tokens of a piece that have not been seen in this stream.
func (p *Primary) take(g *Generation, piece rwengine.Piece, position *int) ([]rwtoken.Token, error) {
	if piece.Offset > *position {
		return nil, errors.Errorf("the stream has a gap from %d to %d", *position, piece.Offset)
	}
	if len(piece.Prompt) > 0 && len(g.Lineage().Prompt) == 0 {
		g.setLineage(func(l *Lineage) { l.Prompt = piece.Prompt })
	}
	skip := min(*position-piece.Offset, len(piece.Tokens))
	fresh := piece.Tokens[skip:]
	*position += len(fresh)
	return fresh, nil
}

// deliver writes tokens to the journal, and ends it when the answer is whole.
func (p *Primary) deliver(g *Generation, a *attempt, m *stopMatcher, fresh []rwtoken.Token, finish string) bool {
	var ready []rwtoken.Token
	for _, t := range fresh {
		safe, stopped := m.push(t)
		ready = append(ready, safe...)
		if stopped {
			p.write(g, a, ready)
			g.end(finishOf("stop"))
			return true
		}
	}
	whole := finish == "stop" || finish == "length"
	count, _, _ := g.Journal.State()
	if whole || count+len(ready)+len(m.pending) >= g.Spec.Limit {
		ready = append(ready, m.flush()...)
	}
	p.write(g, a, ready)
	switch {
	case whole:
		g.end(finishOf(finish))
	case limitReached(g):
		g.end(finishOf("length"))
	default:
		return false
	}
	return true
}

func (p *Primary) write(g *Generation, a *attempt, tokens []rwtoken.Token) {
	if len(tokens) == 0 {
		return
	}
	count, _, _ := g.Journal.State()
	_ = g.Journal.Append(count, tokens...) // no gap: this goroutine alone appends
	a.note(len(tokens))
	p.Counters.Add("tokens", int64(len(tokens)))
}

// explain says what the end of a stream without a finish means.
func (p *Primary) explain(ctx, streamCtx context.Context, a *attempt, err error) (result, error) {
	cause := context.Cause(streamCtx)
	switch {
	case ctx.Err() != nil:
		return resultStopped, err
	case errors.Is(cause, errStalled):
		return resultStalled, cause
	case a.resume && rwerror.Is(err, rwerror.KindNotFound):
		return resultGone, err
	case rwerror.Is(err, rwerror.KindOverloaded), rwerror.Is(err, rwerror.KindNotFound):
		return resultBusy, err
	case rwerror.Is(err, rwerror.KindFailed), rwerror.Is(err, rwerror.KindInvalid):
		return resultFailed, err
	}
	return resultLost, err
}

// prove draws the conclusions of a request's running well.
func (p *Primary) prove(g *Generation, a *attempt) {
	if a.tokens == 0 {
		return
	}
	ran := time.Since(a.started) - a.firstTime
	if a.suspect && !a.cleared && a.tokens >= rwpoison.ClearTokens && ran >= rwpoison.ClearAfter {
		a.cleared = true
		p.clear(g)
		p.Slots.Clear(a.lineage.Stream)
		go p.Tell(g.Spec.ID, p.Book.Get(rwpoison.Fingerprint(g.Spec.Fingerprint)))
	}
	if !a.proven && ran >= rwpoison.ProveAfter {
		a.proven = true
		p.trials.prove(g)
	}
}

// release is how a result gives its slot back.
func (r result) release() rwslot.Outcome {
	switch r {
	case resultLost:
		return rwslot.OutcomeLost
	case resultStalled, resultPaused, resultStopped:
		return rwslot.OutcomeStalled
	case resultFailed, resultBusy:
		return rwslot.OutcomeFailed
	case resultFinished, resultGone:
		return rwslot.OutcomeDone
	}
	return rwslot.OutcomeDone
}
