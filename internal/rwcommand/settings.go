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
	List     settingsList     `command:"list" description:"list the subtrees and their generations"`
	Get      settingsGet      `command:"get" description:"print a subtree"`
	Put      settingsPut      `command:"put" description:"replace a subtree with the content of a file"`
	Status   settingsStatus   `command:"status" description:"show which generation of each subtree is in force at each instance"`
	History  settingsHistory  `command:"history" description:"list the earlier generations of a subtree"`
	Rollback settingsRollback `command:"rollback" description:"restore the spec of an earlier generation, as a new generation"`
}

type settingsList struct{ operatorOptions }

// Execute lists the subtrees.
func (c *settingsList) Execute([]string) error {
	var list []rwserve.Subtree
	if err := c.callAPI(http.MethodGet, "/settings", nil, &list); err != nil {
		return err
	}
	return c.printResult(list, func(w io.Writer) {
		printRow(w, "SUBTREE", "GENERATION")
		for _, s := range list {
			printRow(w, s.Name, s.Generation)
		}
	})
}

// subtreeArgument is the positional argument that names a subtree.
type subtreeArgument struct {
	Name string `positional-arg-name:"subtree" required:"yes"`
}

type settingsGet struct {
	operatorOptions
	Arguments subtreeArgument `positional-args:"yes"`
}

// Execute prints a subtree.
func (c *settingsGet) Execute([]string) error {
	s, err := c.getSubtree(c.Arguments.Name)
	if err != nil {
		return err
	}
	return c.printResult(s, func(w io.Writer) {
		var indented any
		_ = json.Unmarshal(s.Spec, &indented)
		body, _ := json.MarshalIndent(indented, "", "  ")
		fmt.Fprintf(w, "# generation %d\n%s\n", s.Generation, body)
	})
}

func (c *operatorOptions) getSubtree(name string) (rwserve.Subtree, error) {
	var s rwserve.Subtree
	return s, c.callAPI(http.MethodGet, "/settings/"+name, nil, &s)
}

type settingsPut struct {
	operatorOptions
	Generation int64 `long:"generation" description:"current generation of the subtree, which the change is based on; 0 for a new subtree"`
	Wait       bool  `long:"wait" description:"wait up to 30s until the change is in force at every instance"`
	Arguments  struct {
		Name string `positional-arg-name:"subtree" required:"yes"`
		File string `positional-arg-name:"file" required:"yes"`
	} `positional-args:"yes"`
}

// Execute replaces a subtree with the content of the file.
func (c *settingsPut) Execute([]string) error {
	spec, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return errors.Trace(err)
	}
	return c.putSubtree(rwserve.Subtree{Name: c.Arguments.Name, Generation: c.Generation, Spec: spec}, c.Wait)
}

// putSubtree replaces a subtree and prints the new generation. If wait is set, it first
// waits until the change is in force at every instance.
func (c *operatorOptions) putSubtree(s rwserve.Subtree, wait bool) error {
	var accepted rwserve.Subtree
	if err := c.callAPI(http.MethodPut, "/settings/"+s.Name, s, &accepted); err != nil {
		return err
	}
	if wait {
		if err := c.awaitInForce(accepted); err != nil {
			return err
		}
	}
	return c.printResult(accepted, func(w io.Writer) {
		printRow(w, "accepted", accepted.Name, "generation", accepted.Generation)
		if wait {
			printRow(w, "in force at every instance")
		}
	})
}

// awaitInForce polls the instances until the generation of s, or a later one, is in
// force at each. It returns an error after inForceTimeout.
func (c *operatorOptions) awaitInForce(s rwserve.Subtree) error {
	deadline := time.Now().Add(inForceTimeout)
	for time.Now().Before(deadline) {
		var statuses []rwserve.SettingsStatus
		if err := c.callAPI(http.MethodGet, "/status", nil, &statuses); err != nil {
			return err
		}
		outdated := ""
		for _, status := range statuses {
			if status.Generations[s.Name] < s.Generation {
				outdated = status.Instance
			}
		}
		if outdated == "" {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s generation %d is not in force at every instance after %s; see 'settings status'", s.Name, s.Generation, inForceTimeout)
}

type settingsStatus struct{ operatorOptions }

// Execute prints the generations that are in force at each instance.
func (c *settingsStatus) Execute([]string) error {
	var statuses []rwserve.SettingsStatus
	if err := c.callAPI(http.MethodGet, "/status", nil, &statuses); err != nil {
		return err
	}
	return c.printResult(statuses, func(w io.Writer) {
		printRow(w, "INSTANCE", "SUBTREE", "GENERATION")
		for _, status := range statuses {
			if status.Error != "" {
				printRow(w, status.Instance, "-", status.Error)
			}
			for name, generation := range status.Generations {
				printRow(w, status.Instance, name, generation)
			}
		}
	})
}

type settingsHistory struct {
	operatorOptions
	Arguments subtreeArgument `positional-args:"yes"`
}

// Execute prints the earlier generations of a subtree.
func (c *settingsHistory) Execute([]string) error {
	var versions []rwoperate.Version
	if err := c.callAPI(http.MethodGet, "/settings/"+c.Arguments.Name+"/history", nil, &versions); err != nil {
		return err
	}
	return c.printResult(versions, func(w io.Writer) {
		printRow(w, "GENERATION", "AT", "OPERATOR", "BYTES")
		for _, v := range versions {
			printRow(w, v.Generation, v.At.Format(time.RFC3339), v.Operator, len(v.Spec))
		}
	})
}

type settingsRollback struct {
	operatorOptions
	Wait      bool `long:"wait" description:"wait up to 30s until the change is in force at every instance"`
	Arguments struct {
		Name string `positional-arg-name:"subtree" required:"yes"`
		To   int64  `positional-arg-name:"generation" required:"yes"`
	} `positional-args:"yes"`
}

// Execute puts the spec of an earlier generation as a new generation.
func (c *settingsRollback) Execute([]string) error {
	var accepted rwserve.Subtree
	path := fmt.Sprintf("/settings/%s/rollback/%d", c.Arguments.Name, c.Arguments.To)
	if err := c.callAPI(http.MethodPost, path, nil, &accepted); err != nil {
		return err
	}
	if c.Wait {
		if err := c.awaitInForce(accepted); err != nil {
			return err
		}
	}
	return c.printResult(accepted, func(w io.Writer) { printRow(w, "accepted", accepted.Name, "generation", accepted.Generation) })
}

// checkCommand checks settings without a running instance.
type checkCommand struct {
	Settings  string `long:"settings" description:"JSON file with the settings of a process, to check"`
	Boot      string `long:"boot" description:"settings file of an instance on the users' platform, to check"`
	Arguments struct {
		Tree string `positional-arg-name:"directory" description:"directory with the JSON files of a settings tree, one file for each subtree"`
	} `positional-args:"yes"`

	std stdio
}

// Execute checks the files and the tree that the arguments name.
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
	_, err := fmt.Fprintln(c.std.out, "the settings are valid")
	return err
}

// checkTree checks a settings tree that is stored as JSON files, one per subtree.
func checkTree(directory string) error {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("%s has no JSON files; write root.json and one file for each team", directory)
	}
	objects := map[string]rwobject.Object{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return errors.Trace(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		object := rwobject.New(rwobject.KindSettings, name, struct{}{})
		object.Spec = content
		objects[name] = object
	}
	tree, err := rwtree.Merge(objects)
	if err != nil {
		return err
	}
	return tree.CheckUniqueKeys()
}
