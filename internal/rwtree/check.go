package rwtree

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"ragwortwall/internal/rwerror"
)

const (
	minSigningKeyBytes = 16
	sha256Bytes        = 32
	maxNameBytes       = 63
)

// withObjectName puts the object's name before an error's message.
func withObjectName(object string, err error) error {
	if err == nil {
		return nil
	}
	e := rwerror.As(err)
	named := *e
	named.Message = object + " " + e.Message
	return &named
}

func invalid(path, remedy, format string, args ...any) error {
	return rwerror.New(rwerror.KindInvalid, remedy, "%s: %s", path, fmt.Sprintf(format, args...))
}

// check validates the values in the root and in each team, and the references
// within a team.
func (t *Tree) check() error {
	if err := t.checkRoot(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(t.teams)) {
		if err := t.checkTeam(name); err != nil {
			return err
		}
	}
	return nil
}

// CheckUniqueKeys returns an error of kind invalid if an API key occurs twice in the
// settings of all teams. It runs before an operator's change is accepted. A tree that
// arrives from the platform or a peer comes into force without this check.
func (t Tree) CheckUniqueKeys() error {
	ownerByKey := map[string]string{}
	for _, team := range slices.Sorted(maps.Keys(t.teams)) {
		organisations := t.teams[team].Organisations
		for _, name := range slices.Sorted(maps.Keys(organisations)) {
			for i, key := range organisations[name].Keys {
				path := fmt.Sprintf("%s $.organisations.%s.keys[%d]", team, name, i)
				if owner, taken := ownerByKey[key]; taken {
					return invalid(path, "use another key", "%s already uses this key", owner)
				}
				ownerByKey[key] = team + "/" + name
			}
		}
	}
	return nil
}

func (t *Tree) checkRoot() error {
	for i, text := range t.root.Signing {
		key, err := hex.DecodeString(text)
		if err != nil || len(key) < minSigningKeyBytes {
			return invalid(fmt.Sprintf("root $.signing[%d]", i), "write at least 32 hex digits", "the key is not hexadecimal or is too short")
		}
	}
	if _, ok := t.objects[RootName]; ok && len(t.root.Signing) == 0 {
		return invalid("root $.signing", "write at least one key of 32 hex digits", "a key that signs cursors is missing")
	}
	for _, name := range slices.Sorted(maps.Keys(t.root.Operators)) {
		if err := checkHash("root $.operators."+name+".key", t.root.Operators[name].Key); err != nil {
			return err
		}
	}
	return nil
}

func checkHash(path, text string) error {
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != sha256Bytes {
		return invalid(path, "write the key's SHA-256 in hex, as 'ragwortwall hash' prints it", "the value is not a SHA-256")
	}
	return nil
}

func (t *Tree) checkTeam(name string) error {
	team := t.teams[name]
	if err := checkName(name+" $", name); err != nil {
		return err
	}
	for _, organisation := range slices.Sorted(maps.Keys(team.Organisations)) {
		if err := checkOrganisation(name, organisation, team.Organisations[organisation]); err != nil {
			return err
		}
	}
	for _, server := range slices.Sorted(maps.Keys(team.Servers)) {
		if err := checkServer(name, server, team.Servers[server]); err != nil {
			return err
		}
	}
	routeByTarget := map[string]string{} // model or path to the name of its route
	for _, route := range slices.Sorted(maps.Keys(team.Routes)) {
		if err := checkRoute(name, route, team, routeByTarget); err != nil {
			return err
		}
	}
	return nil
}

func checkName(path, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/ \t\n") {
		return invalid(path, "use 1 to 63 bytes without slashes, spaces, tabs or line breaks", "%q is not a valid name", name)
	}
	return nil
}

func checkOrganisation(team, name string, o Organisation) error {
	path := team + " $.organisations." + name
	if err := checkName(path, name); err != nil {
		return err
	}
	if o.Weight < 0 {
		return invalid(path+".weight", "write a positive number", "the weight is negative")
	}
	for i, key := range o.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", path, i)
		if err := checkHash(keyPath, key); err != nil {
			return err
		}
	}
	return nil
}

func checkServer(team, name string, s Server) error {
	path := team + " $.servers." + name
	if err := checkName(path, name); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return invalid(path+".address", "write an IP address and a port, such as 10.0.0.7:8000", "%q is not an IP address and a port", s.Address)
	}
	if s.Capacity < 1 {
		return invalid(path+".capacity", "write the maximum number of concurrent requests", "the capacity must be at least 1")
	}
	return nil
}

func checkRoute(team, name string, subtree Team, routeByTarget map[string]string) error {
	path := team + " $.routes." + name
	r := subtree.Routes[name]
	if err := checkName(path, name); err != nil {
		return err
	}
	if (r.Model == "") == (r.Path == "") {
		return invalid(path, "write either model or path", "a route must have exactly one of them")
	}
	if r.Model != "" && r.Version == "" {
		return invalid(path+".version", "write the version that serves the model", "the version is missing")
	}
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
		return invalid(path+".path", "write a path that begins with a slash", "%q does not begin with a slash", r.Path)
	}
	if r.Budget < 0 || r.Budget > 1 {
		return invalid(path+".budget", "write a share from 0 to 1", "%g is not between 0 and 1", r.Budget)
	}
	if other, taken := routeByTarget[r.Model+r.Path]; taken {
		return invalid(path, "give each model and each path one route", "route %s has the same model or path", other)
	}
	routeByTarget[r.Model+r.Path] = name
	return checkRouteServers(path, r, subtree)
}

// checkRouteServers checks that a route's servers exist in its team and that one of them
// provides the version of a model route. A server that lists no versions provides all.
func checkRouteServers(path string, r Route, subtree Team) error {
	if len(r.Servers) == 0 {
		return invalid(path+".servers", "name at least one backend server", "the route has no backend server")
	}
	provided := r.Model == ""
	for i, name := range r.Servers {
		s, ok := subtree.Servers[name]
		if !ok {
			return invalid(fmt.Sprintf("%s.servers[%d]", path, i), "name a server of this team", "the team has no server %q", name)
		}
		provided = provided || len(s.Versions) == 0 || slices.Contains(s.Versions, r.Version)
	}
	if !provided {
		return invalid(path+".version", "name a version that a server of the route provides", "no server of the route provides version %q", r.Version)
	}
	return nil
}
