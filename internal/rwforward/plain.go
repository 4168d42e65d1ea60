package rwforward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ragwortwall/internal/rwattempt"
	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpath"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwroute"

	"github.com/juju/errors"
)

// serverResponse is the whole response of a backend server.
type serverResponse struct {
	server string // id
	status int
	header http.Header
	body   []byte
	reply  ResponseInfo
}

// success reports whether the response may be passed on as a success: it has a 2xx
// status, a signature and no Content-Encoding.
func (a serverResponse) success() bool {
	return a.status >= 200 && a.status < 300 && a.reply.Signed && a.header.Get("Content-Encoding") == ""
}

// servePlain handles a request that has a single, unstreamed response.
func (c *call) servePlain() error {
	c.f.Budget.Deposit(c.service.Name, retryBudgetRatio)
	plan := rwattempt.Plan[rwbackend.View, serverResponse]{
		MaxAttempts: c.route.Attempts, Pick: c.pickServer, Attempt: c.tryServer, SpendRetry: c.spendRetry,
		CanContinue: func() bool { return c.remaining() > 0 && c.r.Context().Err() == nil && !c.slow.isAnswering() },
	}
	var result rwattempt.Result[serverResponse]
	if c.route.Kind == rwroute.KindIdempotent {
		result = c.resumeSlow(plan.RunIdempotent())
	} else {
		result = plan.RunAtMostOnce()
	}
	if result.Outcome != rwattempt.OutcomeAnswered {
		return result.Err
	}
	return c.writeResponse(result.Answer)
}

// spendRetry takes a retry from the budget, unless that was done to end a slow attempt.
func (c *call) spendRetry() bool {
	paid := c.retryPaid
	c.retryPaid = false
	return paid || c.f.Budget.Spend(c.service.Name)
}

// hedgeDelay returns the time after which a slow attempt ends if the request can go to
// another server. ok is false if it can't.
func (c *call) hedgeDelay(server rwbackend.View) (delay time.Duration, ok bool) {
	if c.route.Kind != rwroute.KindIdempotent || c.attempts >= c.route.Attempts {
		return 0, false
	}
	return rwpick.HedgeAfter(server.Latency, c.route.TargetLatency), true
}

// leaveSlowServer reports whether to end a slow attempt: another server is left, and the
// budget has a retry, which it takes. Otherwise the slow server may still answer.
func (c *call) leaveSlowServer() bool {
	for _, s := range c.readyServers() {
		if !c.tried[s.ID] && !s.Suspect && s.FullFor == 0 {
			c.retryPaid = c.f.Budget.Spend(c.service.Name)
			return c.retryPaid
		}
	}
	return false
}

// errSlow ends an attempt at a slow server.
var errSlow = errors.New("the server is slow, and another one can be asked")

// errSlowAnswers ends an attempt at another server once the slow one answers.
var errSlowAnswers = errors.New("the slow server that was asked before answers")

// pathMayBeLost reports whether the failure of an attempt may be one of the path to the server:
// it counts against neither the server nor its version.
func (c *call) pathMayBeLost(cause error) bool {
	return !errors.Is(cause, rwpath.ErrServerUnreached) && (c.relayed || c.f.Dialer.InDoubt(c.service.Name))
}

// notRunError is returned if a server did not run the request.
func notRunError(server string) error {
	return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After", "backend server %s did not run the request", server).WithRetryAfter(shortRetryAfter)
}

// callerLeftError is returned if the caller disconnected before the request was sent.
func callerLeftError() error {
	return rwerror.New(rwerror.KindUnavailable, "retry the request", "the caller disconnected before the request was sent").WithRetryAfter(shortRetryAfter)
}

// outcomeUnknownError is returned if a server may have run the request but did not
// return a valid response.
func (c *call) outcomeUnknownError(server string, cause error) error {
	if c.remaining() <= 0 {
		return rwerror.New(rwerror.KindTimeout, "check with the service whether the request ran before retrying",
			"the deadline passed while backend server %s was processing the request", server).WithRan(rwerror.RanUnknown)
	}
	return rwerror.New(rwerror.KindOutcomeUnknown, "check with the service whether the request ran before retrying",
		"no valid response from backend server %s after the request was sent: %v", server, cause).WithRan(rwerror.RanUnknown)
}

// pickServer chooses a server that has not been tried.
func (c *call) pickServer() (rwbackend.View, error) {
	if c.remaining() <= 0 {
		return rwbackend.View{}, rwerror.New(rwerror.KindTimeout, "retry with a longer deadline", "the deadline of the request has passed")
	}
	server, err := c.pickWithinLimits(c.candidateServers())
	if err != nil {
		return server, err
	}
	c.tried[server.ID] = true
	return server, nil
}

// tryServer sends the request to one server and reads the whole response.
func (c *call) tryServer(server rwbackend.View) rwattempt.Result[serverResponse] {
	failed := func(outcome rwattempt.Outcome, err error) rwattempt.Result[serverResponse] {
		return rwattempt.Result[serverResponse]{Outcome: outcome, Err: err}
	}
	if err := c.checkKey(); err != nil {
		return failed(rwattempt.OutcomeRefused, err)
	}
	if err := c.checkQuarantine(); err != nil {
		return failed(rwattempt.OutcomeRefused, err)
	}
	if err := c.checkParts(server.Entry); err != nil {
		return failed(rwattempt.OutcomeRefused, err)
	}
	ctx := c.r.Context()
	if ctx.Err() != nil {
		return failed(rwattempt.OutcomeRefused, callerLeftError())
	}
	nonIdempotent := c.route.Kind == rwroute.KindOnce
	if nonIdempotent {
		// Finish a non-idempotent request even if the caller disconnects: once
		// interrupted, its outcome would be unknown.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.remaining())
	defer cancel()
	if c.f.Ending != nil {
		defer context.AfterFunc(c.f.Ending, cancel)()
	}
	conn, reused, err := c.f.Pool.Get(ctx, server.Address, nonIdempotent, dialTimeout)
	if err != nil {
		c.relayed = false
		if ctx.Err() == nil && !c.pathMayBeLost(err) {
			c.f.Directory.RecordLoss(server.ID)
		}
		c.logAttempt("server unreachable", server.ID, err)
		return failed(rwattempt.OutcomeUnsent, unreachableError(server.ID, err))
	}
	c.relayed = conn.Relayed()
	c.attempts++
	c.f.Counters.countSent(c.route.Kind)
	release := c.f.Directory.TrackRequest(server.ID)
	defer func() { release() }()
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	c.beginVersionAttempt(server)
	defer c.versionAttempt.Cancel()
	sentAt := time.Now()
	response, err := c.exchange(conn, server, reused)
	if errors.Is(err, errSlow) && c.slow == nil && conn.IsWaiting() {
		c.countBegun(sentAt)
		c.slow = &slowAttempt{conn: conn, server: server, reused: reused, sentAt: sentAt, release: release}
		release = func() {}
		c.logAttempt("server slow, another one is asked", server.ID, err)
		return failed(rwattempt.OutcomeUnknown, c.outcomeUnknownError(server.ID, err))
	}
	if err != nil {
		conn.Close()
		c.countBegun(sentAt) // it may have run
		if errors.Is(err, errNoRequestID) {
			delete(c.tried, server.ID) // a new connection to it has no earlier request
		} else {
			c.reportLoss(server.Entry, err)
		}
		if ctx.Err() == nil && !reused && !errors.Is(err, errSlow) && !errors.Is(err, errSlowAnswers) && !c.pathMayBeLost(err) {
			c.f.Directory.RecordLoss(server.ID)
			c.recordVersionOutcome(server, true, 0)
		}
		c.logAttempt("exchange interrupted", server.ID, err)
		return failed(rwattempt.OutcomeUnknown, c.outcomeUnknownError(server.ID, err))
	}
	if stop() && response.reply.RequestID != "" {
		c.f.Pool.Put(conn)
	} else {
		conn.Close()
	}
	took := time.Since(sentAt)
	if response.success() && !response.reply.NotRun {
		c.recordSoundParts(server.Entry)
	}
	if !response.reply.NotRun {
		c.countAnswered(server, sentAt)
		c.recordVersionOutcome(server, response.status >= http.StatusInternalServerError, took)
	}
	return c.classify(response, took)
}

// classify records a whole response and determines the outcome of the attempt.
func (c *call) classify(response serverResponse, took time.Duration) rwattempt.Result[serverResponse] {
	if response.reply.NotRun {
		if response.status == http.StatusMisdirectedRequest {
			c.f.Directory.RecordMisdirected(response.server)
		} else {
			c.f.Directory.RecordRefusal(response.server, response.reply.Load)
			c.recordFull(response.server, response.reply.Load, true)
		}
		c.logAttempt("request not run by the server", response.server, nil)
		return rwattempt.Result[serverResponse]{Outcome: rwattempt.OutcomeNotRun, Err: notRunError(response.server)}
	}
	failed := response.status >= http.StatusInternalServerError
	if !failed && response.reply.Signed {
		c.recordSurvival(response.server, response.status)
	}
	c.f.Directory.RecordResponse(response.server, failed, took, response.reply.Load)
	c.recordFull(response.server, response.reply.Load, false)
	if response.status < 300 && !response.success() || !response.reply.Signed && response.status >= 300 {
		c.logAttempt("invalid response", response.server, nil)
		return rwattempt.Result[serverResponse]{Outcome: rwattempt.OutcomeUnknown, Err: c.outcomeUnknownError(response.server, errInvalidResponse)}
	}
	return rwattempt.Result[serverResponse]{Answer: response, Failed: failed}
}

// errInvalidResponse is the cause if a response can't be passed on to the caller.
var errInvalidResponse = rwerror.New(rwerror.KindFailed, "contact the operators", "the response has no signature or has a Content-Encoding")

// errNoRequestID is returned if a response on a reused connection has no request id: it may be
// one to an earlier request that the server wrote once more.
var errNoRequestID = errors.New("the response on a reused connection has no request id")

// exchange sends the request on a connection and reads the whole response.
func (c *call) exchange(conn *rwlink.Conn, server rwbackend.View, reused bool) (serverResponse, error) {
	c.progress = responseProgress{}
	hedgeDelay, canHedge := c.hedgeDelay(server)
	sentAt := time.Now()
	hedge := func() (time.Duration, error) {
		waited := time.Since(sentAt)
		switch {
		case !canHedge:
			return c.remaining(), nil
		case waited < hedgeDelay:
			return min(hedgeDelay-waited, c.remaining()), nil
		case c.retryPaid || c.leaveSlowServer():
			return 0, errSlow
		}
		return min(silenceCheckInterval, c.remaining()), nil
	}
	onSilence := func(time.Duration) (time.Duration, error) {
		if c.slow == nil {
			return hedge()
		}
		if c.slow.checkAnswering() {
			return 0, errSlowAnswers
		}
		wait, err := hedge()
		return min(wait, silenceCheckInterval), err
	}
	response, _, err := conn.Exchange(c.upstreamRequest(c.upstreamInfo(server.ID)), onSilence, c.ownsResponse)
	if err != nil {
		return serverResponse{}, err
	}
	return c.readResponse(response, server, reused, sentAt)
}

// readResponse reads the whole response of a server.
func (c *call) readResponse(response *http.Response, server rwbackend.View, reused bool, sentAt time.Time) (serverResponse, error) {
	defer response.Body.Close()
	c.progress.begunAt = time.Now()
	reply := c.f.Wire.ParseResponse(response.StatusCode, response.Header)
	if reused && reply.RequestID != c.info.ID {
		return serverResponse{}, errNoRequestID
	}
	c.observeServer(server.Entry, response.StatusCode, reply, sentAt)
	body, err := c.readWhole(response.Body)
	if err != nil {
		return serverResponse{}, err
	}
	return serverResponse{server: server.ID, status: response.StatusCode, header: response.Header, body: body, reply: reply}, nil
}

// writeResponse sends a whole response to the caller.
func (c *call) writeResponse(response serverResponse) error {
	header := c.w.Header()
	for name, values := range c.f.Wire.ResponseHeaders(response.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(response.body)))
	c.w.WriteHeader(response.status)
	_, err := c.w.Write(response.body)
	if err == nil {
		err = http.NewResponseController(c.w).Flush() // a short body is still in the server's buffer
	}
	took := time.Since(c.startedAt)
	c.f.Counters.countAnswered(c.route.Kind, response.status, took)
	if err != nil {
		c.f.Counters.increment("undelivered")
		c.f.Log.Info("response not delivered", "request", c.info.ID, "route", c.route.Name, "status", response.status, "server", response.server,
			"cause", err.Error(), "caller", c.r.RemoteAddr, "sent", c.attempts, "took", took.Seconds())
		return nil
	}
	if c.attempts > 1 || response.status >= http.StatusInternalServerError || took > c.route.TargetLatency {
		c.f.Log.Info("answered", "request", c.info.ID, "route", c.route.Name, "status", response.status, "server", response.server, "sent", c.attempts, "took", took.Seconds())
	}
	return nil
}

// logAttempt logs an attempt that did not succeed.
func (c *call) logAttempt(text, server string, cause error) {
	causeText := ""
	if cause != nil {
		causeText = cause.Error()
	}
	c.f.Log.Info(text, "request", c.info.ID, "route", c.route.Name, "server", server, "cause", causeText, "sent", c.attempts, "took", time.Since(c.startedAt).Seconds())
}
