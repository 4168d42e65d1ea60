package rwgateway

import (
	"encoding/json"
	"net/http"

	"ragwortwall/internal/rwerror"
)

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// ServeModels serves GET /v1/models: the models of the caller's team.
func (g *Gateway) ServeModels(w http.ResponseWriter, r *http.Request) {
	caller, err := g.Caller(r)
	if err != nil {
		rwerror.Write(w, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range g.Tree().Models(caller.Team) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: caller.Team})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// ServeService serves all other paths by the team's routes to plain services.
func (g *Gateway) ServeService(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	caller, err := g.Caller(r)
	if err != nil {
		rwerror.Write(w, err)
		return
	}
	route, ok := g.Tree().ServiceRoute(caller.Team, r.URL.Path)
	if !ok {
		rwerror.Write(w, rwerror.New(rwerror.KindNotFound, "check the path", "there is no route for the path %s", r.URL.Path))
		return
	}
	g.Services.ServeService(w, r, caller, route)
}
