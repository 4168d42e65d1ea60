package rwcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"ragwortwall/internal/rwstandin"

	"github.com/jessevdk/go-flags"
)

type standinOptions struct {
	Platform platformCommand `command:"platform" description:"the platform's object API"`
	Engine   engineCommand   `command:"engine" description:"a model engine"`
	Service  serviceCommand  `command:"service" description:"a plain service"`
}

// MainStandin runs the program rwstandin and returns its exit code.
func MainStandin(args []string, stdout, stderr io.Writer) int {
	var opts standinOptions
	parser := flags.NewNamedParser("rwstandin", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("rwstandin", "", &opts); err != nil {
		panic(err)
	}
	return parseAndRun(parser, args, stdio{out: stdout, err: stderr})
}

const standinHeaderTimeout = 10 * time.Second

// serveHTTP serves until ctx ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type platformCommand struct {
	Listen string        `long:"listen" required:"yes" description:"address"`
	Lag    time.Duration `long:"lag" default:"1s" description:"lag of the list of instances"`
}

// Execute runs the stand-in for the platform.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	platform := &rwstandin.Platform{Lag: c.Lag}
	return serveHTTP(ctx, c.Listen, platform.Handler())
}

type engineCommand struct {
	Listen          string        `long:"listen" required:"yes" description:"address"`
	Versions        []string      `long:"version" default:"v1" description:"versions loaded at the start"`
	Capacity        int           `long:"capacity" default:"8" description:"streams at once before it falls over"`
	Step            time.Duration `long:"step" default:"10ms" description:"time of a decoding step"`
	StepPerStream   time.Duration `long:"per" default:"100us" description:"added to a step by each stream"`
	PrefillPerToken time.Duration `long:"prefill" default:"50us" description:"per prompt token that is not cached"`
	CacheBlocks     int           `long:"blocks" default:"4096" description:"size of the prefix cache"`
	LoadReportLag   time.Duration `long:"lag" default:"500ms" description:"lag of load reports"`
	VersionLoadTime time.Duration `long:"load" default:"2s" description:"time to load a version"`
	Fenced          bool          `long:"fenced" description:"refuse orders with an old fencing number"`
}

// Execute runs the stand-in for an engine. A simulated crash ends the process.
func (c *engineCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	engine := &rwstandin.Engine{
		Versions: c.Versions, Capacity: c.Capacity, Step: c.Step, Per: c.StepPerStream, Prefill: c.PrefillPerToken,
		Blocks: c.CacheBlocks, ReportLag: c.LoadReportLag, LoadTime: c.VersionLoadTime, Fenced: c.Fenced,
		Crash: func(reason string) {
			fmt.Fprintln(os.Stderr, "engine", c.Listen, "crashed:", reason)
			os.Exit(exitFailure)
		},
	}
	handler := engine.Handler()
	go engine.Run(ctx)
	return serveHTTP(ctx, c.Listen, handler)
}

type serviceCommand struct {
	Listen string `long:"listen" required:"yes" description:"address"`
}

// Execute runs the stand-in for a plain service.
func (c *serviceCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	service := &rwstandin.Service{}
	return serveHTTP(ctx, c.Listen, service.Handler())
}
