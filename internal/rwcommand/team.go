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

// editTeam reads a team's subtree, changes it and writes it back, based on the
// generation that it read.
func (c *operatorOptions) editTeam(team string, change func(*rwtree.Team) error, wait bool) error {
	s, err := c.getSubtree(team)
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
	return c.putSubtree(s, wait)
}

func (c *operatorOptions) getTeam(name string) (rwtree.Team, error) {
	s, err := c.getSubtree(name)
	if err != nil {
		return rwtree.Team{}, err
	}
	var t rwtree.Team
	return t, errors.Trace(json.Unmarshal(s.Spec, &t))
}

type teamArgument struct {
	Team string `positional-arg-name:"team" required:"yes"`
}

// teamEntryArguments name a team and one of its organisations or servers.
type teamEntryArguments struct {
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

// Execute lists the team's organisations.
func (c *organisationList) Execute([]string) error {
	t, err := c.getTeam(c.Arguments.Team)
	if err != nil {
		return err
	}
	return c.printResult(t.Organisations, func(w io.Writer) {
		printRow(w, "ORGANISATION", "KEYS", "WEIGHT")
		for _, name := range slices.Sorted(maps.Keys(t.Organisations)) {
			printRow(w, name, len(t.Organisations[name].Keys), max(1, t.Organisations[name].Weight))
		}
	})
}

type organisationAdd struct {
	operatorOptions
	Weight    int                `long:"weight" default:"1" description:"weight of the organisation when organisations compete for capacity; each gets a share in proportion to its weight"`
	Wait      bool               `long:"wait" description:"wait up to 30s until the change is in force at every instance"`
	Arguments teamEntryArguments `positional-args:"yes"`
}

// Execute adds an organisation with a new key and prints the key. The settings hold
// only its hash.
func (c *organisationAdd) Execute([]string) error {
	key := rwrandom.NewAPIKey()
	err := c.editTeam(c.Arguments.Team, func(t *rwtree.Team) error {
		if _, exists := t.Organisations[c.Arguments.Name]; exists {
			return errors.Errorf("the team already has an organisation %s; use another name", c.Arguments.Name)
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
	return c.printResult(map[string]string{"key": key}, func(w io.Writer) { printRow(w, "key, shown only now:", key) })
}

type organisationRemove struct {
	operatorOptions
	Wait      bool               `long:"wait" description:"wait up to 30s until the change is in force at every instance"`
	Arguments teamEntryArguments `positional-args:"yes"`
}

// Execute removes an organisation.
func (c *organisationRemove) Execute([]string) error {
	return c.editTeam(c.Arguments.Team, func(t *rwtree.Team) error {
		if _, ok := t.Organisations[c.Arguments.Name]; !ok {
			return errors.Errorf("the team has no organisation %s; 'organisation list' prints its organisations", c.Arguments.Name)
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

// Execute lists the team's routes.
func (c *routeList) Execute([]string) error {
	t, err := c.getTeam(c.Arguments.Team)
	if err != nil {
		return err
	}
	return c.printResult(t.Routes, func(w io.Writer) {
		printRow(w, "ROUTE", "LEADS", "VERSION", "SERVERS")
		for _, name := range slices.Sorted(maps.Keys(t.Routes)) {
			r := t.Routes[name]
			printRow(w, name, r.Model+r.Path, r.Version, strings.Join(r.Servers, ","))
		}
	})
}

// serverCommands are the commands under "server".
type serverCommands struct {
	Leave serverLeave `command:"leave" description:"stop sending new work to a backend server, or resume it with --back"`
}

type serverLeave struct {
	operatorOptions
	Back      bool               `long:"back" description:"send new work to the server again"`
	Wait      bool               `long:"wait" description:"wait up to 30s until the change is in force at every instance"`
	Arguments teamEntryArguments `positional-args:"yes"`
}

// Execute marks a server as leaving, or removes the mark with --back.
func (c *serverLeave) Execute([]string) error {
	return c.editTeam(c.Arguments.Team, func(t *rwtree.Team) error {
		s, ok := t.Servers[c.Arguments.Name]
		if !ok {
			return errors.Errorf("the team has no server %s; 'settings get' prints its subtree with the servers", c.Arguments.Name)
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
	if err := c.callAPI(http.MethodGet, "/state", nil, &s); err != nil {
		return err
	}
	return c.printResult(s, func(w io.Writer) {
		printRow(w, "instance", s.Instance.Name, "zone", s.Instance.Zone, "up", s.Uptime, "ready", s.Ready)
		printRow(w, "answers", s.Answers, "generations", len(s.Generations), "slots", s.Slots, "majority", s.Majority)
		printRow(w, "MEMBER", "ZONE", "LEAVING")
		for _, m := range s.Members {
			printRow(w, m.Name, m.Zone, m.Leaving)
		}
		printRow(w, "SERVER", "HELD", "LIMIT", "WAITING", "DOWN")
		for _, name := range slices.Sorted(maps.Keys(s.Owned)) {
			l := s.Owned[name]
			printRow(w, name, l.Held, l.Limit, l.Waiting, l.Down)
		}
	})
}
