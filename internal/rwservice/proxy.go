package rwservice

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwonce"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtree"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
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
	Once   *http.Client // opens a connection for each call and repeats nothing
	Log    logr.Logger
}

// call is one call of a service.
type call struct {
	proxy   *Proxy
	request *http.Request
	body    []byte
	route   rwtree.NamedRoute
	caller  rwtree.Caller
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
	c := &call{proxy: p, request: r, body: body, route: route, caller: caller}
	var a answer
	if route.Idempotent(r.Method) {
		a, err = c.repeatable()
	} else {
		a, err = c.once()
	}
	if err != nil {
		rwerror.Write(w, err)
		return
	}
	a.write(w)
}

func (a answer) write(w http.ResponseWriter) {
	for name, values := range a.header {
		if !hopByHop[name] {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Expect": true, "Proxy-Connection": true,
}

// repeatable runs an idempotent call, again on another server if one fails and
// the route's budget allows.
func (c *call) repeatable() (answer, error) {
	c.proxy.Budget.First(c.route.Key(), c.route.RetryBudget())
	var last error
	tried := map[string]bool{}
	for try := range triesMost {
		if try > 0 && !c.proxy.Budget.Spend(c.route.Key()) {
			break
		}
		server, release, err := c.server(tried)
		if err != nil {
			return answer{}, earlier(last, err)
		}
		tried[server.Name] = true
		a, _, err := c.send(c.request.Context(), server)
		release()
		if err == nil && a.status < http.StatusInternalServerError {
			return a, nil
		}
		if err == nil && try == triesMost-1 {
			return a, nil
		}
		last = err
		if err == nil {
			last = rwerror.New(rwerror.KindFailed, "ask the service's operators", "backend server %s answered %d", server.Name, a.status).WithRan(rwerror.RanYes)
		}
		if c.request.Context().Err() != nil {
			break
		}
	}
	return answer{}, last
}

func earlier(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// once runs a call that must not run twice.
func (c *call) once() (answer, error) {
	key := c.request.Header.Get("Idempotency-Key")
	if key == "" && !c.route.Keyless {
		return answer{}, rwerror.New(rwerror.KindInvalid, "send an Idempotency-Key that is new for each call and the same for its repeats",
			"%s on this route runs at most once and needs a key", c.request.Method)
	}
	if len(key) > keyMost {
		return answer{}, rwerror.New(rwerror.KindInvalid, "use a key of at most 256 bytes", "the header Idempotency-Key is too long")
	}
	server, release, err := c.server(nil)
	if err != nil {
		return answer{}, err
	}
	defer release()
	if key == "" {
		a, _, err := c.sendOnce(server)
		return a, err
	}
	return c.recorded(server, rwonce.Call{Key: c.recordKey(key), Body: c.digest()})
}

// recorded sends a call between the two writes of its record.
func (c *call) recorded(server rwtree.NamedServer, id rwonce.Call) (answer, error) {
	nonce := rwonce.NewNonce()
	ctx, cancel := context.WithTimeout(c.request.Context(), recordTime)
	ticket, outcome, err := c.proxy.Ledger.Begin(ctx, id, nonce)
	cancel()
	if err != nil {
		return answer{}, err
	}
	if outcome != nil {
		return replay(*outcome), nil
	}
	if !ticket {
		return answer{}, rwerror.New(rwerror.KindInternal, "come back later", "the record was neither begun nor known").WithRan(rwerror.RanUnknown)
	}
	// From here on the call may have left: the caller's leaving changes nothing.
	a, sent, err := c.sendOnce(server)
	switch {
	case err == nil:
		c.end(id, nonce, rwonce.StateDone, rwonce.Outcome{Status: a.status, Type: a.header.Get("Content-Type"), Payload: a.body})
	case !sent:
		c.end(id, nonce, rwonce.StateNotRun, rwonce.Outcome{})
	default:
		c.proxy.Log.Info("outcome of a call unknown", "server", server.Name, "route", c.route.Key(), "cause", err.Error())
	}
	return a, err
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

// server gets a slot at one of the route's servers.
func (c *call) server(tried map[string]bool) (rwtree.NamedServer, func(), error) {
	tree := c.proxy.Tree()
	var last error = rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
		"no backend server of route %s can take the call", c.route.Key()).WithRetryAfter(retryServers)
	for _, name := range c.inOrder(tried) {
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
			return server, func() { go c.proxy.Slots.Release(name, ask.Lease, rwslot.OutcomeDone, 0) }, nil
		}
		last = err
	}
	return rwtree.NamedServer{}, nil, last
}

// inOrder lists the servers that answer, the least loaded first.
func (c *call) inOrder(tried map[string]bool) []string {
	type candidate struct {
		name string
		used int
	}
	var best []candidate
	for _, name := range c.route.ServerNames() {
		load, known := c.proxy.Slots.Load(name)
		if tried[name] || known && (load.Down || load.Leaving) {
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

// sendOnce sends the call whether or not the caller stays.
func (c *call) sendOnce(server rwtree.NamedServer) (answer, bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), c.route.Timeout.Or(rwtree.DefaultTimeout))
	defer cancel()
	return c.send(ctx, server)
}

// send sends the call to a server. It reports whether any byte may have left.
func (c *call) send(ctx context.Context, server rwtree.NamedServer) (answer, bool, error) {
	connected := false
	ctx = traceConnected(ctx, &connected)
	out, err := c.outgoing(ctx, server)
	if err != nil {
		return answer{}, false, err
	}
	response, err := c.proxy.Once.Do(out)
	if err != nil {
		return answer{}, connected, c.lost(server, connected, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerMost))
	if err != nil {
		return answer{}, true, c.lost(server, true, err)
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, true, nil
}

func (c *call) lost(server rwtree.NamedServer, sent bool, cause error) error {
	if !sent {
		return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"the call was not run: backend server %s could not be reached", server.Name).WithRetryAfter(retryServers).WithCause(cause)
	}
	return rwerror.New(rwerror.KindUnknown, "send the same call with the same key again for the outcome, or ask the service for its status; use no other key",
		"backend server %s was lost after the call was sent", server.Name).WithRan(rwerror.RanUnknown).WithRetryAfter(retryServers).WithCause(cause)
}

// outgoing is the request to the service. Its body can't be read twice, so that
// net/http has nothing to send again.
func (c *call) outgoing(ctx context.Context, server rwtree.NamedServer) (*http.Request, error) {
	target := "http://" + server.Address + c.request.URL.RequestURI()
	out, err := http.NewRequestWithContext(ctx, c.request.Method, target, onceBody{bytes.NewReader(c.body)})
	if err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "correct the URL", "%v", err)
	}
	out.ContentLength = int64(len(c.body))
	if len(c.body) == 0 && c.route.Idempotent(c.request.Method) {
		out.Body = http.NoBody
	}
	for name, values := range c.request.Header {
		if !hopByHop[name] {
			out.Header[name] = values
		}
	}
	out.Header.Set("Organisation", c.caller.Name)
	return out, nil
}

// onceBody is a body that net/http can neither rewind nor take for an empty one.
type onceBody struct{ io.Reader }
