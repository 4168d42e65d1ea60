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
	keeper  keeper
	order   *rwrelay.Order
	run     rwbackend.Run // as told to peers
	begun   bool          // the caller has the head of the answer
	events  int
	firstAt time.Time     // of the first event
	lastAt  time.Time     // of the last event
	pause   time.Duration // the longest between two events, whoever sent them
	last    error
	holders []string // servers that hold its prompt, if they were asked
	doubted int      // tries when a server ended it without an event; zero for never
}

// The causes for which a server is given up.
var (
	errHung   = errors.New("the server is there, but sends nothing")
	errGone   = errors.New("the server can't be reached")
	errBroken = errors.New("events are missing")
	errLeft   = errors.New("the caller left")
)

// stream answers a request with a stream of events. When a server is lost the
// stream goes on elsewhere: where its memory is, if it is anywhere.
func (c *call) stream() error {
	c.f.Budget.First(c.service.Name, repeatShare)
	s := &stream{call: c, order: rwrelay.NewOrder(c.ask.Cursor, c.ask.Resumed)}
	defer s.ended()
	if c.ask.Resumed && !s.adopt() {
		s.holders = c.f.Finder.Find(c.r.Context(), c.service.Name, c.ask.Part)
		c.f.Log.Info("stream comes back unknown", "request", c.ask.ID, "holders", s.holders, "cursor", c.ask.Cursor, "took", time.Since(c.began).Seconds())
	}
	for {
		next, err := s.next()
		if err != nil && s.believable() {
			s.finish("", Reply{})
			return nil
		}
		if err != nil {
			return s.giveUp(err)
		}
		done, err := s.attempt(next)
		if done {
			return nil
		}
		if c.r.Context().Err() != nil {
			return s.callerLeft()
		}
		if err != nil {
			s.last = err
		}
		if c.left() <= 0 {
			return s.giveUp(s.outOfTime())
		}
		if s.begun && !c.route.Resumable {
			return s.giveUp(s.last)
		}
	}
}

// believable reports whether the end of which a server told last, and which was
// doubted, stands: there is no other server to ask.
func (s *stream) believable() bool {
	return s.doubted > 0 && s.sent == s.doubted && s.sent < s.route.Attempts && s.left() > 0
}

// next is the next server to try.
type next struct {
	server rwbackend.View
	place  rwpick.Placement
	from   string // address of the server that holds the run's memory
	run    string
	read   int // prompt tokens that are read first
}

// adopt takes over the memory of a stream whose caller came back with a cursor.
// It reports whether it is known.
func (s *stream) adopt() bool {
	run, ok := s.f.Directory.Latest(s.ask.Part)
	if !ok || run.ID == s.ask.ID {
		return false
	}
	s.run = run
	s.f.Log.Info("stream comes back", "request", s.ask.ID, "run", run.ID, "server", run.Server, "copy", run.Copy, "owner", run.Owner, "cursor", s.ask.Cursor)
	return true
}

// next chooses where the stream goes on: at its copy if there is one, else
// where the prompt is read soonest.
func (s *stream) next() (next, error) {
	if s.left() <= 0 {
		return next{}, s.outOfTime()
	}
	if s.sent >= max(1, s.route.Attempts) {
		return next{}, s.exhausted()
	}
	if s.sent > 0 {
		// A stream that goes on is worth more than a repeat of a short request:
		// it is charged, and not held back.
		s.f.Budget.Spend(s.service.Name)
	}
	servers := s.servers()
	engine := rwpick.EngineSize{Slots: s.service.Engine.Slots, Memory: s.service.Engine.Memory}
	tried := func(id string) bool { return s.tried[id] }
	need := rwpick.Need{Prompt: s.ask.Prompt, Output: s.ask.Output, Read: s.ask.Prompt}
	if n, ok := s.atCopy(servers, engine, need, tried); ok {
		return n, nil
	}
	if place, ok := rwpick.Holder(servers, engine, need, s.holders, tried); ok {
		return next{server: place.Server, place: place}, nil
	}
	place, ok := rwpick.Stream(servers, engine, need, tried)
	if !ok {
		if s.last != nil {
			return next{}, s.exhausted()
		}
		return next{}, rwerror.New(rwerror.KindOverloaded, "come back after the time in Retry-After",
			"none of %d model servers has memory for %d tokens", len(servers), need.Prompt+need.Output).WithRetryAfter(retryLater / 2)
	}
	first := rwpick.FirstBy(place.Server, need, s.f.Directory.ReadRate())
	output := need.Output
	if s.ask.Resumed {
		output = 0 // how much is still to come is not known
	}
	if !s.begun && rwpick.Hopeless(s.left(), first, s.f.Directory.TokenTime(), output) {
		return next{}, s.hopeless(first)
	}
	return next{server: place.Server, place: place, read: need.Read}, nil
}

func (s *stream) outOfTime() error {
	e := rwerror.New(rwerror.KindTimeout, "send it again with the id of the last event", "the time for the stream is over")
	if s.sent > 0 {
		return e.WithRan(rwerror.RanUnknown)
	}
	return e
}

// hopeless is the answer to a stream that can't end in time: it says so at once.
func (s *stream) hopeless(first time.Duration) error {
	e := rwerror.New(rwerror.KindOverloaded, "send it again with more time",
		"the first event would come in %s, and %s are left", first.Round(time.Millisecond), s.left().Round(time.Millisecond)).WithRetryAfter(retrySoon)
	if s.sent > 0 {
		return e.WithRan(rwerror.RanUnknown)
	}
	return e
}

// atCopy is the server that holds the stream's copy, if it may be used. There is
// none before the prompt is read.
func (s *stream) atCopy(servers []rwbackend.View, engine rwpick.EngineSize, need rwpick.Need, tried func(string) bool) (next, bool) {
	id, run := s.run.Copy, s.run.ID
	if id == "" || !s.run.Begun || s.tried[id] || !s.service.Engine.Copies {
		return next{}, false
	}
	source, handle, moved := s.keeper.copied()
	for _, v := range servers {
		if v.ID != id || v.Suspect {
			continue
		}
		n := next{server: v, from: v.Address, run: run}
		if moved {
			n.from, n.run = source, handle
		}
		n.place.Server = v
		n.place.Copy, n.place.Copied = rwpick.Copy(servers, engine, need, v, tried)
		return n, true
	}
	return next{}, false
}

func (s *stream) exhausted() error {
	if s.last != nil {
		return s.last
	}
	return rwerror.New(rwerror.KindFailed, "send it again", "no backend server finished the stream").WithRan(rwerror.RanUnknown)
}

// placed tells where the stream runs now.
func (s *stream) placed(n next) {
	old := s.run
	s.run = rwbackend.Run{
		ID: s.ask.ID, Owner: s.f.Directory.Self, Server: n.server.ID, Part: s.ask.Part,
		Prompt: s.ask.Prompt, Output: s.ask.Output, Read: n.read,
	}
	if n.place.Copied {
		s.run.Copy = n.place.Copy.ID
	}
	if old.ID != "" && old.ID != s.run.ID {
		old.Ended, old.Lost = true, true
		s.f.Notify(old)
	}
	s.f.Notify(s.run)
	s.keeper.placed(n)
	if s.sent > 1 || s.ask.Resumed {
		where := "anew"
		if slices.Contains(s.holders, n.server.ID) {
			where = "prompt"
		}
		if n.from != "" {
			where = "copy"
		}
		s.f.Count.resumed(where)
	}
	s.f.Log.V(rwlog.Routine).Info("stream placed", "request", s.ask.ID, "server", n.server.ID, "zone", n.server.Zone, "backlog", n.server.Backlog,
		"committed", n.server.Committed, "runs", n.server.Runs, "copy", s.run.Copy, "from", n.from, "run", n.run, "events", s.events, "resumed", s.ask.Resumed, "cursor", s.ask.Cursor, "sent", s.sent)
}

// ended tells peers that this instance no longer relays the stream.
func (s *stream) ended() {
	if s.run.ID == "" || s.run.ID != s.ask.ID {
		return
	}
	s.run.Ended = true
	s.keeper.stop(s)
	s.f.Notify(s.run)
}

func (s *stream) callerLeft() error {
	s.run.Lost = true
	text := "caller left"
	if s.f.Leaving() {
		text = "stream cut for the stop"
	}
	s.f.Count.add("left_stream")
	s.f.Log.Info(text, "request", s.ask.ID, "server", s.run.Server, "events", s.events, "took", time.Since(s.call.began).Seconds())
	panic(http.ErrAbortHandler)
}

// giveUp ends a stream that can't go on: with a final answer if the caller has
// none yet, else by breaking off, so that it does not look complete.
func (s *stream) giveUp(err error) error {
	s.run.Lost = true
	if !s.begun {
		return err
	}
	s.f.Count.add("cut_stream")
	s.f.Log.Info("stream cut", "request", s.ask.ID, "cause", err.Error(), "events", s.events, "sent", s.sent, "took", time.Since(s.call.began).Seconds())
	panic(http.ErrAbortHandler)
}
