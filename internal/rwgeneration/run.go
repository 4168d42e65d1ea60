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

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	outcomeFinished   attemptOutcome = iota // the answer is complete
	outcomeServerLost                       // the server was lost; continue on another
	outcomeStalled                          // the server stopped sending tokens; continue at the reserved slot on another
	outcomeFailed                           // the server rejected the request or failed it
	outcomeBusy                             // the server had no capacity in spite of the slot
	outcomePaused                           // the readers are too far behind
	outcomeStopped                          // the generation was cancelled or its deadline passed
	outcomeStreamGone                       // the stream to resume does not exist any more
)

// run makes attempts until the generation ends.
func (p *Primary) run(ctx context.Context, g *Generation) {
	avoid := rwset.New[string]()
	var lastErr error
	next := &reservation{}
	for retries := 0; ; retries++ {
		if err := p.checkAttempt(ctx, g, retries, lastErr, next.slot != nil); err != nil {
			next.release()
			p.abort(g, err)
			return
		}
		a, err := p.place(ctx, g, avoid, next.slot)
		if err != nil {
			p.abort(g, p.finalError(ctx, err))
			return
		}
		next = p.newReservation(g, avoid, a.server.Name, retries+1 < maxAttempts)
		outcome, err := p.runAttempt(ctx, g, a, next)
		moving := g.isMoving()
		if outcome != outcomeStalled || moving {
			next.release()
		}
		if outcome != outcomeFinished && moving {
			p.dropMoved(g, a)
			return
		}
		p.finishAttempt(ctx, g, a, outcome)
		switch outcome {
		case outcomeFinished:
			p.recordFinished(g)
			return
		case outcomeStopped:
			p.abort(g, p.finalError(ctx, err))
			return
		case outcomeServerLost, outcomeStalled, outcomeFailed, outcomeBusy, outcomeStreamGone:
		case outcomePaused:
			p.Counters.Add("pauses", 1)
			retries--
			if g.waitForLag(ctx, maxResumeLag()) != nil {
				p.abort(g, p.finalError(ctx, nil))
				return
			}
			continue
		}
		lastErr = err
		if outcome == outcomeFailed {
			g.failedVersion = a.lineage.Version
		}
		if outcome == outcomeStreamGone {
			continue
		}
		avoid.Add(a.server.Name)
		// Without a reader this may be a former primary whose process was paused while
		// another instance took over, so no attempt is made before there is a reader.
		if g.waitForReader(ctx) != nil {
			next.release()
			p.abort(g, p.finalError(ctx, nil))
			return
		}
		p.Log.Info("attempt failed", "generation", FormatID(g.Spec.ID), "organisation", g.Spec.Organisation,
			"server", a.server.Name, "attempt", a.lineage.Attempt, "cause", fmt.Sprint(err))
	}
}

// maxResumeLag returns the lag, in tokens, down to which a paused generation waits before
// it continues.
func maxResumeLag() int { return maxLagBytes / bytesPerToken / 4 }

// dropMoved removes a generation that moves to another instance. It stops renewing
// the lease without releasing it, since the other instance continues the stream.
func (p *Primary) dropMoved(g *Generation, a *attempt) {
	p.Slots.Drop(a.lineage.Stream)
	p.trials.removeLeader(g)
	p.remove(g)
	p.Counters.Add("moved", 1)
}

// checkAttempt returns an error if no further attempt may be made. One with a reserved slot
// has taken its token of the retry budget.
func (p *Primary) checkAttempt(ctx context.Context, g *Generation, retries int, lastErr error, reserved bool) error {
	if ctx.Err() != nil {
		return p.finalError(ctx, nil)
	}
	if e := p.Suspicions.QuarantineError(rwpoison.Fingerprint(g.Spec.Fingerprint)); e != nil {
		p.Counters.Add("quarantined", 1)
		return e.WithRan(rwerror.RanYes)
	}
	if retries == 0 {
		return nil
	}
	if retries >= maxAttempts {
		return rwerror.As(lastErr)
	}
	count, _, _ := g.Journal.State()
	if count > 0 {
		p.Counters.Add("resumes", 1)
		return nil
	}
	// No token was delivered, so this is a retry and needs a token of the retry budget.
	if !reserved && !p.Budget.Spend(g.Spec.Route) {
		p.Counters.Add("unbudgeted", 1)
		return rwerror.As(lastErr)
	}
	p.Counters.Add("retries", 1)
	return nil
}

// finalError returns the error that ends a generation: for a passed deadline, for
// cancellation, or else err.
func (p *Primary) finalError(ctx context.Context, err error) error {
	if ctx.Err() == context.DeadlineExceeded {
		return rwerror.New(rwerror.KindTimeout, "retry with a longer deadline", "the request's deadline passed").WithRan(rwerror.RanUnknown)
	}
	if ctx.Err() != nil {
		return rwerror.New(rwerror.KindAnswerLost, "send the request again", "the generation was cancelled because it had no reader").WithRan(rwerror.RanUnknown)
	}
	return err
}

// abort ends the generation with err and removes it, so that the caller can retry the
// request.
func (p *Primary) abort(g *Generation, err error) {
	e := rwerror.As(err)
	p.Log.Info("generation failed", "generation", FormatID(g.Spec.ID), "organisation", g.Spec.Organisation, "cause", e.Error())
	p.remove(g)
	p.trials.removeLeader(g)
	if e.Kind == rwerror.KindOverloaded || e.Kind == rwerror.KindUnavailable {
		p.Refusals.Record(refusalKey(g.Spec), e.RetryAfter)
		p.Counters.Add("refusals", 1)
	}
	g.fail(e)
}

func (p *Primary) recordFinished(g *Generation) {
	p.trials.removeLeader(g)
	if s, ok := p.Suspicions.Complete(rwpoison.Fingerprint(g.Spec.Fingerprint)); ok {
		go p.NotifySuspicion(g.Spec.ID, s)
	}
	p.Refusals.Forget(refusalKey(g.Spec))
	p.Counters.Add("finished", 1)
}

// clearSuspicion clears the suspicion of a request that ran without a crash.
func (p *Primary) clearSuspicion(g *Generation) {
	p.Suspicions.Clear(rwpoison.Fingerprint(g.Spec.Fingerprint))
}

// finishAttempt releases the slot and reports the outcome of an attempt.
func (p *Primary) finishAttempt(ctx context.Context, g *Generation, a *attempt, outcome attemptOutcome) {
	switch outcome {
	case outcomeServerLost:
		p.Counters.Add("lost", 1)
		p.implicate(ctx, g, a)
	case outcomeStalled:
		p.Counters.Add("stalled", 1)
		go p.judgeLater(g, a)
	default:
	}
	go p.Slots.Release(a.server.Name, a.lineage.Stream, outcome.slotOutcome(), a.meanTokenTime())
	p.Versions.RecordAttempt(Sample{
		Route:            g.Spec.Route,
		Version:          a.lineage.Version,
		Server:           a.server.Name,
		Failed:           outcome == outcomeFailed,
		TimeToFirstToken: a.timeToFirstToken,
		MeanTokenTime:    a.meanTokenTime(),
		Tokens:           a.tokens,
		Load:             a.load,
	})
}

// implicate records that a server may have crashed because of the request, if the
// process of the server is gone. If that can't be told, it is recorded as a loss only.
func (p *Primary) implicate(ctx context.Context, g *Generation, a *attempt) {
	switch p.processFate(ctx, a) {
	case fateRuns:
		p.Log.Info("server loss not counted against the request", "generation", FormatID(g.Spec.ID), "server", a.server.Name, "attempt", a.lineage.Attempt, "reason", "responds")
		return
	case fateUnknown:
		go p.judgeLater(g, a)
		return
	case fateEnded:
	}
	p.recordLoss(g, a, "ended")
	s := p.Suspicions.Implicate(rwpoison.Fingerprint(g.Spec.Fingerprint), a.server.Name, a.isolated && !a.cleared)
	p.Log.Info("server crashed while running a request", "generation", FormatID(g.Spec.ID), "organisation", g.Spec.Organisation, "server", a.server.Name,
		"attempt", a.lineage.Attempt, "isolated", a.isolated, "crashes", len(s.Servers), "quarantined", s.Rejected())
	p.trials.markCrashed(g)
	p.NotifySuspicion(g.Spec.ID, s)
}

// judgeLater asks about the process once more after lateJudgement. It is recorded as lost
// unless it runs.
func (p *Primary) judgeLater(g *Generation, a *attempt) {
	time.Sleep(lateJudgement)
	if fate := p.processFate(context.Background(), a); fate != fateRuns {
		p.recordLoss(g, a, fate.String())
	}
}

// lateJudgement is the time after which a server that fell silent is judged. It covers a
// restart, and the time until its owner has reported the new process.
const lateJudgement = 2 * time.Second

// recordLoss records that a server was lost while it ran the request, unless the attempt
// had made progress.
func (p *Primary) recordLoss(g *Generation, a *attempt, cause string) {
	if a.tokens >= rwpoison.ClearTokens {
		return
	}
	s := p.Suspicions.RecordLoss(rwpoison.Fingerprint(g.Spec.Fingerprint), a.server.Name+"/"+a.incarnation)
	p.Log.Info("server lost while running a request", "generation", FormatID(g.Spec.ID), "organisation", g.Spec.Organisation, "server", a.server.Name,
		"attempt", a.lineage.Attempt, "cause", cause, "losses", len(s.Losses), "crashes", len(s.Servers), "quarantined", s.Rejected())
	go p.NotifySuspicion(g.Spec.ID, s)
}

// processFate is what is known of the process that ran an attempt.
type processFate int

const (
	fateUnknown processFate = iota
	fateRuns                // the same process answers
	fateEnded               // connections are refused, or another process answers
)

func (f processFate) String() string {
	return [...]string{"unknown", "runs", "ended"}[f]
}

// processFate asks the server's address about the process that ran the attempt.
func (p *Primary) processFate(ctx context.Context, a *attempt) processFate {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		load, err := p.Engines.Load(ctx, a.server.Address)
		switch {
		case err == nil && a.incarnation == "":
			return fateUnknown
		case err == nil && rwslot.ShortIncarnation(load.Incarnation) == a.incarnation:
			return fateRuns
		case err == nil, rwslot.IsConnectionRefused(err):
			return fateEnded
		case ctx.Err() != nil:
			return fateUnknown
		}
		// A process that is terminating may accept a connection and then break it.
		rwtime.Sleep(ctx, probeRetryInterval)
	}
}

func streamName(g *Generation, attempt int) string {
	return fmt.Sprintf("%s-%d-%04x", FormatID(g.Spec.ID), attempt, rand.Uint32()&0xffff)
}

// limitReached reports whether the journal holds as many tokens as were requested.
func limitReached(g *Generation) bool {
	count, _, _ := g.Journal.State()
	return count >= g.Spec.MaxTokens
}

func finishFor(reason string) rwtoken.Finish { return rwtoken.Finish{Reason: reason} }

// maxSlotWait returns how long to wait for a slot.
func maxSlotWait(g *Generation, route rwtree.NamedRoute, resume bool) time.Duration {
	wait := route.SlotTimeout.Or(rwtree.DefaultSlotTimeout)
	if resume {
		wait = maxResumeSlotWait
	}
	return max(0, min(wait, time.Until(g.Spec.Deadline)))
}

const maxResumeSlotWait = 10 * time.Second
