package rwcommand

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"ragwortwall/internal/rwrandom"
	"ragwortwall/internal/rwserve"
	"ragwortwall/internal/rwtree"

	"github.com/juju/errors"
)

// edit changes a team's subtree on the generation that it read.
func (c *operatorOptions) edit(team string, change func(*rwtree.Team) error, wait bool) error {
	s, err := c.subtree(team)
	if err != nil {
		return err
	}
	var t rwtree.Team
	if err := json.Unmarshal(s.Spec, &t); err != nil {
		return errors.Trace(err)
	}
	if err := change(&t); err != nil {
		return err
	}
	s.Spec, err = json.Marshal(t)
	if err != nil {
		return errors.Trace(err)
	}
	return c.put(s, wait)
}

func (c *operatorOptions) team(name string) (rwtree.Team, error) {
	s, err := c.subtree(name)
	if err != nil {
		return rwtree.Team{}, err
	}
	var t rwtree.Team
	return t, errors.Trace(json.Unmarshal(s.Spec, &t))
}

type teamArgument struct {
	Team string `positional-arg-name:"team" required:"yes"`
}

type memberArguments struct {
	Team string `positional-arg-name:"team" required:"yes"`
	Name string `positional-arg-name:"name" required:"yes"`
}

// organisationCommands are the commands under "organisation".
type organisationCommands struct {
	List   organisationList   `command:"list" description:"list a team's organisations"`
	Add    organisationAdd    `command:"add" description:"add an organisation and print its API key"`
	Remove organisationRemove `command:"remove" description:"remove an organisation"`
}

type organisationList struct {
	operatorOptions
	Arguments teamArgument `positional-args:"yes"`
}

// Execute lists organisations.
func (c *organisationList) Execute([]string) error {
	t, err := c.team(c.Arguments.Team)
	if err != nil {
		return err
	}
	return c.print(t.Organisations, func(w io.Writer) {
		row(w, "ORGANISATION", "KEYS", "WEIGHT")
		for _, name := range slices.Sorted(maps.Keys(t.Organisations)) {
			row(w, name, len(t.Organisations[name].Keys), max(1, t.Organisations[name].Weight))
		}
	})
}

type organisationAdd struct {
	operatorOptions
	Weight    int             `long:"weight" default:"1" description:"share of capacity under contention"`
	Wait      bool            `long:"wait" description:"wait until the change is in force at every instance"`
	Arguments memberArguments `positional-args:"yes"`
}

// Execute adds an organisation with a new key. Only the key's hash is kept.
func (c *organisationAdd) Execute([]string) error {
	key := rwrandom.Key()
	err := c.edit(c.Arguments.Team, func(t *rwtree.Team) error {
		if _, taken := t.Organisations[c.Arguments.Name]; taken {
			return errors.Errorf("the team has an organisation %s; use another name", c.Arguments.Name)
		}
		if t.Organisations == nil {
			t.Organisations = map[string]rwtree.Organisation{}
		}
		t.Organisations[c.Arguments.Name] = rwtree.Organisation{Keys: []string{rwtree.HashKey(key)}, Weight: c.Weight}
		return nil
	}, c.Wait)
	if err != nil {
		return err
	}
	return c.print(map[string]string{"key": key}, func(w io.Writer) { row(w, "key, shown only now:", key) })
}

type organisationRemove struct {
	operatorOptions
	Wait      bool            `long:"wait" description:"wait until the change is in force at every instance"`
	Arguments memberArguments `positional-args:"yes"`
}

// Execute removes an organisation.
func (c *organisationRemove) Execute([]string) error {
	return c.edit(c.Arguments.Team, func(t *rwtree.Team) error {
		if _, ok := t.Organisations[c.Arguments.Name]; !ok {
			return errors.Errorf("the team has no organisation %s; list them", c.Arguments.Name)
		}
		delete(t.Organisations, c.Arguments.Name)
		return nil
	}, c.Wait)
}

// routeCommands are the commands under "route".
type routeCommands struct {
	List routeList `command:"list" description:"list a team's routes"`
}

type routeList struct {
	operatorOptions
	Arguments teamArgument `positional-args:"yes"`
}

// Execute lists routes.
func (c *routeList) Execute([]string) error {
	t, err := c.team(c.Arguments.Team)
	if err != nil {
		return err
	}
	return c.print(t.Routes, func(w io.Writer) {
		row(w, "ROUTE", "LEADS", "VERSION", "SERVERS")
		for _, name := range slices.Sorted(maps.Keys(t.Routes)) {
			r := t.Routes[name]
			row(w, name, r.Model+r.Path, r.Version, strings.Join(r.Servers, ","))
		}
	})
}

// serverCommands are the commands under "server".
type serverCommands struct {
	Leave serverLeave `command:"leave" description:"give a backend server no new work, or take that back"`
}

type serverLeave struct {
	operatorOptions
	Back      bool            `long:"back" description:"give it work again"`
	Wait      bool            `long:"wait" description:"wait until the change is in force at every instance"`
	Arguments memberArguments `positional-args:"yes"`
}

// Execute marks a server as leaving.
func (c *serverLeave) Execute([]string) error {
	return c.edit(c.Arguments.Team, func(t *rwtree.Team) error {
		s, ok := t.Servers[c.Arguments.Name]
		if !ok {
			return errors.Errorf("the team has no server %s; get its subtree", c.Arguments.Name)
		}
		s.Leaving = !c.Back
		t.Servers[c.Arguments.Name] = s
		return nil
	}, c.Wait)
}

type stateCommand struct{ operatorOptions }

// Execute prints the state dump of an instance.
func (c *stateCommand) Execute([]string) error {
	var s rwserve.State
	if err := c.call(http.MethodGet, "/state", nil, &s); err != nil {
		return err
	}
	return c.print(s, func(w io.Writer) {
		row(w, "instance", s.Instance.Name, "zone", s.Instance.Zone, "up", s.Uptime, "ready", s.Ready)
		row(w, "answers", s.Answers, "generations", len(s.Generations), "slots", s.Slots, "majority", s.Majority)
		row(w, "MEMBER", "ZONE", "LEAVING")
		for _, m := range s.Members {
			row(w, m.Name, m.Zone, m.Leaving)
		}
		row(w, "SERVER", "HELD", "LIMIT", "WAITING", "DOWN")
		for _, name := range slices.Sorted(maps.Keys(s.Owned)) {
			l := s.Owned[name]
			row(w, name, l.Held, l.Limit, l.Waiting, l.Down)
		}
	})
}
