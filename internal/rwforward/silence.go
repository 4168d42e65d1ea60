package rwforward

import (
	"time"

	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwrelay"
	"ragwortwall/internal/rwtime"
)

// Waiting for servers when a stream can't go on elsewhere.
const (
	// silenceCheckInterval is the time between two checks whether a stream whose server is
	// silent can move to another one.
	silenceCheckInterval = 50 * time.Millisecond
	// maxUnreachable is how long a stream stays at a silent server that accepts no
	// connections. Sound servers are silent for a second or so.
	maxUnreachable = 3 * time.Second
	// minServerWait and maxServerWait bound the pause before a stream that has begun is
	// tried again although no server had room. The pause doubles each time.
	minServerWait = 200 * time.Millisecond
	maxServerWait = 1600 * time.Millisecond
)

// silencePolicy returns the function that decides how long to wait for a silent server.
// It ends the attempt if the server stalls or is unreachable and another one can take
// over. Otherwise the server's silence is borne: it may go on.
func (s *stream) silencePolicy(stalls *rwrelay.StallDetector, server string, address string) rwlink.SilenceFunc {
	kept := false
	return func(silent time.Duration) (time.Duration, error) {
		// A server may send bytes that are no events.
		silent = max(silent, stalls.Waiting())
		step, wait := stalls.Judge(silent)
		if step == rwrelay.StepWait {
			return wait, nil
		}
		// A connection over a path that is broken since may hang for good.
		unreachable := s.lostWithPath() || s.f.Probe.Check(address, stalls.ProbeSince(silent)) == rwlink.ProbeUnreachable
		if step == rwrelay.StepProbe && !unreachable {
			return wait, nil
		}
		cause := errHung
		if unreachable {
			cause = errUnreachable
		}
		if s.canMove(unreachable) || unreachable && silent > maxUnreachable {
			return 0, cause
		}
		if !kept {
			kept = true
			s.f.Counters.increment("silences_borne")
			s.f.Log.Info("waiting for a silent server", "request", s.info.ID, "server", server, "cause", cause.Error(), "events", s.eventsSent,
				"silent", silent.Seconds(), "sent", s.attempts)
		}
		return silenceCheckInterval, nil
	}
}

// canMove reports whether another server can take over now. The last attempt is kept for
// the loss of the server, unless it is unreachable: a silent one may go on.
func (s *stream) canMove(unreachable bool) bool {
	if !s.route.Resumable || s.remaining() <= 0 || !s.attemptsLeft() {
		return false
	}
	if !unreachable && s.attemptsMade()+1 >= s.route.Attempts {
		return false
	}
	_, ok := s.chooseTarget(s.readyServers())
	return ok
}

// attemptsLeft reports whether the stream may be sent to another server.
func (s *stream) attemptsLeft() bool {
	return !s.final && s.attemptsMade() < max(1, s.route.Attempts)
}

// attemptsMade returns how many attempts count. While the stream has not begun, refusals
// do, so that its caller is refused soon.
func (s *stream) attemptsMade() int {
	if s.headerSent {
		return s.attempts - s.refusals
	}
	return s.attempts
}

// refusedOften reports whether so many servers have refused the stream that each further
// one is asked only after a pause and with a retry from the budget.
func (s *stream) refusedOften() bool { return s.refusals >= max(1, s.route.Attempts) }

// awaitServer waits before a stream that has begun is tried again at any server, also at
// those that were silent or had no room. It returns false if the stream can't go on.
func (s *stream) awaitServer(cause error) bool {
	if !s.headerSent || !s.route.Resumable || !s.attemptsLeft() || s.remaining() <= 0 {
		return false
	}
	if s.serverWait == 0 {
		s.f.Log.Info("waiting for a server with room", "request", s.info.ID, "cause", cause.Error(), "events", s.eventsSent, "sent", s.attempts)
	}
	s.serverWait = min(max(minServerWait, 2*s.serverWait), maxServerWait)
	clear(s.tried)
	return rwtime.Sleep(s.r.Context(), min(s.serverWait, s.remaining()))
}
