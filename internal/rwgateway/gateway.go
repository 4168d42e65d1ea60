package rwgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
)

// Claims binds Idempotency-Keys to bodies, wherever in the fleet.
type Claims interface {
	Claim(ctx context.Context, key, body uint64) error
}

// Services runs calls of plain services.
type Services interface {
	ServeService(w http.ResponseWriter, r *http.Request, caller rwtree.Caller, route rwtree.NamedRoute)
}

// Gateway answers callers. Set the exported fields before first use.
type Gateway struct {
	View      *rwmember.View
	Tree      func() rwtree.Tree
	Primaries Primaries
	Claims    Claims
	Services  Services
	Counters  *rwgeneration.Counters
	Refusals  *rwretry.Refusals
	Log       logr.Logger

	// Here reports whether this instance is the primary of a generation, or of
	// a copy of the same request that runs.
	Here func(id rwcursor.ID) bool

	// SendAway notes where a new generation is sent. It reports false when a
	// copy of the request runs here after all.
	SendAway func(id rwcursor.ID, primary string) bool

	mu      sync.Mutex
	relayed map[rwcursor.ID]*relayed
	active  atomic.Int64
	signer  atomic.Pointer[treeSigner]
}

// relayed is a generation that passes through this gateway.
type relayed struct {
	primary string
	callers int
}

type treeSigner struct {
	tree   uint64
	signer *rwcursor.Signer
}

// Active counts the requests that callers have open.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Relays counts the generations that pass through.
func (g *Gateway) Relays() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.relayed)
}

// PrimaryOf returns where this gateway sends a generation.
func (g *Gateway) PrimaryOf(id rwcursor.ID) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.relayed[id]
	if !ok || r.primary == "" {
		return "", false
	}
	return r.primary, true
}

// PrimaryOfCopy returns where this gateway sends a copy of the same request.
func (g *Gateway) PrimaryOfCopy(id rwcursor.ID) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, r := range g.relayed {
		if placement(other) == placement(id) && r.primary != "" {
			return r.primary, true
		}
	}
	return "", false
}

func (g *Gateway) enter(id rwcursor.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.relayed == nil {
		g.relayed = map[rwcursor.ID]*relayed{}
	}
	if g.relayed[id] == nil {
		g.relayed[id] = &relayed{}
	}
	g.relayed[id].callers++
}

func (g *Gateway) leave(id rwcursor.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.relayed[id]
	r.callers--
	if r.callers == 0 {
		delete(g.relayed, id)
	}
}

// NoticePrimary notes where a generation that passes through is sent.
func (g *Gateway) NoticePrimary(id rwcursor.ID, primary string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.relayed[id]; ok {
		r.primary = primary
	}
}

// cursors returns the signer of the settings in force.
func (g *Gateway) cursors() *rwcursor.Signer {
	tree := g.Tree()
	digest := tree.Digest()
	if s := g.signer.Load(); s != nil && s.tree == digest {
		return s.signer
	}
	s := &treeSigner{tree: digest, signer: rwcursor.NewSigner(tree.Signing()...)}
	g.signer.Store(s)
	return s.signer
}

// Caller finds the organisation of a request's API key.
func (g *Gateway) Caller(r *http.Request) (rwtree.Caller, error) {
	tree := g.Tree()
	if tree.Empty() {
		return rwtree.Caller{}, rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"this instance has no settings yet").WithRetryAfter(settingsRetry)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return rwtree.Caller{}, rwerror.New(rwerror.KindUnauthorized, "send the header Authorization: Bearer KEY", "the request has no API key")
	}
	caller, ok := tree.Caller(key)
	if !ok {
		return rwtree.Caller{}, rwerror.New(rwerror.KindUnauthorized, "use a key of your organisation", "no organisation has this API key")
	}
	return caller, nil
}

// ServeCompletion answers POST /v1/completions and, with chat, POST
// /v1/chat/completions.
func (g *Gateway) ServeCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if err := g.complete(w, r, chat); err != nil {
		rwerror.Write(w, err)
	}
}

func (g *Gateway) complete(w http.ResponseWriter, r *http.Request, chat bool) error {
	caller, err := g.Caller(r)
	if err != nil {
		return err
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	c, err := parseCompletion(body, chat)
	if err != nil {
		return err
	}
	until, err := deadline(r)
	if err != nil {
		return err
	}
	route, ok := g.Tree().ModelRoute(caller.Team, c.Model)
	if !ok {
		return rwerror.New(rwerror.KindNotFound, "use a model that GET /v1/models lists", "there is no model %q", c.Model)
	}
	organisation := caller.Team + "/" + caller.Name
	fingerprint := c.fingerprint(chat, organisation)
	if err := g.early(organisation, fingerprint); err != nil {
		return err
	}
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return invalid("use a key of at most 256 bytes", "the header %s is too long", HeaderKey)
	}
	spec := c.spec(chat, identity(fingerprint, organisation, key), fingerprint)
	spec.Organisation = organisation
	spec.Weight = caller.Weight
	spec.Route = route.Key()
	spec.Deadline = until
	spec.Zone = g.View.Self().Zone
	spec.Keyed = key != ""
	a := &answer{gateway: g, spec: spec, model: c.Model, chat: chat, stream: c.Stream, usage: c.StreamOptions.IncludeUsage, w: w}
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

// early refuses a repeat that comes before its time at once. The primary would do
// the same; in a storm of repeats this spares it the asking.
func (g *Gateway) early(organisation string, fingerprint uint64) error {
	wait, _ := g.Refusals.RemainingWait(rwretry.Request{Organisation: organisation, Fingerprint: fingerprint})
	if wait <= 0 {
		return nil
	}
	g.Counters.Add("early", 1)
	return rwerror.New(rwerror.KindOverloaded, "come back after the time in Retry-After",
		"the request came back too early").WithRetryAfter(wait)
}

// ServeResume answers GET /v1/generations with a cursor.
func (g *Gateway) ServeResume(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	caller, err := g.Caller(r)
	if err == nil {
		a := &answer{gateway: g, stream: true, w: w, model: r.URL.Query().Get("model"), chat: r.URL.Query().Get("chat") == "true"}
		a.spec.Organisation = caller.Team + "/" + caller.Name
		a.spec.Deadline, err = deadline(r)
		if err == nil {
			err = g.resume(r.Context(), a, r.Header.Get(HeaderCursor))
		}
	}
	if err != nil {
		rwerror.Write(w, err)
	}
}

func (g *Gateway) resume(ctx context.Context, a *answer, text string) error {
	cursor, err := g.cursors().Parse(a.spec.Organisation, text)
	if err != nil {
		return err
	}
	a.spec.ID = cursor.ID
	a.after = &cursor
	g.Counters.Add("reconnects", 1)
	return g.serve(ctx, a, true)
}

// serve relays an answer. Its error is one that came before any byte of the
// answer was sent.
func (g *Gateway) serve(ctx context.Context, a *answer, resume bool) error {
	id := a.spec.ID
	g.enter(id)
	defer g.leave(id)
	log := g.Log.WithValues("generation", rwgeneration.Text(id), "organisation", a.spec.Organisation)
	a.signer = g.cursors()
	a.relay = &relay{
		spec:      a.spec,
		view:      g.View,
		primaries: g.Primaries,
		log:       log,
		counters:  g.Counters,
		suspected: suspects{},
		here:      g.Here,
		noticed:   func(primary string) { g.NoticePrimary(id, primary) },
		sendAway:  func(primary string) bool { return g.SendAway(id, primary) },
	}
	ctx, cancel := context.WithDeadline(ctx, a.spec.Deadline)
	defer cancel()
	finish, err := a.relay.run(ctx, resume, a)
	var refusal *rwerror.Error
	if ctx.Err() == nil && errors.As(err, &refusal) {
		return a.fail(refusal)
	}
	if err != nil {
		log.V(1).Info("caller left", "cause", err.Error())
		return a.cut(ctx)
	}
	g.note(a.spec, finish.Err)
	return a.end(finish)
}

// note remembers a refusal, for when the caller comes back too early.
func (g *Gateway) note(spec rwgeneration.Spec, e *rwerror.Error) {
	if e != nil && e.Kind == rwerror.KindOverloaded && e.RetryAfter > 0 {
		g.Refusals.Note(rwretry.Request{Organisation: spec.Organisation, Fingerprint: spec.Fingerprint}, e.RetryAfter)
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return nil, rwerror.New(rwerror.KindTooLarge, "send at most 2 MiB", "the body can't be read: %v", err)
	}
	return body, nil
}
