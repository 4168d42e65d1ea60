package rwservice

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwattempt"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwonce"
	"ragwortwall/internal/rwpoison"
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
	maxBodyBytes      = 2 << 20
	maxAnswerBytes    = 8 << 20
	recordTimeout     = 4 * time.Second // of one write of a call's record
	maxRecordAttempts = 3               // to record an outcome
	maxAttempts       = 3
	maxKeyBytes       = 256 // of an Idempotency-Key
	serverRetryAfter  = time.Second
)

// Ledger stores the records of calls that run at most once. See rwonce.Ledger.
type Ledger interface {
	Begin(ctx context.Context, c rwonce.Call, nonce string) (bool, *rwonce.Outcome, error)
	End(ctx context.Context, c rwonce.Call, nonce string, state rwonce.State, outcome rwonce.Outcome) error
}

// Slots acquires and releases concurrency slots of backend servers and reports their
// load.
type Slots interface {
	Acquire(ctx context.Context, server string, r rwslot.Request) error
	Release(server, lease string, outcome rwslot.Outcome, meanTokenTime time.Duration)
	Load(server string) (rwslot.Load, bool)
}

// Proxy forwards calls to services. Set the fields before first use.
type Proxy struct {
	Tree   func() rwtree.Tree
	Slots  Slots
	Ledger Ledger
	Budget *rwretry.Budget
	Dial   func(ctx context.Context, address string) (net.Conn, error) // connects to a backend server
	Memory *rwaccount.Memory                                           // that bodies and answers are charged to; nil for no limit
	Log    logr.Logger

	Suspicions      *rwpoison.Registry
	NotifySuspicion func(rwpoison.Suspicion) // publishes the losses under a request; called in a goroutine of its own
}

// call is a caller's call of a service.
type call struct {
	proxy     *Proxy
	request   *http.Request
	body      []byte
	route     rwtree.NamedRoute
	caller    rwtree.Caller
	attempted map[string]bool // by server name

	fingerprint rwpoison.Fingerprint
}

// bodyCopies is how often a body is in memory while it grows and is sent.
const bodyCopies = 3

// answer is a service's response, read in full.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ServeService forwards a call to a server of the route and writes the answer.
// Idempotent calls are retried within the retry budget of the route; others run at
// most once.
func (p *Proxy) ServeService(w http.ResponseWriter, r *http.Request, caller rwtree.Caller, route rwtree.NamedRoute) {
	body, release, err := p.Memory.Body(w, r, maxBodyBytes, bodyCopies)
	defer release()
	if err != nil {
		rwerror.Write(w, err)
		return
	}
	c := &call{proxy: p, request: r, body: body, route: route, caller: caller, attempted: map[string]bool{}}
	c.fingerprint = c.computeFingerprint()
	if refusal := p.Suspicions.QuarantineError(c.fingerprint); refusal != nil {
		rwerror.Write(w, refusal)
		return
	}
	var result rwattempt.Result[answer]
	if route.Idempotent(r.Method) {
		p.Budget.Deposit(route.Key(), route.RetryBudget())
		result = c.plan(maxAttempts).RunIdempotent()
	} else {
		result = c.runAtMostOnce()
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

func (c *call) plan(attempts int) rwattempt.Plan[heldSlot, answer] {
	return rwattempt.Plan[heldSlot, answer]{
		MaxAttempts: attempts, Pick: c.acquireSlot, Attempt: c.attempt,
		SpendRetry:  func() bool { return c.proxy.Budget.Spend(c.route.Key()) },
		CanContinue: func() bool { return c.request.Context().Err() == nil },
	}
}

// runAtMostOnce runs a call that must not run twice: with a record if it has an
// idempotency key, and otherwise without one, which the route must allow.
func (c *call) runAtMostOnce() rwattempt.Result[answer] {
	key := c.request.Header.Get("Idempotency-Key")
	if key == "" && !c.route.AllowMissingKey {
		return refused(rwerror.New(rwerror.KindInvalid, "send an Idempotency-Key that is unique to the call and the same for its repeats",
			"%s on this route runs at most once and requires an Idempotency-Key", c.request.Method))
	}
	if len(key) > maxKeyBytes {
		return refused(rwerror.New(rwerror.KindInvalid, "use a key of at most 256 bytes", "the header Idempotency-Key is longer than 256 bytes"))
	}
	// Acquire the first slot before Begin, so that a call without a slot writes no record.
	first, err := c.acquireSlot()
	if err != nil {
		return refused(err)
	}
	plan := c.plan(1)
	plan.Pick = func() (heldSlot, error) {
		if first.release == nil {
			return c.acquireSlot()
		}
		taken := first
		first = heldSlot{}
		return taken, nil
	}
	if key == "" {
		return plan.RunAtMostOnce()
	}
	result := c.runRecorded(plan, rwonce.Call{Key: c.recordKey(key), RequestDigest: c.requestDigest()})
	if first.release != nil {
		first.release()
	}
	return result
}

func refused(err error) rwattempt.Result[answer] {
	return rwattempt.Result[answer]{Outcome: rwattempt.OutcomeRefused, Err: err}
}

// runRecorded writes the record of a call, sends the call, and records its outcome.
// If the call has already run, it returns the recorded outcome instead.
func (c *call) runRecorded(plan rwattempt.Plan[heldSlot, answer], id rwonce.Call) rwattempt.Result[answer] {
	nonce := rwonce.NewNonce()
	ctx, cancel := context.WithTimeout(c.request.Context(), recordTimeout)
	granted, outcome, err := c.proxy.Ledger.Begin(ctx, id, nonce)
	cancel()
	if err != nil {
		return refused(err)
	}
	if outcome != nil {
		return rwattempt.Result[answer]{Answer: replay(*outcome)}
	}
	if !granted {
		return refused(rwerror.New(rwerror.KindInternal, "retry later", "the ledger returned neither a permission to send the call nor an outcome").WithRan(rwerror.RanUnknown))
	}
	// The call may be sent from here on, so it is not cancelled if the caller
	// disconnects.
	result := plan.RunAtMostOnce()
	switch result.Outcome {
	case rwattempt.OutcomeAnswered:
		a := result.Answer
		c.recordOutcome(id, nonce, rwonce.StateDone, rwonce.Outcome{Status: a.status, Type: a.header.Get("Content-Type"), Payload: a.body})
	case rwattempt.OutcomeUnknown:
		c.proxy.Log.Info("call outcome unknown", "route", c.route.Key(), "cause", result.Err.Error())
	default:
		c.recordOutcome(id, nonce, rwonce.StateNotRun, rwonce.Outcome{})
	}
	return result
}

// recordOutcome writes the outcome of a call to its record. If all attempts fail, the
// record stays in StateSent and repeats of the call get an error that says that the
// outcome is unknown.
func (c *call) recordOutcome(id rwonce.Call, nonce string, state rwonce.State, outcome rwonce.Outcome) {
	for range maxRecordAttempts {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), recordTimeout)
		err := c.proxy.Ledger.End(ctx, id, nonce, state, outcome)
		cancel()
		if err == nil {
			return
		}
		c.proxy.Log.Info("call outcome not recorded", "state", string(state), "cause", err.Error())
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

// recordKey returns the key of the call's record. It is a digest, so that text from
// the caller affects neither the names nor the sizes of stored objects.
func (c *call) recordKey(key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%s\x00%s", c.caller.Team, c.caller.Name, c.route.Name, key))
	return hex.EncodeToString(sum[:16])
}

func (c *call) requestDigest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.request.Method + " " + c.request.URL.RequestURI() + "\x00")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// computeFingerprint returns the identity of a call across repeats. Their idempotency
// keys may differ.
func (c *call) computeFingerprint() rwpoison.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(c.caller.Team + "\x00" + c.caller.Name + "\x00")
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, c.requestDigest()))
	return rwpoison.Fingerprint(h.Sum64())
}

// recordLoss records that a server was lost while it ran the call, whatever the cause.
func (c *call) recordLoss(server string, cause error) {
	load, _ := c.proxy.Slots.Load(server)
	s := c.proxy.Suspicions.RecordLoss(c.fingerprint, server+"/"+load.Incarnation)
	c.proxy.Log.Info("server lost while running a request", "route", c.route.Key(), "organisation", c.caller.Name, "fingerprint", c.fingerprint.String(),
		"server", server, "cause", cause.Error(), "losses", len(s.Losses), "quarantined", s.Rejected())
	go c.proxy.NotifySuspicion(s)
}

// recordSurvival records that a server ran the call to the end. A server's failure is no sign
// that the call doesn't crash servers.
func (c *call) recordSurvival(server string, status int) {
	s, ok := c.proxy.Suspicions.Complete(c.fingerprint)
	if !ok {
		return
	}
	c.proxy.Log.Info("losses forgotten", "route", c.route.Key(), "organisation", c.caller.Name, "fingerprint", c.fingerprint.String(),
		"server", server, "status", status, "losses", len(s.Losses))
	go c.proxy.NotifySuspicion(s)
}

// heldSlot is an acquired slot of a backend server.
type heldSlot struct {
	server  rwtree.NamedServer
	release func()
}

// acquireSlot acquires a slot of one of the route's servers that the call has not
// attempted yet. If there is none, it returns the last server's error, if any.
func (c *call) acquireSlot() (heldSlot, error) {
	tree := c.proxy.Tree()
	var lastErr error = rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
		"no backend server of route %s is available for the call", c.route.Key()).WithRetryAfter(serverRetryAfter)
	for _, name := range c.serversByLoad() {
		server, ok := tree.Server(name)
		if !ok || server.Leaving {
			continue
		}
		slotRequest := rwslot.Request{
			Lease: uuid.NewString(), Organisation: c.caller.Team + "/" + c.caller.Name, Weight: c.caller.Weight,
			Tokens: 1, MaxWait: c.route.SlotTimeout.Or(rwtree.DefaultSlotTimeout),
		}
		err := c.proxy.Slots.Acquire(c.request.Context(), name, slotRequest)
		if err == nil {
			c.attempted[name] = true
			return heldSlot{server, func() { go c.proxy.Slots.Release(name, slotRequest.Lease, rwslot.OutcomeDone, 0) }}, nil
		}
		lastErr = err
	}
	return heldSlot{}, lastErr
}

// serversByLoad returns the route's servers that are neither attempted nor known to
// be down or leaving, least loaded first.
func (c *call) serversByLoad() []string {
	type candidate struct {
		name string
		used int
	}
	var candidates []candidate
	for _, name := range c.route.ServerNames() {
		load, known := c.proxy.Slots.Load(name)
		if c.attempted[name] || known && (load.Down || load.Leaving) {
			continue
		}
		at := len(candidates)
		for at > 0 && candidates[at-1].used > load.Held+load.Waiting {
			at--
		}
		candidates = append(candidates, candidate{})
		copy(candidates[at+1:], candidates[at:])
		candidates[at] = candidate{name: name, used: load.Held + load.Waiting}
	}
	names := make([]string, len(candidates))
	for i, server := range candidates {
		names[i] = server.name
	}
	return names
}

// attempt sends the call to a server on a new connection and reads the whole answer.
// A call that must not run twice is not cancelled if its caller disconnects.
func (c *call) attempt(slot heldSlot) rwattempt.Result[answer] {
	defer slot.release()
	if refusal := c.proxy.Suspicions.QuarantineError(c.fingerprint); refusal != nil {
		if c.route.Idempotent(c.request.Method) {
			refusal = refusal.WithRan(rwerror.RanUnknown)
		}
		return refused(refusal)
	}
	ctx := c.request.Context()
	if !c.route.Idempotent(c.request.Method) {
		ctx = context.WithoutCancel(ctx)
	}
	timeout := c.route.Timeout.Or(rwtree.DefaultTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := c.dial(ctx, slot.server.Address)
	if err != nil {
		return rwattempt.Result[answer]{Outcome: rwattempt.OutcomeUnsent, Err: rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
			"the call was not run: cannot connect to backend server %s", slot.server.Name).WithRetryAfter(serverRetryAfter).WithCause(err)}
	}
	conn := rwlink.New(raw, slot.server.Address)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	a, err := c.exchange(conn, slot.server.Address, timeout)
	if err != nil {
		if ctx.Err() == nil {
			c.recordLoss(slot.server.Name, err)
		}
		return rwattempt.Result[answer]{Outcome: rwattempt.OutcomeUnknown, Err: rwerror.New(rwerror.KindOutcomeUnknown,
			"repeat the call with the same key for the outcome, or ask the service for its status; do not use another key",
			"the connection to backend server %s was lost after the call was sent", slot.server.Name).WithRan(rwerror.RanUnknown).WithRetryAfter(serverRetryAfter).WithCause(err)}
	}
	failed := a.status >= http.StatusInternalServerError
	if !failed {
		c.recordSurvival(slot.server.Name, a.status)
	}
	return rwattempt.Result[answer]{Answer: a, Failed: failed}
}

// exchange sends the call on conn and reads the whole answer.
func (c *call) exchange(conn *rwlink.Conn, host string, timeout time.Duration) (answer, error) {
	request := rwlink.Request{
		Method: c.request.Method, Target: c.request.URL.RequestURI(), Host: host, Header: http.Header{}, Body: c.body,
	}
	for name, values := range c.request.Header {
		if !rwlink.HopByHopHeaders.Has(name) && !withheldHeaders.Has(name) {
			request.Header[name] = values
		}
	}
	request.Header.Set("Organisation", c.caller.Name)
	response, _, err := conn.Exchange(request, func(time.Duration) (time.Duration, error) { return timeout, nil }, nil)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	defer response.Body.Close()
	body, err := rwlink.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// withheldHeaders are request headers for the proxy itself, which are not forwarded.
var withheldHeaders = rwset.New("Authorization", "Expect")
