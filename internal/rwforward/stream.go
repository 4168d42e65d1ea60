package rwforward

import (
	"net/http"
	"slices"
	"time"

	"ragwortwall/internal/rwadmit"
	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwrelay"

	"github.com/juju/errors"
)

// stream is the state of one event stream to a caller, which may be served by several
// backend servers in turn.
type stream struct {
	*call
	copies         copyManager
	sequence       *rwrelay.Sequencer // filters events that the caller already has
	identity       string             // of the request's content, see rwbackend.Run.Request
	run            rwbackend.Run      // as last published to the other instances
	revision       int                // of the latest news of the run
	head           *http.Response     // latest response that a server began; its header is sent with the first event
	headerSent     bool               // the caller has received the response header
	eventsSent     int                // events sent to the caller
	firstEventAt   time.Time          // zero before the first event
	lastEventAt    time.Time          // zero before the first event
	longestPause   time.Duration      // between two events, across servers
	prefillRate    int                // see rwbackend.Run.PrefillRate
	lastErr        error              // error of the latest failed attempt
	promptHolders  []string           // ids of the servers that have the prompt cached, see findPromptHolders
	endRejected    bool               // a server's end of the resumed stream was rejected, see rejectEnd
	rejectedServer string             // the first server whose end was rejected, if it may be asked again; empty otherwise
	mayHaveRun     bool               // a server may have run the request
	final          bool               // make no further attempt
	refusals       int                // attempts that the server did not run
	refusedLast    bool               // the latest attempt was one of them
	serverWait     time.Duration      // latest pause of awaitServer; 0 if there was none since the last event
	ceiling        rwadmit.Ceiling    // up to which servers are loaded by the first attempt; zero for no bounds of its own
	noRoom         bool               // nextTarget found no server with room
}

// Causes of an interrupted attempt.
var (
	errHung        = errors.New("the server accepts connections but sends no events")
	errUnreachable = errors.New("the server is unreachable")
	errEventGap    = errors.New("event ids are missing from the stream")
	errCallerLeft  = errors.New("the caller disconnected")

	errForeignEvent   = errors.New("an event without an id is no part of the stream")
	errOtherMediaType = errors.New("the response has another media type than the stream that began")
)

// serveStream handles a request whose response is a stream of events. When a server is
// lost, the stream continues on another one, if possible one that has its KV cache.
func (c *call) serveStream() error {
	c.f.Budget.Deposit(c.service.Name, retryBudgetRatio)
	s := &stream{call: c, sequence: rwrelay.NewSequencer(c.info.Cursor, c.info.Resumed), identity: c.identity()}
	defer s.end()
	if c.info.Resumed {
		c.urgency = c.urgency.WithBegun()
	}
	if c.info.Resumed {
		s.findPromptHolders()
	}
	for {
		target, err := s.awaitTurn()
		if c.r.Context().Err() != nil {
			return s.abortCallerLeft()
		}
		if err != nil {
			return s.abort(err)
		}
		s.ceiling = rwadmit.Ceiling{}
		s.leaveOutCopy(&target)
		done, err := s.attempt(target)
		if done {
			return nil
		}
		if c.r.Context().Err() != nil {
			return s.abortCallerLeft()
		}
		if err != nil {
			s.lastErr = err
			s.mayHaveRun = s.mayHaveRun || rwerror.As(err).Ran != rwerror.RanNo
		}
		if c.remaining() <= 0 {
			return s.abort(s.timeoutError())
		}
		if s.mayHaveRun && !c.route.Resumable {
			return s.abort(s.lastErr)
		}
	}
}

// awaitTarget returns where the next attempt runs. A stream that has begun waits until a
// server has room for it.
func (s *stream) awaitTarget() (attemptTarget, error) {
	for {
		if s.refusedLast && s.refusedOften() {
			s.refusedLast = false
			s.awaitServer(s.lastErr)
		}
		target, err := s.nextTarget()
		if err != nil && s.readmitServer() {
			target, err = s.nextTarget()
		}
		if err == nil || !s.awaitServer(err) {
			return target, err
		}
	}
}

// readmitServer lets the first server whose end of the stream was rejected be asked once more.
// It reports whether there is one.
func (s *stream) readmitServer() bool {
	if s.rejectedServer == "" {
		return false
	}
	delete(s.tried, s.rejectedServer)
	s.rejectedServer = ""
	return true
}

// resumeCursor returns the id of the event after which a server is asked to resume the stream,
// and false if it begins anew. Once an end of the stream was rejected, servers are asked
// for the caller's last event again: one that sends it and then ends the stream has kept its
// position, so that its end can be trusted.
func (s *stream) resumeCursor() (int64, bool) {
	last, started := s.sequence.Last()
	if started && s.endRejected && last > 0 {
		last--
	}
	return last, started
}

// confirmsEnd reports whether a server's end of the stream makes it complete. reached reports
// whether the server sent the last event that the caller has. Without it the server may have lost
// its position, unless there is no event to ask for again.
func (s *stream) confirmsEnd(reached bool) bool {
	last, started := s.sequence.Last()
	return reached || !started || s.endRejected && last <= 0
}

// attemptTarget is where the next attempt runs.
type attemptTarget struct {
	server        rwbackend.View
	placement     rwpick.Placement
	kvSource      string // address of the server that holds the KV cache; empty to prefill the prompt
	kvRun         string // request id or copy handle under which kvSource holds it
	prefillTokens int    // prompt tokens to prefill first
}

// findPromptHolders finds the servers that have the prompt of a stream that the caller resumes
// cached: that of the newest known run with the same last part, or what the servers tell.
//
// No other request's KV cache is used. Each of a caller's requests has an id of its own, so that
// a run with the same content may be another caller's, whoever else is known: an instance can't
// know that there is no further one.
func (s *stream) findPromptHolders() {
	run, known := s.f.Directory.LatestRun(s.info.LastPart)
	if known && run.ID != s.info.ID {
		if run.Started {
			s.promptHolders = []string{run.Server}
		}
		s.f.Counters.countReturn("known")
		s.f.Log.Info("stream resumed", "request", s.info.ID, "run", run.ID, "server", run.Server, "owner", run.Owner, "started", run.Started, "cursor", s.info.Cursor)
		return
	}
	s.promptHolders = s.f.Finder.Find(s.r.Context(), s.service.Name, s.info.LastPart)
	if len(s.promptHolders) > 0 {
		s.f.Counters.countReturn("found")
	} else {
		s.f.Counters.countReturn("unknown")
	}
	s.f.Log.Info("resumed stream is unknown to all instances", "request", s.info.ID, "holders", s.promptHolders, "cursor", s.info.Cursor, "took", time.Since(s.startedAt).Seconds())
}

// nextTarget returns where the next attempt runs, or the error for the caller if there is
// none.
func (s *stream) nextTarget() (attemptTarget, error) {
	if s.remaining() <= 0 {
		return attemptTarget{}, s.timeoutError()
	}
	if !s.attemptsLeft() {
		return attemptTarget{}, s.attemptsExhaustedError()
	}
	servers := s.candidateServers()
	target, limitWait, ok := s.chooseWithinLimits(servers)
	s.noRoom = !ok && limitWait == 0 && len(servers) > 0
	if !ok {
		if s.lastErr != nil {
			return attemptTarget{}, s.attemptsExhaustedError()
		}
		if limitWait > 0 {
			return attemptTarget{}, limitError(len(servers), limitWait)
		}
		if paused, _ := s.f.Directory.Paused(s.service.Name); paused > 0 {
			return attemptTarget{}, s.noServerError(len(servers))
		}
		return attemptTarget{}, rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After",
			"none of %d model servers has room for %d tokens in its KV cache", len(servers), s.info.Prompt+s.info.MaxOutput).WithRetryAfter(longRetryAfter / 2)
	}
	if s.attempts > 0 {
		// Continuing a stream has priority over retrying a short request: it is
		// charged to the budget but not limited by it, unless servers keep refusing it.
		if !s.f.Budget.Spend(s.service.Name) && s.refusedOften() {
			return attemptTarget{}, s.attemptsExhaustedError()
		}
	}
	first := s.timeToFirstEvent(target)
	if err := s.fitStream(first); err != nil {
		return attemptTarget{}, err
	}
	if target.prefillTokens == 0 || s.headerSent {
		return target, nil
	}
	output := s.info.MaxOutput
	if s.info.Resumed {
		output = 0 // the remaining length is unknown
	}
	if rwpick.CannotFinish(s.remaining(), first, s.f.Directory.TokenTime(), output) {
		return attemptTarget{}, s.cannotFinishError(first)
	}
	return target, nil
}

// chooseTarget chooses the server for the next attempt: the one that holds the stream's
// copy, else one that has the prompt cached, else the one that finishes prefill first. It
// returns false if none has room.
func (s *stream) chooseTarget(servers []rwbackend.View) (attemptTarget, bool) {
	engine := s.engineSize()
	isTried := func(id string) bool { return s.tried[id] }
	need := rwpick.Need{Prompt: s.info.Prompt, Output: s.info.MaxOutput, Prefill: s.info.Prompt, Part: s.info.LastPart}
	if target, ok := s.copyTarget(servers, engine, need, isTried); ok {
		return target, true
	}
	if placement, ok := rwpick.StreamWithCachedPrompt(servers, engine, need, s.promptHolders, isTried); ok {
		return attemptTarget{server: placement.Server, placement: placement}, true
	}
	placement, ok := rwpick.Stream(s.belowCeiling(servers), engine, need, isTried)
	return attemptTarget{server: placement.Server, placement: placement, prefillTokens: need.Prefill}, ok
}

func (s *stream) engineSize() rwpick.EngineSize {
	return rwpick.EngineSize{Slots: s.service.Engine.Slots, Memory: s.service.Engine.Memory}
}

// timeoutError is returned if the deadline of the stream has passed.
func (s *stream) timeoutError() error {
	e := rwerror.New(rwerror.KindTimeout, "retry with the id of the last event", "the deadline of the stream has passed")
	if s.attempts > 0 {
		return e.WithRan(rwerror.RanUnknown)
	}
	return e
}

// cannotFinishError rejects early a stream that is not expected to finish before its
// deadline.
func (s *stream) cannotFinishError(first time.Duration) error {
	e := rwerror.New(rwerror.KindOverloaded, "retry with a longer deadline",
		"the first event is expected in %s, and %s remain until the deadline", first.Round(time.Millisecond), s.remaining().Round(time.Millisecond)).WithRetryAfter(shortRetryAfter)
	if s.attempts > 0 {
		return e.WithRan(rwerror.RanUnknown)
	}
	return e
}

// copyTarget returns the server that holds the stream's copy, if it is usable. There is
// no copy before prefill has finished.
func (s *stream) copyTarget(servers []rwbackend.View, engine rwpick.EngineSize, need rwpick.Need, isTried func(string) bool) (attemptTarget, bool) {
	id, run := s.run.Copy, s.run.ID
	if id == "" || !s.run.Started || s.tried[id] || !s.service.Engine.Copies {
		return attemptTarget{}, false
	}
	source, handle, requested := s.copies.requestedCopy()
	for _, v := range servers {
		if v.ID != id || v.Suspect {
			continue
		}
		target := attemptTarget{server: v, kvSource: v.Address, kvRun: run}
		if requested {
			target.kvSource, target.kvRun = source, handle
		}
		target.placement.Server = v
		target.placement.Copy, target.placement.Copied = rwpick.Copy(servers, engine, need, v, isTried)
		return target, true
	}
	return attemptTarget{}, false
}

// attemptsExhaustedError returns the error of the latest attempt, or a general one.
func (s *stream) attemptsExhaustedError() error {
	if s.lastErr != nil {
		return s.lastErr
	}
	return rwerror.New(rwerror.KindFailed, "retry the request", "no backend server completed the stream").WithRan(rwerror.RanUnknown)
}

// publishRun publishes the current state of the run.
func (s *stream) publishRun() {
	s.revision++
	s.run.Revision = s.revision
	s.f.NotifyRun(s.run)
}

// recordPlacement records and publishes where the stream now runs.
func (s *stream) recordPlacement(target attemptTarget) {
	s.run = rwbackend.Run{
		ID: s.info.ID, Owner: s.f.Directory.Self, Server: target.server.ID, Part: s.info.LastPart,
		Prompt: s.info.Prompt, Output: s.info.MaxOutput, PrefillTokens: target.prefillTokens,
		Request: s.identity, Generation: digest(s.info.ID), Organisation: s.organisation(),
	}
	if target.placement.Copied {
		s.run.Copy = target.placement.Copy.ID
	}
	s.publishRun()
	s.copies.startAttempt(target)
	if s.attempts > 1 || s.info.Resumed {
		where := "anew"
		if slices.Contains(s.promptHolders, target.server.ID) {
			where = "prompt"
		}
		if target.kvSource != "" {
			where = "copy"
		}
		s.f.Counters.countStreamResumed(where)
	}
	s.f.Log.V(rwlog.Routine).Info("stream placed", "request", s.info.ID, "server", target.server.ID, "zone", target.server.Zone, "backlog", target.server.Backlog,
		"committed", target.server.Committed, "runs", target.server.Runs, "copy", s.run.Copy, "from", target.kvSource, "run", target.kvRun, "events", s.eventsSent, "resumed", s.info.Resumed, "cursor", s.info.Cursor, "sent", s.attempts, "parts", s.partNames())
}

// end publishes that this instance no longer relays the stream, and frees its copy.
func (s *stream) end() {
	if s.run.ID == "" {
		return
	}
	s.run.Ended, s.run.PrefillRate = true, s.prefillRate
	s.copies.stop(s)
	s.publishRun()
}

// abortCallerLeft aborts the stream because the caller disconnected or this instance
// is shutting down.
func (s *stream) abortCallerLeft() error {
	s.run.Lost = true
	message := "caller left"
	if s.f.ShuttingDown() {
		message = "stream cut for the stop"
	}
	s.f.Counters.increment("left_stream")
	s.f.Log.Info(message, "request", s.info.ID, "server", s.run.Server, "events", s.eventsSent, "took", time.Since(s.startedAt).Seconds())
	panic(http.ErrAbortHandler)
}

// abort ends a stream that cannot continue. Before the response header it returns the
// error for the caller; afterwards it breaks the connection, so that the stream does
// not look complete.
func (s *stream) abort(err error) error {
	s.run.Lost = true
	if !s.headerSent {
		if e := rwerror.As(err); s.mayHaveRun && e.Ran == rwerror.RanNo {
			return e.WithRan(rwerror.RanUnknown)
		}
		return err
	}
	s.f.Counters.increment("cut_stream")
	s.f.Log.Info("stream cut", "request", s.info.ID, "cause", err.Error(), "events", s.eventsSent, "sent", s.attempts, "took", time.Since(s.startedAt).Seconds())
	panic(http.ErrAbortHandler)
}
