package rwforward

import (
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwroute"
)

// A request that is accepted during a shutdown should end within the grace period: otherwise its
// caller loses the answer, or its outcome. One that runs at most once is refused at once if it
// may not, as it has not run and another instance can serve it.
//
// A stream is refused only after the load balancer has noticed the shutdown. Until then callers
// come here by no choice of theirs and have few attempts: one that is cut late and goes on elsewhere
// from its copy has more of its answer than one that is refused and may meet another instance
// that stops.

// graceMargin is the factor of the estimated time of a stream that must be left of the grace
// period. The estimate is an average.
const graceMargin = 1.2

// stoppingError is returned for a request that may not end within the grace period.
func stoppingError(left time.Duration) error {
	return rwerror.New(rwerror.KindUnavailable, "retry at another instance", "this instance is stopping in %s, before the request may have ended", max(0, left).Round(time.Millisecond)).WithRetryAfter(shortRetryAfter)
}

// graceLeft returns what is left of the grace period, and whether the instance is shutting
// down.
func (c *call) graceLeft() (time.Duration, bool) {
	if c.f.GraceLeft == nil {
		return 0, false
	}
	return c.f.GraceLeft()
}

// fitGracePeriod limits the request to what is left of the grace period. It refuses a request
// that runs at most once and may take longer. Streams are checked when their server is known,
// see fitStream.
func (c *call) fitGracePeriod() error {
	left, stopping := c.graceLeft()
	if !stopping || c.route.Kind == rwroute.KindStream || c.remaining() <= left {
		return nil
	}
	if c.route.Kind == rwroute.KindOnce {
		return stoppingError(left)
	}
	c.deadline, c.routeTimeoutApplies, c.graceApplies = time.Now().Add(left), true, true
	return nil
}

// fitRestOfGracePeriod is fitGracePeriod once the body has been read. It also refuses an
// idempotent request that can hardly end within what is left.
func (c *call) fitRestOfGracePeriod() error {
	if err := c.fitGracePeriod(); err != nil {
		return err
	}
	if c.graceApplies && c.remaining() < c.route.TargetLatency {
		return stoppingError(c.remaining())
	}
	return nil
}

// fitStream refuses a stream before its first attempt if the load balancer has noticed the
// shutdown, and the stream may not end within the grace period. first is the time until its first event.
func (s *stream) fitStream(first time.Duration) error {
	left, stopping := s.graceLeft()
	if !stopping || s.attempts > 0 || s.f.Drained == nil || !s.f.Drained() {
		return nil
	}
	output := float64(s.info.MaxOutput)
	if s.info.Resumed {
		output = max(0, output-float64(s.info.Cursor)*s.f.Directory.EventTokens())
	}
	expected := first + time.Duration(output*float64(s.f.Directory.TokenTime()))
	if time.Duration(graceMargin*float64(expected)) <= left {
		return nil
	}
	return stoppingError(left)
}

// timeToFirstEvent estimates the time until the first event of an attempt.
func (s *stream) timeToFirstEvent(target attemptTarget) time.Duration {
	return rwpick.TimeToFirstEvent(target.server, rwpick.Need{Prefill: target.prefillTokens}, s.f.Directory.PrefillRate())
}
