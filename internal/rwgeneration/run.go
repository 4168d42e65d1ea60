package rwgeneration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwtoken"
	"ragwortwall/internal/rwtree"
	"ragwortwall/pkg/rwset"
)

// result says how an attempt ended.
type result int

const (
	resultFinished result = iota // the answer is whole
	resultLost                   // the server was lost; go on elsewhere
	resultStalled                // the server gives no token; go on elsewhere
	resultFailed                 // the server refused or failed the work
	resultBusy                   // the server had no room after all
	resultPaused                 // the readers are far behind
	resultStopped                // the generation was cancelled or ran out of time
	resultGone                   // the stream to be taken over is no longer there
)

// run carries a generation through its attempts.
func (p *Primary) run(ctx context.Context, g *Generation) {
	avoid := rwset.New[string]()
	var last error
	for try := 0; ; try++ {
		if err := p.mayTry(ctx, g, try, last); err != nil {
			p.giveUp(g, err)
			return
		}
		a, err := p.place(ctx, g, avoid)
		if err != nil {
			p.giveUp(g, p.endOf(ctx, err))
			return
		}
		outcome, err := p.attempt(ctx, g, a)
		if outcome != resultFinished && g.isMoved() {
			p.leave(g, a)
			return
		}
		p.settle(ctx, g, a, outcome)
		switch outcome {
		case resultFinished:
			p.finished(g)
			return
		case resultStopped:
			p.giveUp(g, p.endOf(ctx, err))
			return
		case resultLost, resultStalled, resultFailed, resultBusy, resultGone:
		case resultPaused:
			p.Counters.Add("pauses", 1)
			try--
			if g.awaitReader(ctx, resumeLag()) != nil {
				p.giveUp(g, p.endOf(ctx, nil))
				return
			}
			continue
		}
		last = err
		if outcome == resultFailed {
			g.failed = a.lineage.Version
		}
		if outcome == resultGone {
			continue
		}
		avoid.Add(a.server.Name)
		// Without a reader this may be the primary of old that was paused while
		// another took over; there is no work to do before somebody asks.
		if g.awaitAnyReader(ctx) != nil {
			p.giveUp(g, p.endOf(ctx, nil))
			return
		}
		p.Log.Info("attempt ended", "generation", Text(g.Spec.ID), "organisation", g.Spec.Organisation,
			"server", a.server.Name, "attempt", a.lineage.Attempt, "cause", fmt.Sprint(err))
	}
}

func resumeLag() int { return lagBytes / bytesPerToken / 4 }

// leave ends the work on a generation that another instance has taken over,
// together with the stream and its lease.
func (p *Primary) leave(g *Generation, a *attempt) {
	p.Slots.Drop(a.lineage.Stream)
	p.trials.ended(g)
	p.forget(g)
	p.Counters.Add("moved", 1)
}

// mayTry decides whether there may be one more attempt.
func (p *Primary) mayTry(ctx context.Context, g *Generation, try int, last error) error {
	if ctx.Err() != nil {
		return p.endOf(ctx, nil)
	}
	if e := p.Book.QuarantineError(rwpoison.Fingerprint(g.Spec.Fingerprint)); e != nil {
		p.Counters.Add("quarantined", 1)
		return e.WithRan(rwerror.RanYes)
	}
	if try == 0 {
		return nil
	}
	if try >= maxAttempts {
		return rwerror.As(last)
	}
	count, _, _ := g.Journal.State()
	if count > 0 {
		p.Counters.Add("resumes", 1)
		return nil
	}
	// Nothing has been delivered: this is a retry, which the budget must allow.
	if !p.Budget.Spend(g.Spec.Route) {
		p.Counters.Add("unbudgeted", 1)
		return rwerror.As(last)
	}
	p.Counters.Add("retries", 1)
	return nil
}

// endOf is the final answer to a generation that was cancelled, ran out of time
// or met an error.
func (p *Primary) endOf(ctx context.Context, err error) error {
	if ctx.Err() == context.DeadlineExceeded {
		return rwerror.New(rwerror.KindTimeout, "ask again with a longer deadline", "the request's deadline passed").WithRan(rwerror.RanUnknown)
	}
	if ctx.Err() != nil {
		return rwerror.New(rwerror.KindAnswerLost, "ask anew", "the generation was cancelled: nobody read it").WithRan(rwerror.RanUnknown)
	}
	return err
}

// giveUp gives the final answer at once. The request may come back: it is not
// kept.
func (p *Primary) giveUp(g *Generation, err error) {
	e := rwerror.As(err)
	p.Log.Info("generation given up", "generation", Text(g.Spec.ID), "organisation", g.Spec.Organisation, "cause", e.Error())
	p.forget(g)
	p.trials.ended(g)
	if e.Kind == rwerror.KindOverloaded || e.Kind == rwerror.KindUnavailable {
		p.Refusals.Note(requestOf(g.Spec), e.RetryAfter)
		p.Counters.Add("refusals", 1)
	}
	g.fail(e)
}

func (p *Primary) finished(g *Generation) {
	p.trials.ended(g)
	p.clear(g)
	p.Refusals.Forget(requestOf(g.Spec))
	p.Counters.Add("finished", 1)
}

// clear drops the suspicion of a request that has run well.
func (p *Primary) clear(g *Generation) {
	p.Book.Clear(rwpoison.Fingerprint(g.Spec.Fingerprint))
}

// settle gives the slot back and draws the conclusions of an attempt.
func (p *Primary) settle(ctx context.Context, g *Generation, a *attempt, outcome result) {
	switch outcome {
	case resultLost:
		p.Counters.Add("lost", 1)
		p.implicate(ctx, g, a)
	case resultStalled:
		p.Counters.Add("stalled", 1)
	default:
	}
	go p.Slots.Release(a.server.Name, a.lineage.Stream, outcome.release(), a.tokenTime())
	p.Versions.Observe(Sample{
		Route:   g.Spec.Route,
		Version: a.lineage.Version,
		Server:  a.server.Name,
		Failed:  outcome == resultFailed,
		First:   a.firstTime,
		Token:   a.tokenTime(),
		Tokens:  a.tokens,
		Load:    a.load,
	})
}

// implicate suspects a request of having crashed the server it was lost at, if
// the server's process is seen to be gone. A stream that broke for another
// reason, such as a cut network, is no evidence.
func (p *Primary) implicate(ctx context.Context, g *Generation, a *attempt) {
	if !p.died(ctx, a) {
		return
	}
	s := p.Book.Implicate(rwpoison.Fingerprint(g.Spec.Fingerprint), a.server.Name, a.isolated && !a.cleared)
	p.Log.V(1).Info("request implicated", "generation", Text(g.Spec.ID), "servers", s.Servers)
	p.trials.unproven(g)
	p.Tell(g.Spec.ID, s)
}

// died reports whether the process that ran the attempt is gone: nothing listens
// at its address, or another process does.
func (p *Primary) died(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		load, err := p.Engines.Load(ctx, a.server.Address)
		switch {
		case err == nil:
			return a.incarnation != "" && rwslot.Short(load.Incarnation) != a.incarnation
		case rwslot.Refused(err):
			return true
		case ctx.Err() != nil:
			return false
		}
		// A dying process may still accept a connection, and break it.
		rwtime.Sleep(ctx, probePause)
	}
}

func streamName(g *Generation, attempt int) string {
	return fmt.Sprintf("%s-%d-%04x", Text(g.Spec.ID), attempt, rand.Uint32()&0xffff)
}

// limitReached reports whether the journal holds all tokens that were asked for.
func limitReached(g *Generation) bool {
	count, _, _ := g.Journal.State()
	return count >= g.Spec.Limit
}

func finishOf(reason string) rwtoken.Finish { return rwtoken.Finish{Reason: reason} }

// patience is the longest wait for a slot.
func patience(g *Generation, route rwtree.NamedRoute, resume bool) time.Duration {
	wait := route.Patience.Or(rwtree.DefaultPatience)
	if resume {
		wait = resumePatience
	}
	return max(0, min(wait, time.Until(g.Spec.Deadline)))
}

const resumePatience = 10 * time.Second
