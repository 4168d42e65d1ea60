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
	minSigningBytes = 16
	hashBytes       = 32
	maxNameBytes    = 63
)

func prefixed(object string, err error) error {
	if err == nil {
		return nil
	}
	e := rwerror.As(err)
	c := *e
	c.Message = object + " " + e.Message
	return &c
}

func invalid(path, remedy, format string, args ...any) error {
	return rwerror.New(rwerror.KindInvalid, remedy, "%s: %s", path, fmt.Sprintf(format, args...))
}

// check looks at what one object alone can't show, and at each value's range.
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

// CheckAcross checks what must differ between teams. It is asked before a change
// is accepted; a tree in force does not depend on it.
func (t Tree) CheckAcross() error {
	owners := map[string]string{}
	for _, team := range slices.Sorted(maps.Keys(t.teams)) {
		organisations := t.teams[team].Organisations
		for _, name := range slices.Sorted(maps.Keys(organisations)) {
			for i, key := range organisations[name].Keys {
				path := fmt.Sprintf("%s $.organisations.%s.keys[%d]", team, name, i)
				if other, taken := owners[key]; taken {
					return invalid(path, "use another key", "%s has it already", other)
				}
				owners[key] = team + "/" + name
			}
		}
	}
	return nil
}

func (t *Tree) checkRoot() error {
	for i, text := range t.root.Signing {
		key, err := hex.DecodeString(text)
		if err != nil || len(key) < minSigningBytes {
			return invalid(fmt.Sprintf("root $.signing[%d]", i), "write at least 32 hex digits", "the key can't be used")
		}
	}
	if _, ok := t.objects[RootName]; ok && len(t.root.Signing) == 0 {
		return invalid("root $.signing", "write at least one key of 32 hex digits", "there is no key for cursors")
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
	if err != nil || len(sum) != hashBytes {
		return invalid(path, "write the key's SHA-256 in hex, as 'ragwortwall hash' prints it", "this is no SHA-256")
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
	models := map[string]string{}
	for _, route := range slices.Sorted(maps.Keys(team.Routes)) {
		if err := checkRoute(name, route, team, models); err != nil {
			return err
		}
	}
	return nil
}

func checkName(path, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/ \t\n") {
		return invalid(path, "use 1 to 63 characters without slashes or blanks", "%q can't be a name", name)
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
		return invalid(path+".address", "write an IP number and a port, such as 10.0.0.7:8000", "%q is no address", s.Address)
	}
	if s.Capacity < 1 {
		return invalid(path+".capacity", "write how many requests it carries at once", "the capacity must be at least 1")
	}
	return nil
}

func checkRoute(team, name string, subtree Team, models map[string]string) error {
	path := team + " $.routes." + name
	r := subtree.Routes[name]
	if err := checkName(path, name); err != nil {
		return err
	}
	if (r.Model == "") == (r.Path == "") {
		return invalid(path, "write either model or path", "a route has exactly one of them")
	}
	if r.Model != "" && r.Version == "" {
		return invalid(path+".version", "write the version that serves the model", "the version is missing")
	}
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
		return invalid(path+".path", "begin it with a slash", "%q is no path", r.Path)
	}
	if r.Budget < 0 || r.Budget > 1 {
		return invalid(path+".budget", "write a share from 0 to 1", "%g is no share", r.Budget)
	}
	if other, taken := models[r.Model+r.Path]; taken {
		return invalid(path, "give each model and each path one route", "route %s has the same", other)
	}
	models[r.Model+r.Path] = name
	return checkRouteServers(path, r, subtree)
}

func checkRouteServers(path string, r Route, subtree Team) error {
	if len(r.Servers) == 0 {
		return invalid(path+".servers", "name at least one backend server", "the list is empty")
	}
	served := r.Model == ""
	for i, name := range r.Servers {
		s, ok := subtree.Servers[name]
		if !ok {
			return invalid(fmt.Sprintf("%s.servers[%d]", path, i), "name a server of this team", "there is no server %q", name)
		}
		served = served || len(s.Versions) == 0 || slices.Contains(s.Versions, r.Version)
	}
	if !served {
		return invalid(path+".version", "name a version that a server of the route has", "no server of the route has version %q", r.Version)
	}
	return nil
}
