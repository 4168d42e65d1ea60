package rwforward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"ragwortwall/internal/rwattempt"
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
	server string // its id
	status int
	header http.Header
	body   []byte
	reply  Reply
}

// sound reports whether the answer may be handed on as a success.
func (a answer) sound() bool {
	return a.status >= 200 && a.status < 300 && a.reply.Signature && a.header.Get("Content-Encoding") == ""
}

// plain answers a request with one whole answer.
func (c *call) plain() error {
	c.f.Budget.First(c.service.Name, repeatShare)
	plan := rwattempt.Plan[rwbackend.View, answer]{
		Most: c.route.Attempts, Pick: c.pick, Try: c.try,
		Again: func() bool { return c.f.Budget.Spend(c.service.Name) },
		Wait:  func() bool { return c.left() > 0 && c.r.Context().Err() == nil },
	}
	var r rwattempt.Result[answer]
	if c.route.Kind == rwroute.KindIdempotent {
		r = plan.Repeatable()
	} else {
		r = plan.Once()
	}
	if r.Fate != rwattempt.FateAnswered {
		return r.Err
	}
	return c.deliver(r.Answer)
}

// patience is how long one server is waited for: a request that may run again is
// given to another one when this one is slow.
func (c *call) patience(server rwbackend.View) time.Duration {
	if c.route.Kind == rwroute.KindIdempotent && c.sent+1 < c.route.Attempts {
		return min(c.left(), rwpick.HedgeAfter(server.Latency, c.route.Aim))
	}
	return c.left()
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
func (c *call) try(server rwbackend.View) rwattempt.Result[answer] {
	failed := func(fate rwattempt.Fate, err error) rwattempt.Result[answer] {
		return rwattempt.Result[answer]{Fate: fate, Err: err}
	}
	if err := c.confirmed(); err != nil {
		return failed(rwattempt.FateRefused, err)
	}
	ctx := c.r.Context()
	if ctx.Err() != nil {
		return failed(rwattempt.FateRefused, callerGone())
	}
	once := c.route.Kind == rwroute.KindOnce
	if once {
		// What must not run twice is not broken off because its caller left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.patience(server))
	defer cancel()
	conn, reused, err := c.f.Pool.Get(ctx, server.Address, once, dialTime)
	if err != nil {
		if ctx.Err() == nil {
			c.f.Directory.Lost(server.ID)
		}
		c.note("not reached", server.ID, err)
		return failed(rwattempt.FateUnsent, unreached(server.ID, err))
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
		return failed(rwattempt.FateUnknown, c.lost(server.ID, err))
	}
	if stop() {
		c.f.Pool.Put(conn)
	}
	took := time.Since(began)
	if !a.reply.NotRun {
		c.saw(server, a.status >= http.StatusInternalServerError, took)
	}
	return c.classify(a, took)
}

// classify judges a whole answer.
func (c *call) classify(a answer, took time.Duration) rwattempt.Result[answer] {
	if a.reply.NotRun {
		if a.status == http.StatusMisdirectedRequest {
			c.f.Directory.Misdirected(a.server)
		} else {
			c.f.Directory.Refused(a.server, a.reply.Load)
		}
		c.note("not run", a.server, nil)
		return rwattempt.Result[answer]{Fate: rwattempt.FateNotRun, Err: full(a.server)}
	}
	failed := a.status >= http.StatusInternalServerError
	c.f.Directory.Answered(a.server, failed, took, a.reply.Load)
	if a.status < 300 && !a.sound() || !a.reply.Signature && a.status >= 300 {
		c.note("unsound answer", a.server, nil)
		return rwattempt.Result[answer]{Fate: rwattempt.FateUnknown, Err: c.lost(a.server, errUnsound)}
	}
	return rwattempt.Result[answer]{Answer: a, Failed: failed}
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
	return answer{server: server, status: response.StatusCode, header: response.Header, body: body, reply: c.f.Wire.Reply(response.StatusCode, response.Header)}, nil
}

// deliver hands a whole answer to the caller.
func (c *call) deliver(a answer) error {
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
		c.f.Log.Info("answered", "request", c.ask.ID, "route", c.route.Name, "status", a.status, "server", a.server, "sent", c.sent, "took", took.Seconds())
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
