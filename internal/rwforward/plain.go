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

// maxResponseBytes bounds an answer that is held whole, in bytes: several times the
// largest of the users' sheets.
const maxResponseBytes = 8 << 20

// serverResponse is a server's whole serverResponse.
type serverResponse struct {
	server string // its id
	status int
	header http.Header
	body   []byte
	reply  Reply
}

// success reports whether the answer may be handed on as a success.
func (a serverResponse) success() bool {
	return a.status >= 200 && a.status < 300 && a.reply.Signature && a.header.Get("Content-Encoding") == ""
}

// servePlain answers a request with one whole answer.
func (c *call) servePlain() error {
	c.f.Budget.First(c.service.Name, retryBudgetRatio)
	plan := rwattempt.Plan[rwbackend.View, serverResponse]{
		Most: c.route.Attempts, Pick: c.pickServer, Try: c.trySend,
		Again: func() bool { return c.f.Budget.Spend(c.service.Name) },
		Wait:  func() bool { return c.remaining() > 0 && c.r.Context().Err() == nil },
	}
	var r rwattempt.Result[serverResponse]
	if c.route.Kind == rwroute.KindIdempotent {
		r = plan.Repeatable()
	} else {
		r = plan.Once()
	}
	if r.Fate != rwattempt.FateAnswered {
		return r.Err
	}
	return c.writeResponse(r.Answer)
}

// attemptTimeout is how long one server is waited for: a request that may run again is
// given to another one when this one is slow.
func (c *call) attemptTimeout(server rwbackend.View) time.Duration {
	if c.route.Kind == rwroute.KindIdempotent && c.attempts+1 < c.route.Attempts {
		return min(c.remaining(), rwpick.HedgeAfter(server.Latency, c.route.Aim))
	}
	return c.remaining()
}

func serverFullError(server string) error {
	return rwerror.New(rwerror.KindOverloaded, "come back after the time in Retry-After", "backend server %s has no room", server).WithRetryAfter(shortRetryAfter)
}

// callerGoneError ends a request whose caller has left before it was sent.
func callerGoneError() error {
	return rwerror.New(rwerror.KindUnavailable, "send it again", "the caller left before the request was sent").WithRetryAfter(shortRetryAfter)
}

// outcomeUnknownError is the answer to a request that a server may have run.
func (c *call) outcomeUnknownError(server string, cause error) error {
	if c.remaining() <= 0 {
		return rwerror.New(rwerror.KindTimeout, "ask the service whether it ran before you send it again",
			"the time for the request was over while backend server %s had it", server).WithRan(rwerror.RanUnknown)
	}
	return rwerror.New(rwerror.KindUnknown, "ask the service whether it ran before you send it again",
		"backend server %s was lost after the request was sent: %v", server, cause).WithRan(rwerror.RanUnknown)
}

// pickServer chooses a server among those not tried.
func (c *call) pickServer() (rwbackend.View, error) {
	if c.remaining() <= 0 {
		return rwbackend.View{}, rwerror.New(rwerror.KindTimeout, "send it again with more time", "the time for the request is over")
	}
	servers := c.candidateServers()
	server, ok := rwpick.Plain(servers, c.f.Zone, func(id string) bool { return c.tried[id] })
	if !ok {
		return server, rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"none of the %d backend servers of the service can take the request", len(servers)).WithRetryAfter(longRetryAfter / 2)
	}
	c.tried[server.ID] = true
	return server, nil
}

// trySend sends the request to one server and reads the whole answer.
func (c *call) trySend(server rwbackend.View) rwattempt.Result[serverResponse] {
	failed := func(fate rwattempt.Fate, err error) rwattempt.Result[serverResponse] {
		return rwattempt.Result[serverResponse]{Fate: fate, Err: err}
	}
	if err := c.checkKey(); err != nil {
		return failed(rwattempt.FateRefused, err)
	}
	ctx := c.r.Context()
	if ctx.Err() != nil {
		return failed(rwattempt.FateRefused, callerGoneError())
	}
	once := c.route.Kind == rwroute.KindOnce
	if once {
		// What must not run twice is not broken off because its caller left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(server))
	defer cancel()
	conn, reused, err := c.f.Pool.Get(ctx, server.Address, once, dialTimeout)
	if err != nil {
		if ctx.Err() == nil {
			c.f.Directory.Lost(server.ID)
		}
		c.logAttempt("not reached", server.ID, err)
		return failed(rwattempt.FateUnsent, unreachableError(server.ID, err))
	}
	c.attempts++
	c.f.Count.countSent(c.route.Kind)
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
			c.reportCrash(server.Entry)
			c.recordVersionOutcome(server, true, 0)
		}
		c.logAttempt("broken off", server.ID, err)
		return failed(rwattempt.FateUnknown, c.outcomeUnknownError(server.ID, err))
	}
	if stop() {
		c.f.Pool.Put(conn)
	}
	took := time.Since(began)
	if !a.reply.NotRun {
		c.recordVersionOutcome(server, a.status >= http.StatusInternalServerError, took)
	}
	return c.classify(a, took)
}

// classify judges a whole answer.
func (c *call) classify(a serverResponse, took time.Duration) rwattempt.Result[serverResponse] {
	if a.reply.NotRun {
		if a.status == http.StatusMisdirectedRequest {
			c.f.Directory.Misdirected(a.server)
		} else {
			c.f.Directory.Refused(a.server, a.reply.Load)
		}
		c.logAttempt("not run", a.server, nil)
		return rwattempt.Result[serverResponse]{Fate: rwattempt.FateNotRun, Err: serverFullError(a.server)}
	}
	failed := a.status >= http.StatusInternalServerError
	c.f.Directory.Answered(a.server, failed, took, a.reply.Load)
	if a.status < 300 && !a.success() || !a.reply.Signature && a.status >= 300 {
		c.logAttempt("unsound answer", a.server, nil)
		return rwattempt.Result[serverResponse]{Fate: rwattempt.FateUnknown, Err: c.outcomeUnknownError(a.server, errInvalidResponse)}
	}
	return rwattempt.Result[serverResponse]{Answer: a, Failed: failed}
}

var errInvalidResponse = rwerror.New(rwerror.KindFailed, "ask the service's operators", "the answer carries no signature or another encoding")

// exchange sends the request and reads the whole answer.
func (c *call) exchange(conn *rwlink.Conn, server string) (serverResponse, error) {
	patience := func(time.Duration) (time.Duration, error) { return c.remaining(), nil }
	response, _, err := conn.Exchange(c.upstreamRequest(c.upstreamInfo(server)), patience, c.ownsResponse)
	if err != nil {
		return serverResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return serverResponse{}, err
	}
	return serverResponse{server: server, status: response.StatusCode, header: response.Header, body: body, reply: c.f.Wire.Reply(response.StatusCode, response.Header)}, nil
}

// writeResponse hands a whole answer to the caller.
func (c *call) writeResponse(a serverResponse) error {
	header := c.w.Header()
	for name, values := range c.f.Wire.Answer(a.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.body)
	took := time.Since(c.startedAt)
	c.f.Count.countAnswered(c.route.Kind, a.status, took)
	if c.attempts > 1 || a.status >= http.StatusInternalServerError || err != nil || took > c.route.Aim {
		c.f.Log.Info("answered", "request", c.info.ID, "route", c.route.Name, "status", a.status, "server", a.server, "sent", c.attempts, "took", took.Seconds())
	}
	return nil
}

func (c *call) logAttempt(text, server string, cause error) {
	message := ""
	if cause != nil {
		message = cause.Error()
	}
	c.f.Log.Info(text, "request", c.info.ID, "route", c.route.Name, "server", server, "cause", message, "sent", c.attempts, "took", time.Since(c.startedAt).Seconds())
}
