package rwforward

import (
	"context"
	"io"
	"net/http"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwrelay"
	"ragwortwall/internal/rwroute"

	"github.com/juju/errors"
)

// attempt runs the stream at one server until it ends there. It reports whether
// the caller has its whole answer, or one that is final.
func (s *stream) attempt(n attemptTarget) (bool, error) {
	s.tried[n.server.ID] = true
	if err := s.checkKey(); err != nil && !s.headerSent {
		s.attempts = s.route.Attempts // final: nothing else is tried
		return false, err
	}
	ctx, cancel := context.WithTimeout(s.r.Context(), s.remaining())
	defer cancel()
	// A kept connection may have been dropped by a server that has started again.
	conn, _, err := s.f.Pool.Get(ctx, n.server.Address, true, dialTimeout)
	if err != nil {
		s.markServerLost(n.server)
		s.logAttempt("not reached", n.server.ID, err)
		return false, unreachableError(n.server.ID, err)
	}
	stop := context.AfterFunc(ctx, conn.End)
	defer stop()
	s.attempts++
	s.f.Count.countSent(rwroute.KindStream)
	s.recordPlacement(n)
	o := s.call.upstreamInfo(n.server.ID)
	o.Cursor, o.Resumed = s.sequence.Last()
	o.From, o.Run = n.kvSource, n.kvRun
	if n.placement.Copied && s.service.Engine.Copies {
		o.Copy = n.placement.Copy.Address
	}
	done, err := s.relay(conn, n, o)
	if done && err == nil && stop() {
		s.f.Pool.Put(conn)
		return true, nil
	}
	conn.Close()
	return done, err
}

func unreachableError(server string, cause error) error {
	return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After", "backend server %s could not be reached: %v", server, cause).WithRetryAfter(shortRetryAfter)
}

// relay hands on what one server sends.
func (s *stream) relay(conn *rwlink.Conn, n attemptTarget, o Order) (bool, error) {
	began := time.Now()
	expected := rwpick.FirstBy(n.server, rwpick.Need{Read: n.prefillTokens}, s.f.Directory.ReadRate())
	pace := rwrelay.NewPace(expected, s.route.Pause)
	response, _, err := conn.Exchange(s.upstreamRequest(o), s.silencePolicy(pace, n.server.Address), s.ownsResponse)
	if err != nil {
		return false, s.recordInterruption(n, err)
	}
	defer response.Body.Close()
	reply := s.f.Wire.Reply(response.StatusCode, response.Header)
	if reply.NotRun {
		switch {
		case response.StatusCode == http.StatusMisdirectedRequest:
			s.f.Directory.Misdirected(n.server.ID)
			if s.f.Versions.Allows(s.service.Name, s.info.ID) == nil {
				s.f.Newcomers.Discovered(n.server.Entry, reply.Server)
			}
		case n.kvSource == "":
			s.f.Directory.Refused(n.server.ID, reply.Load)
		}
		s.logAttempt("not run", n.server.ID, errors.Errorf("status %d", response.StatusCode))
		s.handleNotRun(n)
		return false, serverFullError(n.server.ID)
	}
	if response.StatusCode >= 300 {
		return s.handleErrorResponse(response, n, reply)
	}
	if !reply.Signature || response.Header.Get("Content-Encoding") != "" {
		return false, s.recordInterruption(n, errInvalidResponse)
	}
	s.writeHeader(response)
	events := rwrelay.NewEvents(response.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if _, started := s.sequence.Last(); started && !pace.Begun() && s.emptyEndAttempt == 0 {
				return false, s.rejectEmptyEnd(n)
			}
			s.recordCompletion(n.server.ID, reply)
			return true, nil
		}
		if err != nil {
			return false, s.recordInterruption(n, err)
		}
		if !pace.Begun() {
			s.recordFirstEvent(n, time.Since(began))
		}
		pace.Event()
		if err := s.forwardEvent(event); err != nil {
			return false, s.recordInterruption(n, err)
		}
	}
}

// handleNotRun looks again for a place after a refusal: a copy that is not there is
// not asked for twice, but its server may still run the stream from the start.
func (s *stream) handleNotRun(n attemptTarget) {
	if n.kvSource != "" {
		delete(s.tried, n.server.ID)
	}
	s.run.Copy = ""
	s.run.Ended = true
	s.f.Notify(s.run)
	s.run = rwbackend.Run{}
}

// silencePolicy judges the silence of a server. The error ends the attempt.
func (s *stream) silencePolicy(pace *rwrelay.Pace, address string) rwlink.Patience {
	return func(silent time.Duration) (time.Duration, error) {
		step, wait := pace.Judge(silent)
		if step == rwrelay.StepHung {
			return 0, errHung
		}
		if step == rwrelay.StepProbe && s.f.Probe.Ask(address, pace.ProbeSince(silent)) == rwlink.FindingLost {
			return 0, errUnreachable
		}
		return wait, nil
	}
}

// recordInterruption notes that a server was lost in the middle of the stream.
func (s *stream) recordInterruption(n attemptTarget, cause error) error {
	if s.r.Context().Err() != nil {
		return errCallerLeft
	}
	if s.remaining() > 0 {
		s.markServerLost(n.server)
		s.reportCrash(n.server.Entry)
		s.recordVersionOutcome(n.server, true, 0)
	}
	s.f.Count.countStreamLost(interruptionCause(cause))
	s.f.Log.Info("stream broken off", "request", s.info.ID, "server", n.server.ID, "zone", n.server.Zone, "cause", cause.Error(),
		"events", s.eventsSent, "copy", s.run.Copy, "sent", s.attempts, "took", time.Since(s.call.startedAt).Seconds())
	return rwerror.New(rwerror.KindUnknown, "send it again with the id of the last event",
		"backend server %s was lost: %v", n.server.ID, cause).WithRan(rwerror.RanUnknown)
}

// interruptionCause names the cause of a loss in counters.
func interruptionCause(cause error) string {
	switch {
	case errors.Is(cause, errHung):
		return "hung"
	case errors.Is(cause, errUnreachable):
		return "gone"
	case errors.Is(cause, errEventGap):
		return "gap"
	default:
		return "broken"
	}
}

// handleErrorResponse handles an answer that is no stream.
func (s *stream) handleErrorResponse(response *http.Response, n attemptTarget, reply Reply) (bool, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return false, s.recordInterruption(n, err)
	}
	s.f.Directory.Answered(n.server.ID, true, 0, reply.Load)
	s.recordVersionOutcome(n.server, true, 0)
	s.logAttempt("failed", n.server.ID, errors.Errorf("status %d", response.StatusCode))
	again := response.StatusCode >= http.StatusInternalServerError && s.route.Resumable && s.attempts < s.route.Attempts
	if s.headerSent || again || !reply.Signature {
		return false, rwerror.New(rwerror.KindFailed, "send it again", "backend server %s answered %d", n.server.ID, response.StatusCode).WithRan(rwerror.RanYes)
	}
	return true, s.writeResponse(serverResponse{server: n.server.ID, status: response.StatusCode, header: response.Header, body: body, reply: reply})
}

// writeHeader hands on the writeHeader of the first server's answer.
func (s *stream) writeHeader(response *http.Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.w.Header()
	for name, values := range s.f.Wire.Answer(response.Header) {
		header[name] = values
	}
	s.w.WriteHeader(response.StatusCode)
}

// recordFirstEvent notes the first event of an attempt.
func (s *stream) recordFirstEvent(n attemptTarget, took time.Duration) {
	s.run.Begun = true
	s.f.Notify(s.run)
	s.f.Directory.Heard(n.server.ID)
	s.recordVersionOutcome(n.server, false, took)
	if n.server.Backlog == 0 && n.kvSource == "" && !s.info.Resumed {
		s.f.Directory.MeasureRead(n.prefillTokens, took)
	}
}

// forwardEvent hands on an event that the caller does not have.
func (s *stream) forwardEvent(event rwrelay.Event) error {
	switch s.sequence.Judge(event) {
	case rwrelay.VerdictPass:
	case rwrelay.VerdictDrop:
		return nil
	case rwrelay.VerdictGap:
		return errEventGap
	}
	s.copies.ensureCopy(s)
	if _, err := s.w.Write(event.Raw); err != nil {
		return errCallerLeft
	}
	s.eventsSent++
	now := time.Now()
	if s.eventsSent > 1 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if s.eventsSent == 1 {
		s.firstEventAt = now
		s.f.Count.recordFirstEvent(time.Since(s.call.startedAt))
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}

// rejectEmptyEnd passes over a server that ends a stream which goes on there without one
// event: either the caller has all, or the server has lost its place. One that does
// so is not believed while another can be asked.
func (s *stream) rejectEmptyEnd(n attemptTarget) error {
	s.emptyEndAttempt = s.attempts
	s.logAttempt("end without events", n.server.ID, nil)
	return rwerror.New(rwerror.KindUnknown, "send it again with the id of the last event",
		"backend server %s ended the stream without an event", n.server.ID).WithRan(rwerror.RanUnknown)
}

// recordCompletion notes that the stream has come to its end.
func (s *stream) recordCompletion(server string, reply Reply) {
	s.f.Directory.Answered(server, false, 0, reply.Load)
	first := time.Duration(0)
	if s.eventsSent > 0 {
		first = s.firstEventAt.Sub(s.call.startedAt)
	}
	if s.eventsSent > 0 && s.attempts == 1 && !s.info.Resumed && s.info.Output > 0 {
		s.f.Directory.MeasureToken(s.info.Output, time.Since(s.firstEventAt))
	}
	s.f.Count.recordLongestPause(s.longestPause)
	s.f.Count.countAnswered(rwroute.KindStream, http.StatusOK, time.Since(s.call.startedAt))
	s.f.Log.V(rwlog.Routine).Info("stream ended", "request", s.info.ID, "server", server, "events", s.eventsSent, "sent", s.attempts,
		"first", first.Seconds(), "pause", s.longestPause.Seconds(), "took", time.Since(s.call.startedAt).Seconds())
}
