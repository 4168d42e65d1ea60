package rwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"ragwortwall/internal/rwload"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

type loadOptions struct {
	Targets  string        `long:"targets" required:"yes" description:"URLs of instances, joined by commas"`
	Key      string        `long:"key" required:"yes" description:"API key"`
	Model    string        `long:"model" default:"lettering" description:"the model's name"`
	Rate     float64       `long:"rate" description:"arrivals a second; all at once if zero"`
	Requests int           `long:"requests" default:"100" description:"requests in all"`
	Tokens   int           `long:"tokens" default:"200" description:"most tokens of an answer"`
	Prompt   int           `long:"prompt" default:"2000" description:"bytes of a prompt"`
	Shared   float64       `long:"shared" default:"0.8" description:"share of a prompt that its house style makes up"`
	Styles   int           `long:"styles" default:"10" description:"number of house styles"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of prompts and arrivals"`
	Repeat   bool          `long:"repeat" description:"come back after a refusal, when it says"`
	Storm    bool          `long:"storm" description:"come back after a refusal at once"`
	Patience time.Duration `long:"patience" default:"2m" description:"a caller gives up after this"`
	Slow     time.Duration `long:"slow" description:"pause of the reader after each event"`
	Break    time.Duration `long:"break" default:"500ms" description:"a longer gap counts as an interruption"`
	Orders   float64       `long:"orders" description:"share of requests that are orders"`
	Path     string        `long:"path" default:"/orders/new" description:"path of orders"`
	Plot     string        `long:"plot" description:"draw the latencies into this file, .png or .svg"`
	JSON     bool          `long:"json" description:"print the report as JSON"`
	Quiet    bool          `long:"quiet" description:"show no progress"`
}

// MainLoad runs the program rwload and returns its exit code: 0 if every answer
// was complete and correct.
func MainLoad(args []string, stdout, stderr io.Writer) int {
	var opts loadOptions
	parser := flags.NewNamedParser("rwload", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("rwload", "", &opts); err != nil {
		panic(err)
	}
	std := stdio{out: stdout, err: stderr}
	if code, ok := parseArgs(parser, args, std); !ok || opts.Key == "" {
		return code
	}
	if err := opts.run(std); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	return exitOK
}

func (c *loadOptions) run(std stdio) error {
	ctx, stop := signalContext()
	defer stop()
	load := &rwload.Load{Options: rwload.Options{
		Targets: strings.Split(c.Targets, ","), Key: c.Key, Model: c.Model, Rate: c.Rate,
		Requests: c.Requests, Tokens: c.Tokens, Prompt: c.Prompt, Shared: c.Shared,
		Styles: c.Styles, Seed: c.Seed, Repeat: c.Repeat, Storm: c.Storm,
		Patience: c.Patience, Slow: c.Slow, Break: c.Break, Orders: c.Orders, Path: c.Path,
	}}
	if !c.Quiet {
		load.Progress = func(r rwload.Report) {
			fmt.Fprintf(std.err, "%6.1fs  %d whole  %d wrong  %d refusals  %d reconnects\n", r.Seconds, r.Whole, r.Wrong, r.Refusals, r.Reconnects)
		}
	}
	report := load.Run(ctx)
	if c.Plot != "" {
		if err := load.Plot(c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(std.out).Encode(report); err != nil {
			return errors.Trace(err)
		}
	} else {
		fmt.Fprint(std.out, report)
	}
	if !report.Right() {
		return errors.Errorf("%d answers were wrong, %d requests got no answer", report.Wrong, report.Unfinished)
	}
	return nil
}
