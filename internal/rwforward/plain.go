package rwforward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwroute"
)

// answerMost bounds an answer that is held whole, in bytes: several times the
// largest of the users' sheets.
const answerMost = 8 << 20

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	reply  Reply
}

// sound reports whether the answer may be handed on as a success.
func (a answer) sound() bool {
	return a.status >= 200 && a.status < 300 && a.reply.Signature && a.header.Get("Content-Encoding") == ""
}

// fate is what became of one try.
type fate int

const (
	fateAnswered fate = iota // a whole answer of the server that ran it
	fateNotRun               // the server said that it did not run it
	fateUnsent               // no byte reached the server
	fateUnknown              // it may have run
	fateRefused              // it may not be sent at all: the error is final
)

// plain answers a request with one whole answer.
func (c *call) plain() error {
	c.f.Budget.First(c.service.Name, repeatShare)
	if c.route.Kind == rwroute.KindIdempotent {
		return c.idempotent()
	}
	return c.once()
}

// once sends a request that must not run twice. Another server is tried only
// while it is proved that none has run it.
func (c *call) once() error {
	for {
		server, err := c.pick()
		if err != nil {
			return err
		}
		a, fate, err := c.try(server, time.Until(c.limit))
		switch fate {
		case fateAnswered:
			return c.deliver(a, server.ID)
		case fateUnsent:
			continue
		case fateRefused:
			return err
		case fateNotRun:
			if c.sent < c.route.Attempts && c.f.Budget.Spend(c.service.Name) {
				continue
			}
			return full(server.ID)
		default:
			return c.lost(server.ID, err)
		}
	}
}

func full(server string) error {
	return rwerror.New(rwerror.KindOverloaded, "come back after the time in Retry-After", "backend server %s has no room", server).WithRetryAfter(retrySoon)
}

// callerGone ends a request whose caller has left before it was sent.
func callerGone() error {
	return rwerror.New(rwerror.KindUnavailable, "send it again", "the caller left before the request was sent").WithRetryAfter(retrySoon)
}

// lost is the answer to a request that a server may have run.
func (c *call) lost(server string, cause error) error {
	if c.left() <= 0 {
		return rwerror.New(rwerror.KindTimeout, "ask the service whether it ran before you send it again",
			"the time for the request was over while backend server %s had it", server).WithRan(rwerror.RanUnknown)
	}
	return rwerror.New(rwerror.KindUnknown, "ask the service whether it ran before you send it again",
		"backend server %s was lost after the request was sent: %v", server, cause).WithRan(rwerror.RanUnknown)
}

// idempotent sends a request that may run again, to another server if one fails
// or is slow, as far as the route and the fleet's budget allow.
func (c *call) idempotent() error {
	var failure *answer
	var last error
	for c.sent < max(1, c.route.Attempts) {
		if c.sent > 0 && !c.f.Budget.Spend(c.service.Name) {
			break
		}
		server, err := c.pick()
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		wait := c.left()
		if c.sent+1 < c.route.Attempts {
			wait = min(wait, rwpick.HedgeAfter(server.Latency, c.route.Aim))
		}
		a, fate, err := c.try(server, wait)
		if fate == fateAnswered && a.status < http.StatusInternalServerError {
			return c.deliver(a, server.ID)
		}
		switch fate {
		case fateRefused:
			return err
		case fateAnswered:
			failure = &a
		case fateNotRun:
			last = full(server.ID)
		default:
			last = c.lost(server.ID, err)
		}
		if c.left() <= 0 || c.r.Context().Err() != nil {
			break
		}
	}
	if failure != nil {
		return c.deliver(*failure, "")
	}
	return last
}

// pick chooses a server among those not tried.
func (c *call) pick() (rwbackend.View, error) {
	if c.left() <= 0 {
		return rwbackend.View{}, rwerror.New(rwerror.KindTimeout, "send it again with more time", "the time for the request is over")
	}
	servers := c.servers()
	server, ok := rwpick.Plain(servers, c.f.Zone, func(id string) bool { return c.tried[id] })
	if !ok {
		return server, rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"none of the %d backend servers of the service can take the request", len(servers)).WithRetryAfter(retryLater / 2)
	}
	c.tried[server.ID] = true
	return server, nil
}

// try sends the request to one server and reads the whole answer.
func (c *call) try(server rwbackend.View, wait time.Duration) (answer, fate, error) {
	if err := c.confirmed(); err != nil {
		return answer{}, fateRefused, err
	}
	ctx := c.r.Context()
	if ctx.Err() != nil {
		return answer{}, fateRefused, callerGone()
	}
	once := c.route.Kind == rwroute.KindOnce
	if once {
		// What must not run twice is not broken off because its caller left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	conn, reused, err := c.f.Pool.Get(ctx, server.Address, once, dialTime)
	if err != nil {
		if ctx.Err() == nil {
			c.f.Directory.Lost(server.ID)
		}
		c.note("not reached", server.ID, err)
		return answer{}, fateUnsent, err
	}
	c.sent++
	c.f.Count.sent(c.route.Kind)
	release := c.f.Directory.Began(server.ID)
	defer release()
	stop := context.AfterFunc(ctx, conn.End)
	defer stop()
	began := time.Now()
	a, err := c.exchange(conn, server.ID)
	if err != nil {
		conn.Close()
		if ctx.Err() == nil && !reused {
			c.f.Directory.Lost(server.ID)
			c.implicate(server.Entry)
			c.saw(server, true, 0)
		}
		c.note("broken off", server.ID, err)
		return a, fateUnknown, err
	}
	if stop() {
		c.f.Pool.Put(conn)
	}
	took := time.Since(began)
	if !a.reply.NotRun {
		c.saw(server, a.status >= http.StatusInternalServerError, took)
	}
	return c.classify(a, server.ID, took)
}

func (c *call) classify(a answer, server string, took time.Duration) (answer, fate, error) {
	if a.reply.NotRun {
		if a.status == http.StatusMisdirectedRequest {
			c.f.Directory.Misdirected(server)
		} else {
			c.f.Directory.Refused(server, a.reply.Load)
		}
		c.note("not run", server, nil)
		return a, fateNotRun, nil
	}
	failed := a.status >= http.StatusInternalServerError
	c.f.Directory.Answered(server, failed, took, a.reply.Load)
	if a.status < 300 && !a.sound() || !a.reply.Signature && a.status >= 300 {
		c.note("unsound answer", server, nil)
		return a, fateUnknown, errUnsound
	}
	return a, fateAnswered, nil
}

var errUnsound = rwerror.New(rwerror.KindFailed, "ask the service's operators", "the answer carries no signature or another encoding")

// exchange sends the request and reads the whole answer.
func (c *call) exchange(conn *rwlink.Conn, server string) (answer, error) {
	patience := func(time.Duration) (time.Duration, error) { return c.left(), nil }
	response, _, err := conn.Exchange(c.request(c.order(server)), patience, c.owns)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerMost))
	if err != nil {
		return answer{}, err
	}
	return answer{status: response.StatusCode, header: response.Header, body: body, reply: c.f.Wire.Reply(response.StatusCode, response.Header)}, nil
}

// deliver hands a whole answer to the caller.
func (c *call) deliver(a answer, server string) error {
	header := c.w.Header()
	for name, values := range c.f.Wire.Answer(a.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.body)
	took := time.Since(c.began)
	c.f.Count.answered(c.route.Kind, a.status, took)
	if c.sent > 1 || a.status >= http.StatusInternalServerError || err != nil || took > c.route.Aim {
		c.f.Log.Info("answered", "request", c.ask.ID, "route", c.route.Name, "status", a.status, "server", server, "sent", c.sent, "took", took.Seconds())
	}
	return nil
}

func (c *call) note(text, server string, cause error) {
	message := ""
	if cause != nil {
		message = cause.Error()
	}
	c.f.Log.Info(text, "request", c.ask.ID, "route", c.route.Name, "server", server, "cause", message, "sent", c.sent, "took", time.Since(c.began).Seconds())
}
