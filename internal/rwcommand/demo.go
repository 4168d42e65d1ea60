package rwcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"
	"ragwortwall/internal/rwtime"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

type demoOptions struct {
	Keep bool `long:"keep" description:"keep the fleet running after the demo until it is interrupted"`
}

// MainDemo runs the program rwdemo and returns its exit code: 0 if every answer was
// complete and correct.
func MainDemo(args []string, stdout, stderr io.Writer) int {
	var opts demoOptions
	parser := flags.NewNamedParser("rwdemo", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("rwdemo", "", &opts); err != nil {
		panic(err)
	}
	std := stdio{out: stdout, err: stderr}
	if code, ok := parseArgs(parser, args, std); !ok {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	if err := opts.run(ctx, std); err != nil {
		fmt.Fprintln(stderr, "demo failed:", err)
		return exitFailure
	}
	return exitOK
}

const (
	demoKillDelay      = time.Second // from the start of the requests to the kill of an engine
	demoRequests       = 12
	demoMaxTokens      = 400
	demoRequestTimeout = time.Minute
)

func (c *demoOptions) run(ctx context.Context, std stdio) error {
	fleet, cleanUp, err := newDemoFleet()
	if err != nil {
		return err
	}
	defer cleanUp()
	fmt.Fprintln(std.out, "starting 1 platform, 6 instances in 3 zones, 6 engines, 1 order service")
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(std.out, "ready; request completions at %s/v1/completions with the key %s\n", fleet.Targets()[0], rwlab.CallerKey)
	report, killed, err := streamAndKillEngine(ctx, fleet)
	if err != nil {
		return err
	}
	fmt.Fprintf(std.out, "killed engine %s while it streamed answers\n%s", killed, report)
	if c.Keep {
		fmt.Fprintf(std.out, "callers: %s\noperators: %s with the key %s\nengine e1: %s\ninterrupt to stop the fleet\n",
			strings.Join(fleet.Targets(), ","), fleet.OperatorURL("i1"), rwlab.OperatorKey, fleet.URL("e1"))
		<-ctx.Done()
	}
	if !report.AllCorrect() || report.Correct != demoRequests {
		return errors.Errorf("%d of %d answers were complete and correct", report.Correct, demoRequests)
	}
	fmt.Fprintln(std.out, "every answer was complete: no token was missing or repeated")
	return nil
}

// newDemoFleet returns a fleet that isn't started yet, and a function that stops it
// and removes its logs.
func newDemoFleet() (*rwlab.Fleet, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	logs, err := os.MkdirTemp("", "ragwortwall-demo-")
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	fleet := &rwlab.Fleet{Bin: filepath.Dir(self), Logs: logs, Instances: 6, Zones: 3, Engines: 6, Services: 1, Capacity: 8, Versions: []string{"v1", "v2"}}
	return fleet, func() {
		fleet.Stop()
		_ = os.RemoveAll(logs)
	}, nil
}

// streamAndKillEngine requests some streams and kills the engine that runs the most of
// them. It returns the report of the load and the name of the engine.
func streamAndKillEngine(ctx context.Context, fleet *rwlab.Fleet) (rwload.Report, string, error) {
	load := &rwload.Load{Options: rwload.Options{
		Targets: fleet.Targets(), APIKey: rwlab.CallerKey, Model: rwlab.Model, Requests: demoRequests,
		MaxTokens: demoMaxTokens, PromptBytes: 1000, SharedPrefixShare: 0.8, SharedPrefixes: 2, Seed: 1, Timeout: demoRequestTimeout, RetryAfterRefusal: true,
	}}
	done := make(chan rwload.Report, 1)
	go func() { done <- load.Run(ctx) }()
	rwtime.Sleep(ctx, demoKillDelay)
	busiest, err := busiestEngine(fleet)
	if err != nil {
		return rwload.Report{}, "", err
	}
	if err := fleet.Signal(busiest, syscall.SIGKILL); err != nil {
		return rwload.Report{}, "", err
	}
	return <-done, busiest, nil
}

// busiestEngine returns the name of the engine with the most running streams.
func busiestEngine(fleet *rwlab.Fleet) (string, error) {
	busiest, maxRunning := "", 0
	for n := range fleet.Engines {
		name := fmt.Sprintf("e%d", n+1)
		var counts struct {
			Running int `json:"running"`
		}
		if err := fleet.Get(name, "/standin/counts", &counts); err != nil {
			return "", err
		}
		if counts.Running > maxRunning {
			busiest, maxRunning = name, counts.Running
		}
	}
	if busiest == "" {
		return "", errors.New("no engine is running a stream")
	}
	return busiest, nil
}
