package rwcommand

import (
	"encoding/json"
	"os"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlog"
)

// explainCommand prints the log lines about one request.
type explainCommand struct {
	JSON bool `long:"json" description:"print the timeline as JSON"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`

	std stdio
}

// Execute reads the files and prints the timeline of the request.
func (c *explainCommand) Execute([]string) error {
	timeline := rwlog.Timeline{Request: c.Args.Request}
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return rwerror.New(rwerror.KindInvalid, "specify log files that can be read", "%v", err)
		}
		err = timeline.AddLog(name, file)
		_ = file.Close()
		if err != nil {
			return rwerror.New(rwerror.KindInvalid, "specify log files of instances", "%s can't be read: %v", name, err)
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(c.std.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(timeline)
	}
	timeline.Print(c.std.out)
	return nil
}
