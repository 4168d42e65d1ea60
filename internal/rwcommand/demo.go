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
	Keep bool `long:"keep" description:"keep the fleet running until interrupted"`
}

// MainDemo runs the program rwdemo and returns its exit code.
func MainDemo(args []string, out, err io.Writer) int {
	var opts demoOptions
	parser := flags.NewNamedParser("rwdemo", flags.HelpFlag|flags.PassDoubleDash)
	if _, e := parser.AddGroup("rwdemo", "", &opts); e != nil {
		panic(e)
	}
	o := output{out: out, err: err}
	if code, ok := parse(parser, args, o); !ok {
		return code
	}
	ctx, stop := interruptible()
	defer stop()
	if e := opts.demo(ctx, o); e != nil {
		fmt.Fprintln(err, "demo failed:", e)
		return exitFailed
	}
	return exitDone
}

const (
	demoKillAfter = time.Second
	demoRequests  = 12
	demoTokens    = 400
	demoPatience  = time.Minute
)

func (c *demoOptions) demo(ctx context.Context, o output) error {
	fleet, clean, err := demoFleet()
	if err != nil {
		return err
	}
	defer clean()
	fmt.Fprintln(o.out, "starting 1 platform, 6 instances in 3 zones, 6 engines, 1 order service")
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "ready; an answer streams at %s/v1/completions with the key %s\n", fleet.Targets()[0], rwlab.CallerKey)
	report, killed, err := demoLoad(ctx, fleet)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "killed engine %s in the middle of its answers\n%s", killed, report)
	if c.Keep {
		fmt.Fprintf(o.out, "callers: %s\noperators: %s with the key %s\nengine e1: %s\ninterrupt to end\n",
			strings.Join(fleet.Targets(), ","), fleet.Operators("i1"), rwlab.OperatorKey, fleet.URL("e1"))
		<-ctx.Done()
	}
	if !report.Right() || report.Whole != demoRequests {
		return errors.Errorf("%d of %d answers were whole and right", report.Whole, demoRequests)
	}
	fmt.Fprintln(o.out, "every answer was whole: no token missing, none repeated")
	return nil
}

func demoFleet() (*rwlab.Fleet, func(), error) {
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

// demoLoad streams some answers and kills the engine that runs most of them.
func demoLoad(ctx context.Context, fleet *rwlab.Fleet) (rwload.Report, string, error) {
	l := &rwload.Load{Options: rwload.Options{
		Targets: fleet.Targets(), Key: rwlab.CallerKey, Model: rwlab.Model, Requests: demoRequests,
		Tokens: demoTokens, Prompt: 1000, Shared: 0.8, Styles: 2, Seed: 1, Patience: demoPatience, Repeat: true,
	}}
	done := make(chan rwload.Report, 1)
	go func() { done <- l.Run(ctx) }()
	rwtime.Sleep(ctx, demoKillAfter)
	busiest, err := busiestEngine(fleet)
	if err != nil {
		return rwload.Report{}, "", err
	}
	if err := fleet.Signal(busiest, syscall.SIGKILL); err != nil {
		return rwload.Report{}, "", err
	}
	return <-done, busiest, nil
}

func busiestEngine(fleet *rwlab.Fleet) (string, error) {
	best, most := "", 0
	for n := range fleet.Engines {
		name := fmt.Sprintf("e%d", n+1)
		var counts struct {
			Running int `json:"running"`
		}
		if err := fleet.Get(name, "/standin/counts", &counts); err != nil {
			return "", err
		}
		if counts.Running > most {
			best, most = name, counts.Running
		}
	}
	if best == "" {
		return "", errors.New("no engine runs an answer")
	}
	return best, nil
}
