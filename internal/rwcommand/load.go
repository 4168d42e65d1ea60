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
	Targets  string        `long:"targets" required:"yes" description:"URLs of the instances, separated by commas"`
	Key      string        `long:"key" required:"yes" description:"API key that the requests are sent with"`
	Model    string        `long:"model" default:"lettering" description:"name of the model that is requested"`
	Rate     float64       `long:"rate" description:"mean number of requests started per second, as a Poisson process; if 0, all start at once"`
	Requests int           `long:"requests" default:"100" description:"total number of requests"`
	Tokens   int           `long:"tokens" default:"200" description:"maximum number of tokens in each answer"`
	Prompt   int           `long:"prompt" default:"2000" description:"length of each prompt, in bytes"`
	Shared   float64       `long:"shared" default:"0.8" description:"fraction of each prompt, from 0 to 1, that is a prefix shared with other prompts (its house style)"`
	Styles   int           `long:"styles" default:"10" description:"number of different shared prefixes (house styles)"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the random prompts and arrival times"`
	Repeat   bool          `long:"repeat" description:"retry refused generations after the time in Retry-After"`
	Storm    bool          `long:"storm" description:"retry refused generations almost at once (after 50ms), without regard to Retry-After"`
	Patience time.Duration `long:"patience" default:"2m" description:"time after which a caller gives up on a request, including its retries"`
	Slow     time.Duration `long:"slow" description:"pause of the caller after each event that it reads from a stream"`
	Break    time.Duration `long:"break" default:"500ms" description:"count a gap between two events of a stream as an interruption if it is longer than this"`
	Orders   float64       `long:"orders" description:"fraction of the requests, from 0 to 1, that are orders instead of generations"`
	Path     string        `long:"path" default:"/orders/new" description:"URL path that orders are sent to"`
	Plot     string        `long:"plot" description:"plot the latencies into this file, whose extension is .png or .svg"`
	JSON     bool          `long:"json" description:"print the report as JSON"`
	Quiet    bool          `long:"quiet" description:"don't print the progress"`
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
		Targets: strings.Split(c.Targets, ","), APIKey: c.Key, Model: c.Model, Rate: c.Rate,
		Requests: c.Requests, MaxTokens: c.Tokens, PromptBytes: c.Prompt, SharedPrefixShare: c.Shared,
		SharedPrefixes: c.Styles, Seed: c.Seed, RetryAfterRefusal: c.Repeat, IgnoreRetryAfter: c.Storm,
		Timeout: c.Patience, ReadDelay: c.Slow, MinInterruption: c.Break, OrderShare: c.Orders, OrderPath: c.Path,
	}}
	if !c.Quiet {
		load.Progress = func(r rwload.Report) {
			fmt.Fprintf(std.err, "%6.1fs  %d whole  %d wrong  %d refusals  %d reconnects\n", r.Seconds, r.Correct, r.Wrong, r.Refusals, r.Reconnects)
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
	if !report.AllCorrect() {
		return errors.Errorf("%d answers were wrong, %d requests got no answer", report.Wrong, report.Unfinished)
	}
	return nil
}
