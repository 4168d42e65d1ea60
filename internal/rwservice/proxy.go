package rwservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ragwortwall/internal/rwattempt"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwonce"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtree"
	"ragwortwall/pkg/rwset"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	bodyMost     = 2 << 20
	answerMost   = 8 << 20
	recordTime   = 4 * time.Second
	endTries     = 3
	triesMost    = 3
	keyMost      = 256
	retryServers = time.Second
)

// Ledger keeps the records of calls that run at most once.
type Ledger interface {
	Begin(ctx context.Context, c rwonce.Call, nonce string) (bool, *rwonce.Outcome, error)
	End(ctx context.Context, c rwonce.Call, nonce string, state rwonce.State, outcome rwonce.Outcome) error
}

// Slots gives slots of backend servers.
type Slots interface {
	Acquire(ctx context.Context, server string, a rwslot.Ask) error
	Release(server, lease string, outcome rwslot.Outcome, token time.Duration)
	Load(server string) (rwslot.Load, bool)
}

// Proxy routes calls to services. Set the fields before first use.
type Proxy struct {
	Tree   func() rwtree.Tree
	Slots  Slots
	Ledger Ledger
	Budget *rwretry.Budget
	Dial   func(ctx context.Context, address string) (net.Conn, error) // opens a connection to a server
	Log    logr.Logger
}

// call is one call of a service.
type call struct {
	proxy   *Proxy
	request *http.Request
	body    []byte
	route   rwtree.NamedRoute
	caller  rwtree.Caller
	tried   map[string]bool // names of servers
}

// answer is what a service answered.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ServeService answers one call of a caller.
func (p *Proxy) ServeService(w http.ResponseWriter, r *http.Request, caller rwtree.Caller, route rwtree.NamedRoute) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		rwerror.Write(w, rwerror.New(rwerror.KindTooLarge, "send at most 2 MiB", "the body can't be read: %v", err))
		return
	}
	c := &call{proxy: p, request: r, body: body, route: route, caller: caller, tried: map[string]bool{}}
	var result rwattempt.Result[answer]
	if route.Idempotent(r.Method) {
		p.Budget.Deposit(route.Key(), route.RetryBudget())
		result = c.plan(triesMost).RunIdempotent()
	} else {
		result = c.once()
	}
	if result.Outcome != rwattempt.OutcomeAnswered {
		rwerror.Write(w, result.Err)
		return
	}
	result.Answer.write(w)
}

func (a answer) write(w http.ResponseWriter) {
	for name, values := range a.header {
		if !rwlink.HopByHopHeaders.Has(name) {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

func (c *call) plan(most int) rwattempt.Plan[place, answer] {
	return rwattempt.Plan[place, answer]{
		MaxAttempts: most, Pick: c.server, Try: c.try,
		SpendRetry:  func() bool { return c.proxy.Budget.Spend(c.route.Key()) },
		CanContinue: func() bool { return c.request.Context().Err() == nil },
	}
}

// once runs a call that must not run twice.
func (c *call) once() rwattempt.Result[answer] {
	key := c.request.Header.Get("Idempotency-Key")
	if key == "" && !c.route.Keyless {
		return refused(rwerror.New(rwerror.KindInvalid, "send an Idempotency-Key that is new for each call and the same for its repeats",
			"%s on this route runs at most once and needs a key", c.request.Method))
	}
	if len(key) > keyMost {
		return refused(rwerror.New(rwerror.KindInvalid, "use a key of at most 256 bytes", "the header Idempotency-Key is too long"))
	}
	// A call that gets no slot writes no record.
	first, err := c.server()
	if err != nil {
		return refused(err)
	}
	plan := c.plan(1)
	plan.Pick = func() (place, error) {
		if first.release == nil {
			return c.server()
		}
		taken := first
		first = place{}
		return taken, nil
	}
	if key == "" {
		return plan.RunAtMostOnce()
	}
	result := c.recorded(plan, rwonce.Call{Key: c.recordKey(key), Body: c.digest()})
	if first.release != nil {
		first.release()
	}
	return result
}

func refused(err error) rwattempt.Result[answer] {
	return rwattempt.Result[answer]{Outcome: rwattempt.OutcomeRefused, Err: err}
}

// recorded sends a call between the two writes of its record.
func (c *call) recorded(plan rwattempt.Plan[place, answer], id rwonce.Call) rwattempt.Result[answer] {
	nonce := rwonce.NewNonce()
	ctx, cancel := context.WithTimeout(c.request.Context(), recordTime)
	ticket, outcome, err := c.proxy.Ledger.Begin(ctx, id, nonce)
	cancel()
	if err != nil {
		return refused(err)
	}
	if outcome != nil {
		return rwattempt.Result[answer]{Answer: replay(*outcome)}
	}
	if !ticket {
		return refused(rwerror.New(rwerror.KindInternal, "come back later", "the record was neither begun nor known").WithRan(rwerror.RanUnknown))
	}
	// From here on the call may have left: the caller's leaving changes nothing.
	result := plan.RunAtMostOnce()
	switch result.Outcome {
	case rwattempt.OutcomeAnswered:
		a := result.Answer
		c.end(id, nonce, rwonce.StateDone, rwonce.Outcome{Status: a.status, Type: a.header.Get("Content-Type"), Payload: a.body})
	case rwattempt.OutcomeUnknown:
		c.proxy.Log.Info("outcome of a call unknown", "route", c.route.Key(), "cause", result.Err.Error())
	default:
		c.end(id, nonce, rwonce.StateNotRun, rwonce.Outcome{})
	}
	return result
}

// end writes the outcome. When it can't be written the record stays sent, and
// whoever asks is told that the outcome is unknown.
func (c *call) end(id rwonce.Call, nonce string, state rwonce.State, outcome rwonce.Outcome) {
	for range endTries {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), recordTime)
		err := c.proxy.Ledger.End(ctx, id, nonce, state, outcome)
		cancel()
		if err == nil {
			return
		}
		c.proxy.Log.Info("outcome of a call not recorded", "state", string(state), "cause", err.Error())
	}
}

func replay(o rwonce.Outcome) answer {
	header := http.Header{}
	if o.Type != "" {
		header.Set("Content-Type", o.Type)
	}
	header.Set("Idempotent-Replayed", "true")
	return answer{status: o.Status, header: header, body: o.Payload}
}

// recordKey names the record: a digest, so that no caller's text stands in an
// object's name or size.
func (c *call) recordKey(key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%s\x00%s", c.caller.Team, c.caller.Name, c.route.Name, key))
	return hex.EncodeToString(sum[:16])
}

func (c *call) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.request.Method + " " + c.request.URL.RequestURI() + "\x00")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// place is a slot at a backend server.
type place struct {
	server  rwtree.NamedServer
	release func()
}

// server gets a slot at one of the route's servers that was not tried.
func (c *call) server() (place, error) {
	tree := c.proxy.Tree()
	var last error = rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
		"no backend server of route %s can take the call", c.route.Key()).WithRetryAfter(retryServers)
	for _, name := range c.inOrder() {
		server, ok := tree.Server(name)
		if !ok || server.Leaving {
			continue
		}
		ask := rwslot.Ask{
			Lease: uuid.NewString(), Organisation: c.caller.Team + "/" + c.caller.Name, Weight: c.caller.Weight,
			Tokens: 1, Patience: c.route.Patience.Or(rwtree.DefaultPatience),
		}
		err := c.proxy.Slots.Acquire(c.request.Context(), name, ask)
		if err == nil {
			c.tried[name] = true
			return place{server, func() { go c.proxy.Slots.Release(name, ask.Lease, rwslot.OutcomeDone, 0) }}, nil
		}
		last = err
	}
	return place{}, last
}

// inOrder lists the servers that answer, the least loaded first.
func (c *call) inOrder() []string {
	type candidate struct {
		name string
		used int
	}
	var best []candidate
	for _, name := range c.route.ServerNames() {
		load, known := c.proxy.Slots.Load(name)
		if c.tried[name] || known && (load.Down || load.Leaving) {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].used > load.Held+load.Waiting {
			at--
		}
		best = append(best, candidate{})
		copy(best[at+1:], best[at:])
		best[at] = candidate{name: name, used: load.Held + load.Waiting}
	}
	names := make([]string, len(best))
	for i, b := range best {
		names[i] = b.name
	}
	return names
}

// try sends the call to a server, on a connection of its own, and reads the whole
// answer. A call that must not run twice goes on whether or not its caller stays.
func (c *call) try(p place) rwattempt.Result[answer] {
	defer p.release()
	ctx := c.request.Context()
	if !c.route.Idempotent(c.request.Method) {
		ctx = context.WithoutCancel(ctx)
	}
	limit := c.route.Timeout.Or(rwtree.DefaultTimeout)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := c.proxy.Dial(ctx, p.server.Address)
	if err != nil {
		return rwattempt.Result[answer]{Outcome: rwattempt.OutcomeUnsent, Err: rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"the call was not run: backend server %s could not be reached", p.server.Name).WithRetryAfter(retryServers).WithCause(err)}
	}
	conn := rwlink.New(raw, p.server.Address)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	a, err := c.exchange(conn, p.server.Address, limit)
	if err != nil {
		return rwattempt.Result[answer]{Outcome: rwattempt.OutcomeUnknown, Err: rwerror.New(rwerror.KindUnknown,
			"send the same call with the same key again for the outcome, or ask the service for its status; use no other key",
			"backend server %s was lost after the call was sent", p.server.Name).WithRan(rwerror.RanUnknown).WithRetryAfter(retryServers).WithCause(err)}
	}
	return rwattempt.Result[answer]{Answer: a, Failed: a.status >= http.StatusInternalServerError}
}

// exchange sends the call and reads the whole answer.
func (c *call) exchange(conn *rwlink.Conn, host string, limit time.Duration) (answer, error) {
	request := rwlink.Request{
		Method: c.request.Method, Target: c.request.URL.RequestURI(), Host: host, Header: http.Header{}, Body: c.body,
	}
	for name, values := range c.request.Header {
		if !rwlink.HopByHopHeaders.Has(name) && !kept.Has(name) {
			request.Header[name] = values
		}
	}
	request.Header.Set("Organisation", c.caller.Name)
	response, _, err := conn.Exchange(request, func(time.Duration) (time.Duration, error) { return limit, nil }, nil)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerMost))
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// kept are the headers of a call that are meant for this system alone.
var kept = rwset.New("Authorization", "Expect")
