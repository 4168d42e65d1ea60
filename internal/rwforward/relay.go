package rwforward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwrelay"
	"ragwortwall/internal/rwroute"

	"github.com/juju/errors"
)

// attempt runs the stream on one server until the response ends or fails. It reports
// whether a complete response was sent to the caller: the whole stream, or the server's
// error response.
func (s *stream) attempt(target attemptTarget) (bool, error) {
	s.tried[target.server.ID] = true
	if err := s.checkKey(); err != nil && !s.headerSent {
		s.final = true
		return false, err
	}
	if err := s.checkQuarantine(); err != nil {
		s.final = true
		return false, err
	}
	if err := s.checkParts(target.server.Entry); err != nil {
		s.final = true
		return false, err
	}
	ctx, cancel := context.WithTimeout(s.r.Context(), s.remaining())
	defer cancel()
	// Use a new connection: a restarted server may have dropped an idle one.
	conn, _, err := s.f.Pool.Get(ctx, target.server.Address, true, dialTimeout)
	if err != nil {
		s.relayed = false
		s.markServerLost(target.server, err)
		s.logAttempt("server unreachable", target.server.ID, err)
		return false, unreachableError(target.server.ID, err)
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	s.relayed = conn.Relayed()
	s.attempts++
	s.f.Counters.countSent(rwroute.KindStream)
	s.recordPlacement(target)
	s.beginVersionAttempt(target.server)
	defer s.versionAttempt.Cancel()
	info := s.upstreamInfo(target.server.ID)
	info.Cursor, info.Resumed = s.resumeCursor()
	info.KVSource, info.KVRun = target.kvSource, target.kvRun
	if target.placement.Copied && s.service.Engine.Copies {
		info.CopyTarget = target.placement.Copy.Address
	}
	done, err := s.relay(conn, target, info)
	if done && err == nil && stop() {
		s.f.Pool.Put(conn)
		return true, nil
	}
	conn.Close()
	return done, err
}

// unreachableError is returned if no connection to a server could be opened.
func unreachableError(server string, cause error) error {
	return rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After", "backend server %s could not be reached: %v", server, cause).WithRetryAfter(shortRetryAfter)
}

// relay sends the request to one server and passes the events of the response on to
// the caller.
func (s *stream) relay(conn *rwlink.Conn, target attemptTarget, info UpstreamInfo) (bool, error) {
	sentAt := time.Now()
	s.progress = responseProgress{}
	stalls := rwrelay.NewStallDetector(s.timeToFirstEvent(target), s.route.MaxEventGap)
	stalls.TargetLatency = s.route.TargetLatency
	response, _, err := conn.Exchange(s.upstreamRequest(info), s.silencePolicy(stalls, target.server.ID, target.server.Address), s.ownsResponse)
	if err != nil {
		return false, s.recordInterruption(target, err)
	}
	defer response.Body.Close()
	reply := s.f.Wire.ParseResponse(response.StatusCode, response.Header)
	s.observeServer(target.server.Entry, response.StatusCode, reply, sentAt)
	if reply.NotRun {
		switch {
		case response.StatusCode == http.StatusMisdirectedRequest:
			s.f.Directory.RecordMisdirected(target.server.ID)
			if s.f.Versions.VersionFilter(s.service.Name, s.info.ID) == nil {
				s.f.Replacements.VerifyAsync(target.server.Entry, reply.ServerID)
			}
		case target.kvSource == "":
			s.f.Directory.RecordRefusal(target.server.ID, reply.Load)
		}
		s.logAttempt("request not run by the server", target.server.ID, errors.Errorf("status %d", response.StatusCode))
		s.handleNotRun(target)
		return false, notRunError(target.server.ID)
	}
	if response.StatusCode >= 300 {
		return s.handleErrorResponse(response, target, reply)
	}
	if !reply.Signed || response.Header.Get("Content-Encoding") != "" {
		return false, s.recordInterruption(target, errInvalidResponse)
	}
	if s.headerSent && !sameMediaType(response.Header, s.head.Header) {
		return false, s.recordInterruption(target, errOtherMediaType)
	}
	s.progress.begunAt = time.Now()
	s.head = response
	events := rwrelay.NewEvents(response.Body)
	reached := false // the server sent the last event that the caller has
	for {
		stalls.Wait()
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !s.confirmsEnd(reached) {
				return false, s.rejectEnd(target)
			}
			s.writeHeader()
			s.recordPartCompletion(target.server.Entry, response)
			s.recordCompletion(target.server.ID, reply)
			return true, nil
		}
		if err != nil {
			return false, s.recordInterruption(target, err)
		}
		if !stalls.Begun() {
			s.countFirstEvent(target)
			s.recordFirstEvent(target, time.Since(sentAt))
		}
		stalls.RecordEvent()
		s.progress.events++
		s.recordPartProgress(target.server.Entry)
		if err := s.forwardEvent(event); err != nil {
			return false, s.recordInterruption(target, err)
		}
		last, _ := s.sequence.Last()
		reached = event.HasID && event.ID == last
	}
}

// handleNotRun ends and clears the run after a server did not run the request. If the
// server was to use a copy that it does not have, it may still be asked to run the
// stream from the start.
func (s *stream) handleNotRun(target attemptTarget) {
	if target.kvSource != "" {
		delete(s.tried, target.server.ID)
	}
	s.refusals++
	s.refusedLast = true
	s.run.Copy = ""
	s.run.Ended = true
	s.publishRun()
	s.run = rwbackend.Run{}
}

// recordInterruption records that a stream failed on a server, and returns the error
// for the caller. If the caller left, it only returns errCallerLeft.
func (s *stream) recordInterruption(target attemptTarget, cause error) error {
	callerLeft := s.r.Context().Err() != nil || errors.Is(cause, errCallerLeft)
	s.reportLoss(target.server.Entry, cause)
	if callerLeft {
		return errCallerLeft
	}
	if s.remaining() > 0 {
		s.markServerLost(target.server, cause)
		if !s.pathMayBeLost(cause) {
			s.recordVersionOutcome(target.server, true, 0)
		}
	}
	s.final = s.final || !s.sequence.Resumable()
	s.f.Counters.countStreamLost(interruptionCause(cause))
	s.f.Log.Info("stream interrupted", "request", s.info.ID, "server", target.server.ID, "zone", target.server.Zone, "cause", cause.Error(),
		"events", s.eventsSent, "copy", s.run.Copy, "sent", s.attempts, "took", time.Since(s.startedAt).Seconds(), "parts", s.partNames(), "progress", s.progress.String())
	return rwerror.New(rwerror.KindOutcomeUnknown, "retry with the id of the last event",
		"the stream from backend server %s was interrupted: %v", target.server.ID, cause).WithRan(rwerror.RanUnknown)
}

// interruptionCause returns the metric label for the cause of an interruption.
func interruptionCause(cause error) string {
	switch {
	case errors.Is(cause, errHung):
		return "hung"
	case errors.Is(cause, errUnreachable):
		return "gone"
	case errors.Is(cause, errEventGap):
		return "gap"
	case errors.Is(cause, errForeignEvent), errors.Is(cause, errOtherMediaType):
		return "foreign"
	default:
		return "broken"
	}
}

// handleErrorResponse handles a response with an error status. It passes the response
// on to the caller unless another server may be tried, a response header was sent
// already, or the response is not signed.
func (s *stream) handleErrorResponse(response *http.Response, target attemptTarget, reply ResponseInfo) (bool, error) {
	body, err := s.readWhole(response.Body)
	if err != nil {
		return false, s.recordInterruption(target, err)
	}
	if reply.Signed && response.StatusCode < http.StatusInternalServerError {
		s.recordSurvival(target.server.ID, response.StatusCode)
	}
	s.f.Directory.RecordResponse(target.server.ID, true, 0, reply.Load)
	s.recordVersionOutcome(target.server, true, 0)
	s.logAttempt("failed", target.server.ID, errors.Errorf("status %d", response.StatusCode))
	retry := response.StatusCode >= http.StatusInternalServerError && s.route.Resumable && s.attempts < s.route.Attempts
	if s.headerSent || retry || !reply.Signed {
		return false, rwerror.New(rwerror.KindFailed, "retry the request", "backend server %s responded with status %d", target.server.ID, response.StatusCode).WithRan(rwerror.RanYes)
	}
	return true, s.writeResponse(serverResponse{server: target.server.ID, status: response.StatusCode, header: response.Header, body: body, reply: reply})
}

// writeHeader sends the status and headers of the latest response to the caller, unless
// it has got those of an earlier one.
func (s *stream) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.w.Header()
	for name, values := range s.f.Wire.ResponseHeaders(s.head.Header) {
		header[name] = values
	}
	s.w.WriteHeader(s.head.StatusCode)
}

// sameMediaType reports whether two responses have the same media type, as far as both name
// one.
func sameMediaType(a, b http.Header) bool {
	first, second := mediaType(a), mediaType(b)
	return first == "" || second == "" || first == second
}

// mediaType returns the media type of a response without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// recordFirstEvent records and publishes that a server has sent its first event.
func (s *stream) recordFirstEvent(target attemptTarget, took time.Duration) {
	s.run.Started = true
	s.urgency = s.urgency.WithBegun()
	s.publishRun()
	s.f.Directory.RecordFirstEvent(target.server.ID)
	s.recordVersionOutcome(target.server, false, took)
	if target.server.Backlog == 0 && target.kvSource == "" && !s.info.Resumed {
		s.prefillRate = s.f.Directory.RecordPrefill(target.prefillTokens, took)
	}
}

// forwardEvent writes an event to the caller, unless the caller already has it. It
// returns errEventGap if events before it are missing, errForeignEvent if it is not of the
// stream, and errCallerLeft if the write fails.
func (s *stream) forwardEvent(event rwrelay.Event) error {
	switch s.sequence.Judge(event) {
	case rwrelay.VerdictPass:
	case rwrelay.VerdictDrop:
		return nil
	case rwrelay.VerdictGap:
		return errEventGap
	case rwrelay.VerdictForeign:
		return errForeignEvent
	}
	s.copies.ensureCopy(s)
	s.writeHeader()
	if _, err := s.w.Write(event.Raw); err != nil {
		return errCallerLeft
	}
	s.eventsSent++
	s.serverWait = 0
	now := time.Now()
	if s.eventsSent > 1 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if s.eventsSent == 1 {
		s.firstEventAt = now
		s.f.Counters.recordFirstEvent(time.Since(s.startedAt))
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}

// rejectEnd handles a server that ends a resumed stream without a new event or the last one that
// the caller has: either the caller already has all events, or the server lost its position. The
// next server is asked for the last event again, see resumeCursor.
func (s *stream) rejectEnd(target attemptTarget) error {
	if !s.endRejected {
		s.endRejected, s.rejectedServer = true, target.server.ID
	}
	s.logAttempt("stream ended before the caller's last event", target.server.ID, nil)
	s.reportLoss(target.server.Entry, io.EOF)
	return rwerror.New(rwerror.KindOutcomeUnknown, "retry with the id of the last event",
		"backend server %s ended the stream before the last event that the caller has", target.server.ID).WithRan(rwerror.RanUnknown)
}

// recordCompletion records the end of a complete stream.
func (s *stream) recordCompletion(server string, reply ResponseInfo) {
	s.recordSurvival(server, http.StatusOK)
	s.f.Directory.RecordResponse(server, false, 0, reply.Load)
	first := time.Duration(0)
	if s.eventsSent > 0 {
		first = s.firstEventAt.Sub(s.startedAt)
	}
	if s.eventsSent > 0 && s.attempts == 1 && !s.info.Resumed && s.info.MaxOutput > 0 {
		s.f.Directory.RecordTokenTime(s.info.MaxOutput, time.Since(s.firstEventAt))
		s.f.Directory.RecordEvents(s.info.MaxOutput, s.eventsSent)
	}
	s.f.Counters.recordLongestPause(s.longestPause)
	s.f.Counters.countAnswered(rwroute.KindStream, http.StatusOK, time.Since(s.startedAt))
	s.f.Log.V(rwlog.Routine).Info("stream ended", "request", s.info.ID, "server", server, "events", s.eventsSent, "sent", s.attempts,
		"first", first.Seconds(), "pause", s.longestPause.Seconds(), "took", time.Since(s.startedAt).Seconds(), "parts", s.partNames())
}
