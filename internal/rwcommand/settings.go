package rwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ragwortwall/internal/rwconfig"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwoperate"
	"ragwortwall/internal/rwserve"
	"ragwortwall/internal/rwtree"
	"ragwortwall/platform"

	"github.com/juju/errors"
)

// settingsCommands are the commands under "settings".
type settingsCommands struct {
	List     settingsList     `command:"list" description:"list the subtrees"`
	Get      settingsGet      `command:"get" description:"print a subtree"`
	Put      settingsPut      `command:"put" description:"replace a subtree from a file"`
	Status   settingsStatus   `command:"status" description:"show what is in force at each instance"`
	History  settingsHistory  `command:"history" description:"print the earlier specs of a subtree"`
	Rollback settingsRollback `command:"rollback" description:"put an earlier spec as a new generation"`
}

type settingsList struct{ operatorOptions }

// Execute lists the subtrees.
func (c *settingsList) Execute([]string) error {
	var list []rwserve.Subtree
	if err := c.call(http.MethodGet, "/settings", nil, &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		row(w, "SUBTREE", "GENERATION")
		for _, s := range list {
			row(w, s.Name, s.Generation)
		}
	})
}

// subtreeArgument is the name of a subtree on the command line.
type subtreeArgument struct {
	Name string `positional-arg-name:"subtree" required:"yes"`
}

type settingsGet struct {
	operatorOptions
	Arguments subtreeArgument `positional-args:"yes"`
}

// Execute prints a subtree.
func (c *settingsGet) Execute([]string) error {
	s, err := c.subtree(c.Arguments.Name)
	if err != nil {
		return err
	}
	return c.print(s, func(w io.Writer) {
		var indented any
		_ = json.Unmarshal(s.Spec, &indented)
		body, _ := json.MarshalIndent(indented, "", "  ")
		fmt.Fprintf(w, "# generation %d\n%s\n", s.Generation, body)
	})
}

func (c *operatorOptions) subtree(name string) (rwserve.Subtree, error) {
	var s rwserve.Subtree
	return s, c.call(http.MethodGet, "/settings/"+name, nil, &s)
}

type settingsPut struct {
	operatorOptions
	Generation int64 `long:"generation" description:"the generation that the change is made on; 0 for a new subtree"`
	Wait       bool  `long:"wait" description:"wait until the change is in force at every instance"`
	Arguments  struct {
		Name string `positional-arg-name:"subtree" required:"yes"`
		File string `positional-arg-name:"file" required:"yes"`
	} `positional-args:"yes"`
}

// Execute puts a subtree.
func (c *settingsPut) Execute([]string) error {
	spec, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return errors.Trace(err)
	}
	return c.put(rwserve.Subtree{Name: c.Arguments.Name, Generation: c.Generation, Spec: spec}, c.Wait)
}

// put replaces a subtree and, with wait, waits until it is in force everywhere.
func (c *operatorOptions) put(s rwserve.Subtree, wait bool) error {
	var made rwserve.Subtree
	if err := c.call(http.MethodPut, "/settings/"+s.Name, s, &made); err != nil {
		return err
	}
	if wait {
		if err := c.await(made); err != nil {
			return err
		}
	}
	return c.print(made, func(w io.Writer) {
		row(w, "accepted", made.Name, "generation", made.Generation)
		if wait {
			row(w, "in force at every instance")
		}
	})
}

// await waits until every instance has a generation in force.
func (c *operatorOptions) await(s rwserve.Subtree) error {
	until := time.Now().Add(waitTime)
	for time.Now().Before(until) {
		var all []rwserve.SettingsStatus
		if err := c.call(http.MethodGet, "/status", nil, &all); err != nil {
			return err
		}
		lacking := ""
		for _, i := range all {
			if i.Generations[s.Name] < s.Generation {
				lacking = i.Instance
			}
		}
		if lacking == "" {
			return nil
		}
		time.Sleep(waitPause)
	}
	return errors.Errorf("%s generation %d is not in force everywhere after %s; see 'settings status'", s.Name, s.Generation, waitTime)
}

type settingsStatus struct{ operatorOptions }

// Execute shows what is in force at each instance.
func (c *settingsStatus) Execute([]string) error {
	var all []rwserve.SettingsStatus
	if err := c.call(http.MethodGet, "/status", nil, &all); err != nil {
		return err
	}
	return c.print(all, func(w io.Writer) {
		row(w, "INSTANCE", "SUBTREE", "GENERATION")
		for _, i := range all {
			if i.Error != "" {
				row(w, i.Instance, "-", i.Error)
			}
			for name, generation := range i.Generations {
				row(w, i.Instance, name, generation)
			}
		}
	})
}

type settingsHistory struct {
	operatorOptions
	Arguments subtreeArgument `positional-args:"yes"`
}

// Execute prints the history of a subtree.
func (c *settingsHistory) Execute([]string) error {
	var versions []rwoperate.Version
	if err := c.call(http.MethodGet, "/settings/"+c.Arguments.Name+"/history", nil, &versions); err != nil {
		return err
	}
	return c.print(versions, func(w io.Writer) {
		row(w, "GENERATION", "AT", "OPERATOR", "BYTES")
		for _, v := range versions {
			row(w, v.Generation, v.At.Format(time.RFC3339), v.Operator, len(v.Spec))
		}
	})
}

type settingsRollback struct {
	operatorOptions
	Wait      bool `long:"wait" description:"wait until the change is in force at every instance"`
	Arguments struct {
		Name string `positional-arg-name:"subtree" required:"yes"`
		To   int64  `positional-arg-name:"generation" required:"yes"`
	} `positional-args:"yes"`
}

// Execute puts an earlier spec again.
func (c *settingsRollback) Execute([]string) error {
	var made rwserve.Subtree
	path := fmt.Sprintf("/settings/%s/rollback/%d", c.Arguments.Name, c.Arguments.To)
	if err := c.call(http.MethodPost, path, nil, &made); err != nil {
		return err
	}
	if c.Wait {
		if err := c.await(made); err != nil {
			return err
		}
	}
	return c.print(made, func(w io.Writer) { row(w, "accepted", made.Name, "generation", made.Generation) })
}

// checkCommand checks settings without a running system.
type checkCommand struct {
	Settings  string `long:"settings" description:"JSON file with the settings of a process"`
	Boot      string `long:"boot" description:"settings file of an instance on the users' platform"`
	Arguments struct {
		Tree string `positional-arg-name:"directory" description:"JSON files of a settings tree, one a subtree"`
	} `positional-args:"yes"`

	o output
}

// Execute checks a file, a tree, or both.
func (c *checkCommand) Execute([]string) error {
	if c.Settings != "" {
		config, err := rwconfig.Read(c.Settings)
		if err == nil {
			err = config.Check()
		}
		if err != nil {
			return errors.Annotate(err, c.Settings)
		}
	}
	if c.Boot != "" {
		if _, err := platform.ReadSettings(c.Boot); err != nil {
			return errors.Annotate(err, c.Boot)
		}
	}
	if c.Arguments.Tree != "" {
		if err := checkTree(c.Arguments.Tree); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(c.o.out, "the settings are right")
	return err
}

func checkTree(directory string) error {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("%s has no JSON files; write root.json and one file a team", directory)
	}
	objects := map[string]rwobject.Object{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return errors.Trace(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		o := rwobject.New(rwobject.KindSettings, name, struct{}{})
		o.Spec = content
		objects[name] = o
	}
	tree, err := rwtree.Merge(objects)
	if err != nil {
		return err
	}
	return tree.CheckAcross()
}
