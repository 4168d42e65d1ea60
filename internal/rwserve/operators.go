package rwserve

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwmove"
	"ragwortwall/internal/rwoperate"
	"ragwortwall/internal/rwtree"
	"ragwortwall/internal/rwwire"

	"github.com/kataras/iris/v12"
)

const (
	maxOperatorBody = 1 << 20
	headerOperator  = "Operator-Key"
	statusTimeout   = 600 * time.Millisecond
)

// operatorsHandler returns the handler for requests of operators. Every path needs
// an operator's key.
func (i *Instance) operatorsHandler() http.Handler {
	app := newApp()
	app.Get("/state", i.operatorJSON(func(iris.Context, operator) (any, error) { return i.State(), nil }))
	app.Get("/settings", i.operatorJSON(i.listSettings))
	app.Get("/settings/{name}", i.operatorJSON(i.getSettings))
	app.Put("/settings/{name}", i.operatorJSON(i.putSettings))
	app.Get("/settings/{name}/history", i.operatorJSON(i.settingsHistory))
	app.Post("/settings/{name}/rollback/{generation:int64}", i.operatorJSON(i.rollbackSettings))
	app.Get("/status", i.operatorJSON(i.settingsStatus))
	app.Get("/moves", i.operatorJSON(i.listMoves))
	app.Post("/moves", i.operatorJSON(i.startMove))
	app.Post("/moves/{team}/{route}/{action}", i.operatorJSON(i.actOnMove))
	app.Get("/debug/vars", i.operatorOnly(expvar.Handler()))
	app.Get("/debug/pprof/{name:path}", i.operatorOnly(http.HandlerFunc(serveProfile)))
	return build(app)
}

// serveProfile serves the Go runtime's profiles.
func serveProfile(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/profile") {
		pprof.Profile(w, r)
		return
	}
	pprof.Index(w, r)
}

// operator is the authenticated sender of a request.
type operator struct {
	name string
	rwtree.Operator
}

// authorise returns an error of KindForbidden if the operator may not change the
// subtree.
func (o operator) authorise(subtree string) error {
	if o.MayChange(subtree) {
		return nil
	}
	return rwerror.New(rwerror.KindForbidden, "ask an operator of that team, or an operator of all teams", "operator %s is not allowed to access subtree %s", o.name, subtree)
}

// operatorJSON returns a handler that authenticates the operator and writes the
// result of serve, or its error, as JSON.
func (i *Instance) operatorJSON(serve func(iris.Context, operator) (any, error)) iris.Handler {
	return func(ctx iris.Context) {
		op, err := i.authenticate(ctx.GetHeader(headerOperator))
		var answer any
		if err == nil {
			answer, err = serve(ctx, op)
		}
		if err != nil {
			rwerror.Write(ctx.ResponseWriter(), err)
			return
		}
		writeJSON(ctx.ResponseWriter(), answer)
	}
}

// operatorOnly returns a handler that authenticates the operator and then calls the
// given handler.
func (i *Instance) operatorOnly(handler http.Handler) iris.Handler {
	return func(ctx iris.Context) {
		if _, err := i.authenticate(ctx.GetHeader(headerOperator)); err != nil {
			rwerror.Write(ctx.ResponseWriter(), err)
			return
		}
		handler.ServeHTTP(ctx.ResponseWriter(), ctx.Request())
	}
}

// authenticate returns the operator with the given key, or an error of KindUnauthorized.
func (i *Instance) authenticate(key string) (operator, error) {
	name, o, ok := i.settings.Tree().Operator(key)
	if !ok {
		return operator{}, rwerror.New(rwerror.KindUnauthorized, "send the header "+headerOperator+" with a key from the root settings", "the operator key is missing or unknown")
	}
	return operator{name: name, Operator: o}, nil
}

// Subtree is a settings subtree as read and written by operators.
type Subtree struct {
	Name       string          `json:"name"`
	Generation int64           `json:"generation"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

func (i *Instance) listSettings(iris.Context, operator) (any, error) {
	tree := i.settings.Tree()
	list := []Subtree{}
	for _, name := range tree.Names() {
		list = append(list, Subtree{Name: name, Generation: tree.Generation(name)})
	}
	return list, nil
}

func (i *Instance) getSettings(ctx iris.Context, op operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := op.authorise(owningTeam(name)); err != nil {
		return nil, err
	}
	o, ok := i.settings.Tree().Object(name)
	if !ok {
		return nil, rwerror.New(rwerror.KindNotFound, "list the subtrees at /settings", "subtree %q does not exist", name)
	}
	return Subtree{Name: name, Generation: o.Generation(), Spec: o.Spec}, nil
}

// owningTeam returns the subtree that an operator must be allowed to change in order
// to access a settings object: the team of a move, or else the object itself.
func owningTeam(name string) string {
	rest, isMove := strings.CutPrefix(name, rwtree.MovePrefix)
	if !isMove {
		return name
	}
	team, _, _ := strings.Cut(rest, ".")
	return team
}

// putSettings replaces the spec of the subtree that the path names. The generation in the
// body is the one that the change is based on.
func (i *Instance) putSettings(ctx iris.Context, op operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := op.authorise(owningTeam(name)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxOperatorBody))
	if err != nil {
		return nil, rwerror.New(rwerror.KindTooLarge, "send at most 1 MiB", "failed to read the body: %v", err)
	}
	var s Subtree
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "send an object with generation and spec", "failed to parse the body: %v", err)
	}
	written, err := i.editor.Put(ctx.Request().Context(), rwoperate.Change{Name: name, Spec: s.Spec, Generation: s.Generation, Author: op.name})
	if err != nil {
		return nil, err
	}
	return Subtree{Name: name, Generation: written.Generation()}, nil
}

func (i *Instance) settingsHistory(ctx iris.Context, op operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := op.authorise(owningTeam(name)); err != nil {
		return nil, err
	}
	return i.editor.History(ctx.Request().Context(), name)
}

func (i *Instance) rollbackSettings(ctx iris.Context, op operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := op.authorise(owningTeam(name)); err != nil {
		return nil, err
	}
	to, err := strconv.ParseInt(ctx.Params().Get("generation"), 10, 64)
	if err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "write the generation as an integer", "%v", err)
	}
	written, err := i.editor.Rollback(ctx.Request().Context(), name, to, op.name)
	if err != nil {
		return nil, err
	}
	return Subtree{Name: name, Generation: written.Generation()}, nil
}

// SettingsStatus lists the generations of the settings that an instance applies, or the
// error met when it was asked for them.
type SettingsStatus struct {
	Instance    string           `json:"instance"`
	Generations map[string]int64 `json:"generations,omitempty"`
	Error       string           `json:"error,omitempty"`
}

// settingsStatus asks every reachable instance which generations it applies.
func (i *Instance) settingsStatus(ctx iris.Context, _ operator) (any, error) {
	own := SettingsStatus{Instance: i.Config.Name, Generations: generationsByName(i.settings.Revisions())}
	all := []SettingsStatus{own}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range i.view.Reachable() {
		wg.Go(func() {
			status := i.settingsStatusOf(ctx.Request().Context(), m)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, status)
		})
	}
	wg.Wait()
	return all, nil
}

// settingsStatusOf asks one member which generations it applies.
func (i *Instance) settingsStatusOf(ctx context.Context, m rwmember.Member) SettingsStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	d := i.digest()
	d.Full = true
	reply, err := i.peers.InstanceClient(m.Address).Exchange(ctx, d)
	if err != nil {
		return SettingsStatus{Instance: m.Name, Error: err.Error()}
	}
	return SettingsStatus{Instance: m.Name, Generations: generationsByName(reply.Revisions)}
}

// generationsByName maps the name of each subtree to its generation.
func generationsByName(revisions []*rwwire.Revision) map[string]int64 {
	all := map[string]int64{}
	for _, r := range revisions {
		all[r.Name] = r.Generation
	}
	return all
}

func (i *Instance) listMoves(iris.Context, operator) (any, error) {
	return i.mover.Status(), nil
}

func (i *Instance) startMove(ctx iris.Context, op operator) (any, error) {
	var start rwmove.BeginRequest
	if err := json.NewDecoder(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxOperatorBody)).Decode(&start); err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "send an object with route, to and deadline", "failed to parse the body: %v", err)
	}
	team, _, _ := strings.Cut(start.Route, "/")
	if err := op.authorise(team); err != nil {
		return nil, err
	}
	return i.mover.Begin(ctx.Request().Context(), start, op.name)
}

func (i *Instance) actOnMove(ctx iris.Context, op operator) (any, error) {
	team := ctx.Params().Get("team")
	if err := op.authorise(team); err != nil {
		return nil, err
	}
	route := team + "/" + ctx.Params().Get("route")
	return i.mover.Act(ctx.Request().Context(), route, rwmove.Action(ctx.Params().Get("action")), op.name)
}
