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
	operatorBody   = 1 << 20
	headerOperator = "Operator-Key"
	statusTimeout  = 600 * time.Millisecond
)

// operatorsHandler is the operators' HTTP interface.
func (i *Instance) operatorsHandler() http.Handler {
	app := newApp()
	app.Get("/state", i.asOperator(func(iris.Context, operator) (any, error) { return i.State(), nil }))
	app.Get("/settings", i.asOperator(i.listSettings))
	app.Get("/settings/{name}", i.asOperator(i.getSettings))
	app.Put("/settings/{name}", i.asOperator(i.putSettings))
	app.Get("/settings/{name}/history", i.asOperator(i.settingsHistory))
	app.Post("/settings/{name}/rollback/{generation:int64}", i.asOperator(i.rollbackSettings))
	app.Get("/status", i.asOperator(i.settingsStatus))
	app.Get("/moves", i.asOperator(i.listMoves))
	app.Post("/moves", i.asOperator(i.startMove))
	app.Post("/moves/{team}/{route}/{action}", i.asOperator(i.actOnMove))
	app.Get("/debug/vars", i.asOperatorOf(expvar.Handler()))
	app.Get("/debug/pprof/{name:path}", i.asOperatorOf(http.HandlerFunc(serveProfile)))
	return build(app)
}

// serveProfile gives the profiles of the Go runtime.
func serveProfile(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/profile") {
		pprof.Profile(w, r)
		return
	}
	pprof.Index(w, r)
}

// operator is who asks.
type operator struct {
	name string
	rwtree.Operator
}

func (o operator) must(subtree string) error {
	if o.May(subtree) {
		return nil
	}
	return rwerror.New(rwerror.KindForbidden, "ask an operator of that team, or one of all teams", "operator %s may not change %s", o.name, subtree)
}

// asOperator answers with JSON, or with a typed error, for known operators only.
func (i *Instance) asOperator(serve func(iris.Context, operator) (any, error)) iris.Handler {
	return func(ctx iris.Context) {
		who, err := i.operator(ctx.GetHeader(headerOperator))
		var answer any
		if err == nil {
			answer, err = serve(ctx, who)
		}
		if err != nil {
			rwerror.Write(ctx.ResponseWriter(), err)
			return
		}
		writeJSON(ctx.ResponseWriter(), answer)
	}
}

func (i *Instance) asOperatorOf(handler http.Handler) iris.Handler {
	return func(ctx iris.Context) {
		if _, err := i.operator(ctx.GetHeader(headerOperator)); err != nil {
			rwerror.Write(ctx.ResponseWriter(), err)
			return
		}
		handler.ServeHTTP(ctx.ResponseWriter(), ctx.Request())
	}
}

func (i *Instance) operator(key string) (operator, error) {
	name, o, ok := i.settings.Tree().Operator(key)
	if !ok {
		return operator{}, rwerror.New(rwerror.KindUnauthorized, "send the header "+headerOperator+" with a key that the root's settings name", "no operator has this key")
	}
	return operator{name: name, Operator: o}, nil
}

// Subtree is a subtree as operators see it.
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

func (i *Instance) getSettings(ctx iris.Context, who operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := who.must(subtreeOf(name)); err != nil {
		return nil, err
	}
	o, ok := i.settings.Tree().Object(name)
	if !ok {
		return nil, rwerror.New(rwerror.KindNotFound, "list the subtrees", "there is no subtree %q", name)
	}
	return Subtree{Name: name, Generation: o.Metadata.Generation, Spec: o.Spec}, nil
}

// subtreeOf is the team whose authority a settings object needs.
func subtreeOf(name string) string {
	rest, isMove := strings.CutPrefix(name, rwtree.MovePrefix)
	if !isMove {
		return name
	}
	team, _, _ := strings.Cut(rest, ".")
	return team
}

func (i *Instance) putSettings(ctx iris.Context, who operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := who.must(subtreeOf(name)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, operatorBody))
	if err != nil {
		return nil, rwerror.New(rwerror.KindTooLarge, "keep a subtree under 1 MiB", "the body can't be read: %v", err)
	}
	var s Subtree
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "send an object with generation and spec", "the body can't be read: %v", err)
	}
	made, err := i.editor.Put(ctx.Request().Context(), rwoperate.Change{Name: name, Spec: s.Spec, Generation: s.Generation, Author: who.name})
	if err != nil {
		return nil, err
	}
	return Subtree{Name: name, Generation: made.Metadata.Generation}, nil
}

func (i *Instance) settingsHistory(ctx iris.Context, who operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := who.must(subtreeOf(name)); err != nil {
		return nil, err
	}
	return i.editor.History(ctx.Request().Context(), name)
}

func (i *Instance) rollbackSettings(ctx iris.Context, who operator) (any, error) {
	name := ctx.Params().Get("name")
	if err := who.must(subtreeOf(name)); err != nil {
		return nil, err
	}
	to, err := strconv.ParseInt(ctx.Params().Get("generation"), 10, 64)
	if err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "write the generation as a number", "%v", err)
	}
	made, err := i.editor.Rollback(ctx.Request().Context(), name, to, who.name)
	if err != nil {
		return nil, err
	}
	return Subtree{Name: name, Generation: made.Metadata.Generation}, nil
}

// InForce says which generations an instance has in force.
type InForce struct {
	Instance    string           `json:"instance"`
	Generations map[string]int64 `json:"generations,omitempty"`
	Error       string           `json:"error,omitempty"`
}

// settingsStatus asks every live instance what it has in force.
func (i *Instance) settingsStatus(ctx iris.Context, _ operator) (any, error) {
	own := InForce{Instance: i.Config.Name, Generations: generations(i.settings.Revisions())}
	all := []InForce{own}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, m := range i.view.Reachable() {
		wait.Go(func() {
			state := i.inForceAt(ctx.Request().Context(), m)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, state)
		})
	}
	wait.Wait()
	return all, nil
}

func (i *Instance) inForceAt(ctx context.Context, m rwmember.Member) InForce {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	d := i.digest()
	d.Full = true
	reply, err := i.peers.Instance(m.Address).Exchange(ctx, d)
	if err != nil {
		return InForce{Instance: m.Name, Error: err.Error()}
	}
	return InForce{Instance: m.Name, Generations: generations(reply.Revisions)}
}

func generations(revisions []*rwwire.Revision) map[string]int64 {
	all := map[string]int64{}
	for _, r := range revisions {
		all[r.Name] = r.Generation
	}
	return all
}

func (i *Instance) listMoves(iris.Context, operator) (any, error) {
	return i.mover.Status(), nil
}

func (i *Instance) startMove(ctx iris.Context, who operator) (any, error) {
	var start rwmove.Start
	if err := json.NewDecoder(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, operatorBody)).Decode(&start); err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "send an object with route, to and deadline", "the body can't be read: %v", err)
	}
	team, _, _ := strings.Cut(start.Route, "/")
	if err := who.must(team); err != nil {
		return nil, err
	}
	return i.mover.Begin(ctx.Request().Context(), start, who.name)
}

func (i *Instance) actOnMove(ctx iris.Context, who operator) (any, error) {
	team := ctx.Params().Get("team")
	if err := who.must(team); err != nil {
		return nil, err
	}
	route := team + "/" + ctx.Params().Get("route")
	return i.mover.Act(ctx.Request().Context(), route, rwmove.Action(ctx.Params().Get("action")), who.name)
}
