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
func (s *stream) attempt(n next) (bool, error) {
	s.tried[n.server.ID] = true
	if err := s.confirmed(); err != nil && !s.begun {
		s.sent = s.route.Attempts // final: nothing else is tried
		return false, err
	}
	ctx, cancel := context.WithTimeout(s.r.Context(), s.left())
	defer cancel()
	// A kept connection may have been dropped by a server that has started again.
	conn, _, err := s.f.Pool.Get(ctx, n.server.Address, true, dialTime)
	if err != nil {
		s.lost(n.server)
		s.note("not reached", n.server.ID, err)
		return false, unreached(n.server.ID, err)
	}
	stop := context.AfterFunc(ctx, conn.End)
	defer stop()
	s.sent++
	s.f.Count.sent(rwroute.KindStream)
	s.placed(n)
	o := s.call.order(n.server.ID)
	o.Cursor, o.Resumed = s.order.Last()
	o.From, o.Run = n.from, n.run
	if n.place.Copied && s.service.Engine.Copies {
		o.Copy = n.place.Copy.Address
	}
	done, err := s.relay(conn, n, o)
	if done && err == nil && stop() {
		s.f.Pool.Put(conn)
		return true, nil
	}
	conn.Close()
	return done, err
}

func unreached(server string, cause error) error {
	return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After", "backend server %s could not be reached: %v", server, cause).WithRetryAfter(retrySoon)
}

// relay hands on what one server sends.
func (s *stream) relay(conn *rwlink.Conn, n next, o Order) (bool, error) {
	began := time.Now()
	expected := rwpick.FirstBy(n.server, rwpick.Need{Read: n.read}, s.f.Directory.ReadRate())
	pace := rwrelay.NewPace(expected, s.route.Pause)
	response, _, err := conn.Exchange(s.request(o), s.patience(pace, n.server.Address), s.owns)
	if err != nil {
		return false, s.broke(n, err)
	}
	defer response.Body.Close()
	reply := s.f.Wire.Reply(response.StatusCode, response.Header)
	if reply.NotRun {
		switch {
		case response.StatusCode == http.StatusMisdirectedRequest:
			s.f.Directory.Misdirected(n.server.ID)
			if s.f.Versions.Allows(s.service.Name, s.ask.ID) == nil {
				s.f.Newcomers.Met(n.server.Entry, reply.Server)
			}
		case n.from == "":
			s.f.Directory.Refused(n.server.ID, reply.Load)
		}
		s.note("not run", n.server.ID, errors.Errorf("status %d", response.StatusCode))
		s.notRun(n)
		return false, full(n.server.ID)
	}
	if response.StatusCode >= 300 {
		return s.failed(response, n, reply)
	}
	if !reply.Signature || response.Header.Get("Content-Encoding") != "" {
		return false, s.broke(n, errUnsound)
	}
	s.head(response)
	events := rwrelay.NewEvents(response.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if _, started := s.order.Last(); started && !pace.Begun() && s.doubted == 0 {
				return false, s.doubt(n)
			}
			s.finish(n.server.ID, reply)
			return true, nil
		}
		if err != nil {
			return false, s.broke(n, err)
		}
		if !pace.Begun() {
			s.began(n, time.Since(began))
		}
		pace.Event()
		if err := s.pass(event); err != nil {
			return false, s.broke(n, err)
		}
	}
}

// notRun looks again for a place after a refusal: a copy that is not there is
// not asked for twice, but its server may still run the stream from the start.
func (s *stream) notRun(n next) {
	if n.from != "" {
		delete(s.tried, n.server.ID)
	}
	s.run.Copy = ""
	s.run.Ended = true
	s.f.Notify(s.run)
	s.run = rwbackend.Run{}
}

// patience judges the silence of a server. The error ends the attempt.
func (s *stream) patience(pace *rwrelay.Pace, address string) rwlink.Patience {
	return func(silent time.Duration) (time.Duration, error) {
		step, wait := pace.Judge(silent)
		if step == rwrelay.StepHung {
			return 0, errHung
		}
		if step == rwrelay.StepProbe && s.f.Probe.Ask(address, pace.ProbeSince(silent)) == rwlink.FindingLost {
			return 0, errGone
		}
		return wait, nil
	}
}

// broke notes that a server was lost in the middle of the stream.
func (s *stream) broke(n next, cause error) error {
	if s.r.Context().Err() != nil {
		return errLeft
	}
	if s.left() > 0 {
		s.lost(n.server)
		s.implicate(n.server.Entry)
		s.saw(n.server, true, 0)
	}
	s.f.Count.lost(causeName(cause))
	s.f.Log.Info("stream broken off", "request", s.ask.ID, "server", n.server.ID, "zone", n.server.Zone, "cause", cause.Error(),
		"events", s.events, "copy", s.run.Copy, "sent", s.sent, "took", time.Since(s.call.began).Seconds())
	return rwerror.New(rwerror.KindUnknown, "send it again with the id of the last event",
		"backend server %s was lost: %v", n.server.ID, cause).WithRan(rwerror.RanUnknown)
}

// causeName names the cause of a loss in counters.
func causeName(cause error) string {
	switch {
	case errors.Is(cause, errHung):
		return "hung"
	case errors.Is(cause, errGone):
		return "gone"
	case errors.Is(cause, errBroken):
		return "gap"
	default:
		return "broken"
	}
}

// failed handles an answer that is no stream.
func (s *stream) failed(response *http.Response, n next, reply Reply) (bool, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, answerMost))
	if err != nil {
		return false, s.broke(n, err)
	}
	s.f.Directory.Answered(n.server.ID, true, 0, reply.Load)
	s.saw(n.server, true, 0)
	s.note("failed", n.server.ID, errors.Errorf("status %d", response.StatusCode))
	again := response.StatusCode >= http.StatusInternalServerError && s.route.Resumable && s.sent < s.route.Attempts
	if s.begun || again || !reply.Signature {
		return false, rwerror.New(rwerror.KindFailed, "send it again", "backend server %s answered %d", n.server.ID, response.StatusCode).WithRan(rwerror.RanYes)
	}
	return true, s.deliver(answer{server: n.server.ID, status: response.StatusCode, header: response.Header, body: body, reply: reply})
}

// head hands on the head of the first server's answer.
func (s *stream) head(response *http.Response) {
	if s.begun {
		return
	}
	s.begun = true
	header := s.w.Header()
	for name, values := range s.f.Wire.Answer(response.Header) {
		header[name] = values
	}
	s.w.WriteHeader(response.StatusCode)
}

// began notes the first event of an attempt.
func (s *stream) began(n next, took time.Duration) {
	s.run.Begun = true
	s.f.Notify(s.run)
	s.f.Directory.Heard(n.server.ID)
	s.saw(n.server, false, took)
	if n.server.Backlog == 0 && n.from == "" && !s.ask.Resumed {
		s.f.Directory.MeasureRead(n.read, took)
	}
}

// pass hands on an event that the caller does not have.
func (s *stream) pass(event rwrelay.Event) error {
	switch s.order.Judge(event) {
	case rwrelay.VerdictPass:
	case rwrelay.VerdictDrop:
		return nil
	case rwrelay.VerdictGap:
		return errBroken
	}
	s.keeper.check(s)
	if _, err := s.w.Write(event.Raw); err != nil {
		return errLeft
	}
	s.events++
	now := time.Now()
	if s.events > 1 {
		s.pause = max(s.pause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	if s.events == 1 {
		s.firstAt = now
		s.f.Count.first(time.Since(s.call.began))
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errLeft
	}
	return nil
}

// doubt passes over a server that ends a stream which goes on there without one
// event: either the caller has all, or the server has lost its place. One that does
// so is not believed while another can be asked.
func (s *stream) doubt(n next) error {
	s.doubted = s.sent
	s.note("end without events", n.server.ID, nil)
	return rwerror.New(rwerror.KindUnknown, "send it again with the id of the last event",
		"backend server %s ended the stream without an event", n.server.ID).WithRan(rwerror.RanUnknown)
}

// finish notes that the stream has come to its end.
func (s *stream) finish(server string, reply Reply) {
	s.f.Directory.Answered(server, false, 0, reply.Load)
	first := time.Duration(0)
	if s.events > 0 {
		first = s.firstAt.Sub(s.call.began)
	}
	if s.events > 0 && s.sent == 1 && !s.ask.Resumed && s.ask.Output > 0 {
		s.f.Directory.MeasureToken(s.ask.Output, time.Since(s.firstAt))
	}
	s.f.Count.longest(s.pause)
	s.f.Count.answered(rwroute.KindStream, http.StatusOK, time.Since(s.call.began))
	s.f.Log.V(rwlog.Routine).Info("stream ended", "request", s.ask.ID, "server", server, "events", s.events, "sent", s.sent,
		"first", first.Seconds(), "pause", s.pause.Seconds(), "took", time.Since(s.call.began).Seconds())
}
