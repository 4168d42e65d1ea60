package rwgateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
)

// Claims binds Idempotency-Keys to request bodies, across all instances. Both are given
// as hashes.
type Claims interface {
	Claim(ctx context.Context, keyHash, bodyHash uint64) error
}

// Services forwards requests to plain services.
type Services interface {
	ServeService(w http.ResponseWriter, r *http.Request, caller rwtree.Caller, route rwtree.NamedRoute)
}

// Gateway serves the requests of callers. Set the exported fields before first use.
type Gateway struct {
	View      *rwmember.View
	Tree      func() rwtree.Tree
	Primaries Primaries
	Claims    Claims
	Services  Services
	Counters  *rwgeneration.Counters
	Refusals  *rwretry.Refusals
	Log       logr.Logger
	Memory    *rwaccount.Memory // that bodies are charged to; nil for no limit

	// IsPrimaryHere reports whether this instance is the primary of a generation, or of a
	// copy of the same request that has not yet run long enough to be proven harmless.
	IsPrimaryHere func(id rwcursor.GenerationID) bool

	// TrySetPrimary records the instance that a new generation is sent to. It returns
	// false and records nothing if that is another instance while IsPrimaryHere reports
	// true.
	TrySetPrimary func(id rwcursor.GenerationID, primary string) bool

	mu     sync.Mutex
	relays map[rwcursor.GenerationID]*relayEntry
	active atomic.Int64
	signer atomic.Pointer[cachedSigner]
}

// relayEntry is a generation that this gateway relays.
type relayEntry struct {
	primary string // instance that the generation is sent to; empty until one is selected
	callers int    // open requests of callers for the generation
}

// cachedSigner is a signer with the signing keys of the settings tree that has treeDigest.
type cachedSigner struct {
	treeDigest uint64
	signer     *rwcursor.Signer
}

// Active returns the number of open requests of callers.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Relays returns the number of generations that this gateway relays.
func (g *Gateway) Relays() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.relays)
}

// PrimaryOf returns the instance that this gateway sends a generation to.
func (g *Gateway) PrimaryOf(id rwcursor.GenerationID) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.relays[id]
	if !ok || r.primary == "" {
		return "", false
	}
	return r.primary, true
}

// PrimaryOfCopy returns the instance that this gateway sends a generation of the same
// request to.
func (g *Gateway) PrimaryOfCopy(id rwcursor.GenerationID) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, r := range g.relays {
		if placementKey(other) == placementKey(id) && r.primary != "" {
			return r.primary, true
		}
	}
	return "", false
}

// addCaller counts an open request of a caller for a generation. removeCaller must be
// called when the request ends.
func (g *Gateway) addCaller(id rwcursor.GenerationID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.relays == nil {
		g.relays = map[rwcursor.GenerationID]*relayEntry{}
	}
	if g.relays[id] == nil {
		g.relays[id] = &relayEntry{}
	}
	g.relays[id].callers++
}

// removeCaller deletes the entry of a generation with its last caller.
func (g *Gateway) removeCaller(id rwcursor.GenerationID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.relays[id]
	r.callers--
	if r.callers == 0 {
		delete(g.relays, id)
	}
}

// SetPrimary records the instance that a relayed generation is sent to.
func (g *Gateway) SetPrimary(id rwcursor.GenerationID, primary string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.relays[id]; ok {
		r.primary = primary
	}
}

// cursorSigner returns the signer for the keys of the current settings.
func (g *Gateway) cursorSigner() *rwcursor.Signer {
	tree := g.Tree()
	digest := tree.Digest()
	if s := g.signer.Load(); s != nil && s.treeDigest == digest {
		return s.signer
	}
	s := &cachedSigner{treeDigest: digest, signer: rwcursor.NewSigner(tree.SigningKeys()...)}
	g.signer.Store(s)
	return s.signer
}

// Caller authenticates a request by its API key and returns the organisation. The
// errors are KindUnavailable while this instance has no settings and KindUnauthorized.
func (g *Gateway) Caller(r *http.Request) (rwtree.Caller, error) {
	tree := g.Tree()
	if tree.Empty() {
		return rwtree.Caller{}, rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
			"this instance has not received its settings yet").WithRetryAfter(noSettingsRetryAfter)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return rwtree.Caller{}, rwerror.New(rwerror.KindUnauthorized, "send the header Authorization: Bearer KEY", "the request has no API key")
	}
	caller, ok := tree.Caller(key)
	if !ok {
		return rwtree.Caller{}, rwerror.New(rwerror.KindUnauthorized, "use an API key of your organisation", "no organisation has this API key")
	}
	return caller, nil
}

// ServeCompletion serves POST /v1/completions or, if chat is set, POST
// /v1/chat/completions.
func (g *Gateway) ServeCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if err := g.complete(w, r, chat); err != nil {
		rwerror.Write(w, err)
	}
}

// complete handles a request for a completion, or for a chat completion if chat is set.
// It returns an error only if no part of the answer has been sent. A request with a cursor
// resumes its answer.
func (g *Gateway) complete(w http.ResponseWriter, r *http.Request, chat bool) error {
	caller, err := g.Caller(r)
	if err != nil {
		return err
	}
	body, release, err := g.Memory.Body(w, r, MaxBodyBytes, decodedCopies)
	defer release()
	if err != nil {
		return err
	}
	c, err := parseCompletion(body, chat)
	if err != nil {
		return err
	}
	deadline, err := parseDeadline(r)
	if err != nil {
		return err
	}
	route, ok := g.Tree().ModelRoute(caller.Team, c.Model)
	if !ok {
		return rwerror.New(rwerror.KindNotFound, "use a model that GET /v1/models lists", "there is no model %q", c.Model)
	}
	organisation := caller.Team + "/" + caller.Name
	fingerprint := c.fingerprint(chat, organisation)
	if err := g.refuseEarlyRetry(organisation, fingerprint); err != nil {
		return err
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return invalid("use a key of at most 256 bytes", "the header %s is too long", HeaderIdempotencyKey)
	}
	spec := c.spec(chat, newGenerationID(fingerprint, organisation, key), fingerprint)
	spec.Organisation = organisation
	spec.Weight = caller.Weight
	spec.Route = route.Key()
	spec.Deadline = deadline
	spec.Zone = g.View.Self().Zone
	spec.HasIdempotencyKey = key != ""
	a := &answerWriter{gateway: g, spec: spec, model: c.Model, chat: chat, stream: c.Stream, includeUsage: c.StreamOptions.IncludeUsage, w: w}
	if text := r.Header.Get(HeaderCursor); text != "" {
		return g.resume(r.Context(), a, text)
	}
	if key != "" {
		if err := g.Claims.Claim(r.Context(), keyDigest(organisation, key), fingerprint); err != nil {
			return err
		}
	}
	return g.serve(r.Context(), a, false)
}

// refuseEarlyRetry refuses a retry that comes before the time in Retry-After. The
// primary would refuse it too; this saves the call when many callers retry.
func (g *Gateway) refuseEarlyRetry(organisation string, fingerprint uint64) error {
	wait, _ := g.Refusals.RemainingWait(rwretry.Request{Organisation: organisation, Fingerprint: fingerprint})
	if wait <= 0 {
		return nil
	}
	g.Counters.Add("early", 1)
	return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After",
		"the request was retried before the time in Retry-After").WithRetryAfter(wait)
}

// ServeResume serves GET /v1/generations: the rest of the answer after a cursor.
func (g *Gateway) ServeResume(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	caller, err := g.Caller(r)
	if err == nil {
		a := &answerWriter{gateway: g, stream: true, w: w, model: r.URL.Query().Get("model"), chat: r.URL.Query().Get("chat") == "true"}
		a.spec.Organisation = caller.Team + "/" + caller.Name
		a.spec.Deadline, err = parseDeadline(r)
		if err == nil {
			err = g.resume(r.Context(), a, r.Header.Get(HeaderCursor))
		}
	}
	if err != nil {
		rwerror.Write(w, err)
	}
}

// resume sends the rest of an answer after the cursor in text. It returns an error only if
// no part of the answer has been sent.
func (g *Gateway) resume(ctx context.Context, a *answerWriter, text string) error {
	cursor, err := g.cursorSigner().Parse(a.spec.Organisation, text)
	if err != nil {
		return err
	}
	a.spec.ID = cursor.ID
	a.resumeFrom = &cursor
	g.Counters.Add("reconnects", 1)
	return g.serve(ctx, a, true)
}

// serve relays an answer. It returns an error only if no part of the answer has been
// sent.
func (g *Gateway) serve(ctx context.Context, a *answerWriter, resume bool) error {
	id := a.spec.ID
	g.addCaller(id)
	defer g.removeCaller(id)
	log := g.Log.WithValues("generation", rwgeneration.FormatID(id), "organisation", a.spec.Organisation)
	a.signer = g.cursorSigner()
	a.relay = &relay{
		spec:          a.spec,
		view:          g.View,
		primaries:     g.Primaries,
		log:           log,
		counters:      g.Counters,
		suspected:     suspects{},
		isPrimaryHere: g.IsPrimaryHere,
		setPrimary:    func(primary string) { g.SetPrimary(id, primary) },
		trySetPrimary: func(primary string) bool { return g.TrySetPrimary(id, primary) },
	}
	ctx, cancel := context.WithDeadline(ctx, a.spec.Deadline)
	defer cancel()
	finish, err := a.relay.run(ctx, resume, a)
	var refusal *rwerror.Error
	if ctx.Err() == nil && errors.As(err, &refusal) {
		return a.sendError(refusal)
	}
	if err != nil {
		log.V(1).Info("caller left", "cause", err.Error())
		return a.sendTimeout(ctx)
	}
	g.recordRefusal(a.spec, finish.Err)
	return a.end(finish)
}

// recordRefusal stores a refusal, so that refuseEarlyRetry can refuse early retries.
func (g *Gateway) recordRefusal(spec rwgeneration.Spec, e *rwerror.Error) {
	if e != nil && e.Kind == rwerror.KindOverloaded && e.RetryAfter > 0 {
		g.Refusals.Record(rwretry.Request{Organisation: spec.Organisation, Fingerprint: spec.Fingerprint}, e.RetryAfter)
	}
}

// decodedCopies is how often a body is in memory while it is decoded, sent and kept for repeats.
const decodedCopies = 6
