package rwlab

import (
	"context"
	"fmt"
	"slices"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwtree"
)

const serviceCapacity = 64 // concurrent requests of one service's server

// writeSettings creates the root of the settings tree and the subtree of the team
// at the platform.
func (f *Fleet) writeSettings(context.Context) error {
	root := rwtree.Root{
		Operators: map[string]rwtree.Operator{"admin": {Key: rwtree.HashKey(OperatorKey), Teams: []string{"*"}}},
		Signing:   []string{signingKey},
	}
	if err := f.createObject(rwobject.New(rwobject.KindSettings, rwtree.RootName, root)); err != nil {
		return err
	}
	return f.createObject(rwobject.New(rwobject.KindSettings, Team, f.teamSettings()))
}

// teamSettings returns the subtree of the team: the backend servers, a route to the
// engines and, if the fleet has services, a route to them.
func (f *Fleet) teamSettings() rwtree.Team {
	t := rwtree.Team{
		Organisations: map[string]rwtree.Organisation{"coop": {Keys: []string{rwtree.HashKey(CallerKey)}}},
		Servers:       map[string]rwtree.Server{},
		Routes:        map[string]rwtree.Route{},
	}
	var engines, services []string
	for n := range f.Engines {
		name := fmt.Sprintf("e%d", n+1)
		engines = append(engines, name)
		t.Servers[name] = rwtree.Server{
			Address: f.addresses[name].main, Zone: f.zone(n), Capacity: f.Capacity,
			Versions: f.versions(), Fenced: slices.Contains(f.EngineArguments, "--fenced"),
		}
	}
	for n := range f.Services {
		name := fmt.Sprintf("s%d", n+1)
		services = append(services, name)
		t.Servers[name] = rwtree.Server{Address: f.addresses[name].main, Zone: f.zone(n), Capacity: serviceCapacity}
	}
	route := rwtree.Route{Model: Model, Version: f.versions()[0], Servers: engines}
	if f.EditRoute != nil {
		f.EditRoute(&route)
	}
	t.Routes["lettering"] = route
	if len(services) > 0 {
		t.Routes["orders"] = rwtree.Route{Path: "/orders/", Servers: services}
	}
	return t
}
