package rwforward

import (
	"net/http"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwrelay"

	"github.com/juju/errors"
)

// stream is one stream of events on its way to a caller, over as many servers as
// it takes.
type stream struct {
	*call
	copies          copyManager
	sequence        *rwrelay.Order
	run             rwbackend.Run // as told to peers
	headerSent      bool          // the caller has the head of the answer
	eventsSent      int
	firstEventAt    time.Time     // of the first event
	lastEventAt     time.Time     // of the last event
	longestPause    time.Duration // the longest between two events, whoever sent them
	lastErr         error
	promptHolders   []string // servers that hold its prompt, if they were asked
	emptyEndAttempt int      // tries when a server ended it without an event; zero for never
}

// The causes for which a server is given up.
var (
	errHung        = errors.New("the server is there, but sends nothing")
	errUnreachable = errors.New("the server can't be reached")
	errEventGap    = errors.New("events are missing")
	errCallerLeft  = errors.New("the caller left")
)

// serveStream answers a request with a serveStream of events. When a server is lost the
// serveStream goes on elsewhere: where its memory is, if it is anywhere.
func (c *call) serveStream() error {
	c.f.Budget.First(c.service.Name, retryBudgetRatio)
	s := &stream{call: c, sequence: rwrelay.NewOrder(c.info.Cursor, c.info.Resumed)}
	defer s.end()
	if c.info.Resumed && !s.findPreviousRun() {
		s.promptHolders = c.f.Finder.Find(c.r.Context(), c.service.Name, c.info.Part)
		c.f.Log.Info("stream comes back unknown", "request", c.info.ID, "holders", s.promptHolders, "cursor", c.info.Cursor, "took", time.Since(c.startedAt).Seconds())
	}
	for {
		next, err := s.nextTarget()
		if err != nil && s.acceptEmptyEnd() {
			s.recordCompletion("", Reply{})
			return nil
		}
		if err != nil {
			return s.abort(err)
		}
		done, err := s.attempt(next)
		if done {
			return nil
		}
		if c.r.Context().Err() != nil {
			return s.abortCallerLeft()
		}
		if err != nil {
			s.lastErr = err
		}
		if c.remaining() <= 0 {
			return s.abort(s.timeoutError())
		}
		if s.headerSent && !c.route.Resumable {
			return s.abort(s.lastErr)
		}
	}
}

// acceptEmptyEnd reports whether the end of which a server told last, and which was
// doubted, stands: there is no other server to ask.
func (s *stream) acceptEmptyEnd() bool {
	return s.emptyEndAttempt > 0 && s.attempts == s.emptyEndAttempt && s.attempts < s.route.Attempts && s.remaining() > 0
}

// attemptTarget is the attemptTarget server to try.
type attemptTarget struct {
	server        rwbackend.View
	placement     rwpick.Placement
	kvSource      string // address of the server that holds the run's memory
	kvRun         string
	prefillTokens int // prompt tokens that are read first
}

// findPreviousRun takes over the memory of a stream whose caller came back with a cursor.
// It reports whether it is known.
func (s *stream) findPreviousRun() bool {
	run, ok := s.f.Directory.Latest(s.info.Part)
	if !ok || run.ID == s.info.ID {
		return false
	}
	s.run = run
	s.f.Log.Info("stream comes back", "request", s.info.ID, "run", run.ID, "server", run.Server, "copy", run.Copy, "owner", run.Owner, "cursor", s.info.Cursor)
	return true
}

// nextTarget chooses where the stream goes on: at its copy if there is one, else
// where the prompt is read soonest.
func (s *stream) nextTarget() (attemptTarget, error) {
	if s.remaining() <= 0 {
		return attemptTarget{}, s.timeoutError()
	}
	if s.attempts >= max(1, s.route.Attempts) {
		return attemptTarget{}, s.attemptsExhaustedError()
	}
	if s.attempts > 0 {
		// A stream that goes on is worth more than a repeat of a short request:
		// it is charged, and not held back.
		s.f.Budget.Spend(s.service.Name)
	}
	servers := s.candidateServers()
	engine := rwpick.EngineSize{Slots: s.service.Engine.Slots, Memory: s.service.Engine.Memory}
	tried := func(id string) bool { return s.tried[id] }
	need := rwpick.Need{Prompt: s.info.Prompt, Output: s.info.Output, Read: s.info.Prompt}
	if n, ok := s.copyTarget(servers, engine, need, tried); ok {
		return n, nil
	}
	if place, ok := rwpick.Holder(servers, engine, need, s.promptHolders, tried); ok {
		return attemptTarget{server: place.Server, placement: place}, nil
	}
	place, ok := rwpick.Stream(servers, engine, need, tried)
	if !ok {
		if s.lastErr != nil {
			return attemptTarget{}, s.attemptsExhaustedError()
		}
		return attemptTarget{}, rwerror.New(rwerror.KindOverloaded, "come back after the time in Retry-After",
			"none of %d model servers has memory for %d tokens", len(servers), need.Prompt+need.Output).WithRetryAfter(longRetryAfter / 2)
	}
	first := rwpick.FirstBy(place.Server, need, s.f.Directory.ReadRate())
	output := need.Output
	if s.info.Resumed {
		output = 0 // how much is still to come is not known
	}
	if !s.headerSent && rwpick.Hopeless(s.remaining(), first, s.f.Directory.TokenTime(), output) {
		return attemptTarget{}, s.cannotFinishError(first)
	}
	return attemptTarget{server: place.Server, placement: place, prefillTokens: need.Read}, nil
}

func (s *stream) timeoutError() error {
	e := rwerror.New(rwerror.KindTimeout, "send it again with the id of the last event", "the time for the stream is over")
	if s.attempts > 0 {
		return e.WithRan(rwerror.RanUnknown)
	}
	return e
}

// cannotFinishError is the answer to a stream that can't end in time: it says so at once.
func (s *stream) cannotFinishError(first time.Duration) error {
	e := rwerror.New(rwerror.KindOverloaded, "send it again with more time",
		"the first event would come in %s, and %s are left", first.Round(time.Millisecond), s.remaining().Round(time.Millisecond)).WithRetryAfter(shortRetryAfter)
	if s.attempts > 0 {
		return e.WithRan(rwerror.RanUnknown)
	}
	return e
}

// copyTarget is the server that holds the stream's copy, if it may be used. There is
// none before the prompt is read.
func (s *stream) copyTarget(servers []rwbackend.View, engine rwpick.EngineSize, need rwpick.Need, tried func(string) bool) (attemptTarget, bool) {
	id, run := s.run.Copy, s.run.ID
	if id == "" || !s.run.Begun || s.tried[id] || !s.service.Engine.Copies {
		return attemptTarget{}, false
	}
	source, handle, moved := s.copies.requestedCopy()
	for _, v := range servers {
		if v.ID != id || v.Suspect {
			continue
		}
		n := attemptTarget{server: v, kvSource: v.Address, kvRun: run}
		if moved {
			n.kvSource, n.kvRun = source, handle
		}
		n.placement.Server = v
		n.placement.Copy, n.placement.Copied = rwpick.Copy(servers, engine, need, v, tried)
		return n, true
	}
	return attemptTarget{}, false
}

func (s *stream) attemptsExhaustedError() error {
	if s.lastErr != nil {
		return s.lastErr
	}
	return rwerror.New(rwerror.KindFailed, "send it again", "no backend server finished the stream").WithRan(rwerror.RanUnknown)
}

// recordPlacement tells where the stream runs now.
func (s *stream) recordPlacement(n attemptTarget) {
	old := s.run
	s.run = rwbackend.Run{
		ID: s.info.ID, Owner: s.f.Directory.Self, Server: n.server.ID, Part: s.info.Part,
		Prompt: s.info.Prompt, Output: s.info.Output, Read: n.prefillTokens,
	}
	if n.placement.Copied {
		s.run.Copy = n.placement.Copy.ID
	}
	if old.ID != "" && old.ID != s.run.ID {
		old.Ended, old.Lost = true, true
		s.f.Notify(old)
	}
	s.f.Notify(s.run)
	s.copies.startAttempt(n)
	if s.attempts > 1 || s.info.Resumed {
		where := "anew"
		if slices.Contains(s.promptHolders, n.server.ID) {
			where = "prompt"
		}
		if n.kvSource != "" {
			where = "copy"
		}
		s.f.Count.countStreamResumed(where)
	}
	s.f.Log.V(rwlog.Routine).Info("stream placed", "request", s.info.ID, "server", n.server.ID, "zone", n.server.Zone, "backlog", n.server.Backlog,
		"committed", n.server.Committed, "runs", n.server.Runs, "copy", s.run.Copy, "from", n.kvSource, "run", n.kvRun, "events", s.eventsSent, "resumed", s.info.Resumed, "cursor", s.info.Cursor, "sent", s.attempts)
}

// end tells peers that this instance no longer relays the stream.
func (s *stream) end() {
	if s.run.ID == "" || s.run.ID != s.info.ID {
		return
	}
	s.run.Ended = true
	s.copies.stop(s)
	s.f.Notify(s.run)
}

func (s *stream) abortCallerLeft() error {
	s.run.Lost = true
	text := "caller left"
	if s.f.Leaving() {
		text = "stream cut for the stop"
	}
	s.f.Count.increment("left_stream")
	s.f.Log.Info(text, "request", s.info.ID, "server", s.run.Server, "events", s.eventsSent, "took", time.Since(s.call.startedAt).Seconds())
	panic(http.ErrAbortHandler)
}

// abort ends a stream that can't go on: with a final answer if the caller has
// none yet, else by breaking off, so that it does not look complete.
func (s *stream) abort(err error) error {
	s.run.Lost = true
	if !s.headerSent {
		return err
	}
	s.f.Count.increment("cut_stream")
	s.f.Log.Info("stream cut", "request", s.info.ID, "cause", err.Error(), "events", s.eventsSent, "sent", s.attempts, "took", time.Since(s.call.startedAt).Seconds())
	panic(http.ErrAbortHandler)
}
