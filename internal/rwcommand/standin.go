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
	Platform platformCommand `command:"platform" description:"run a stand-in for the platform's object API"`
	Engine   engineCommand   `command:"engine" description:"run a stand-in for a model engine"`
	Service  serviceCommand  `command:"service" description:"run a stand-in for a plain HTTP service that takes orders"`
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
	Listen string        `long:"listen" required:"yes" description:"address to listen on, as host:port"`
	Lag    time.Duration `long:"lag" default:"1s" description:"time until a new instance appears in the list of instances"`
}

// Execute runs the stand-in for the platform.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	platform := &rwstandin.Platform{ListLag: c.Lag}
	return serveHTTP(ctx, c.Listen, platform.Handler())
}

type engineCommand struct {
	Listen          string        `long:"listen" required:"yes" description:"address to listen on, as host:port"`
	Versions        []string      `long:"version" default:"v1" description:"version that is loaded at the start; repeat the flag for several"`
	Capacity        int           `long:"capacity" default:"8" description:"number of concurrent streams that the engine can run; it crashes when one more starts"`
	Step            time.Duration `long:"step" default:"10ms" description:"duration of a decoding step with no running stream"`
	StepPerStream   time.Duration `long:"per" default:"100us" description:"time that each running stream adds to a decoding step"`
	PrefillPerToken time.Duration `long:"prefill" default:"50us" description:"time to prefill each prompt token that is not in the prefix cache"`
	CacheBlocks     int           `long:"blocks" default:"4096" description:"size of the prefix cache, in blocks of 16 tokens"`
	LoadReportLag   time.Duration `long:"lag" default:"500ms" description:"time until load reports show a change"`
	VersionLoadTime time.Duration `long:"load" default:"2s" description:"time that the engine takes to load a version"`
	Fenced          bool          `long:"fenced" description:"refuse orders to load or unload a version whose fencing token is lower than that of an earlier order"`
}

// Execute runs the stand-in for an engine. A simulated crash ends the process.
func (c *engineCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	engine := &rwstandin.Engine{
		Versions: c.Versions, Capacity: c.Capacity, BaseStep: c.Step, StepPerStream: c.StepPerStream, PrefillPerToken: c.PrefillPerToken,
		CacheBlocks: c.CacheBlocks, ReportLag: c.LoadReportLag, LoadTime: c.VersionLoadTime, Fenced: c.Fenced,
		OnCrash: func(reason string) {
			fmt.Fprintln(os.Stderr, "engine", c.Listen, "crashed:", reason)
			os.Exit(exitFailure)
		},
	}
	handler := engine.Handler()
	go engine.Run(ctx)
	return serveHTTP(ctx, c.Listen, handler)
}

type serviceCommand struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on, as host:port"`
}

// Execute runs the stand-in for a plain service.
func (c *serviceCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	service := &rwstandin.Service{}
	return serveHTTP(ctx, c.Listen, service.Handler())
}
