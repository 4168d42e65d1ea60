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
func MainStandin(args []string, out, err io.Writer) int {
	var opts standinOptions
	parser := flags.NewNamedParser("rwstandin", flags.HelpFlag|flags.PassDoubleDash)
	if _, e := parser.AddGroup("rwstandin", "", &opts); e != nil {
		panic(e)
	}
	return run(parser, args, output{out: out, err: err})
}

const standinHeaderTimeout = 10 * time.Second

// serveHTTP serves until the process is told to stop.
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

// Execute runs the stand-in.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	p := &rwstandin.Platform{Lag: c.Lag}
	return serveHTTP(ctx, c.Listen, p.Handler())
}

type engineCommand struct {
	Listen   string        `long:"listen" required:"yes" description:"address"`
	Versions []string      `long:"version" default:"v1" description:"versions loaded at the start"`
	Capacity int           `long:"capacity" default:"8" description:"streams at once before it falls over"`
	Step     time.Duration `long:"step" default:"10ms" description:"time of a decoding step"`
	Per      time.Duration `long:"per" default:"100us" description:"added to a step by each stream"`
	Prefill  time.Duration `long:"prefill" default:"50us" description:"per prompt token that is not cached"`
	Blocks   int           `long:"blocks" default:"4096" description:"size of the prefix cache"`
	Lag      time.Duration `long:"lag" default:"500ms" description:"lag of load reports"`
	Load     time.Duration `long:"load" default:"2s" description:"time to load a version"`
	Fenced   bool          `long:"fenced" description:"refuse orders with an old fencing number"`
}

// Execute runs the stand-in. A crash ends the process.
func (c *engineCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	e := &rwstandin.Engine{
		Versions: c.Versions, Capacity: c.Capacity, Step: c.Step, Per: c.Per, Prefill: c.Prefill,
		Blocks: c.Blocks, ReportLag: c.Lag, LoadTime: c.Load, Fenced: c.Fenced,
		Crash: func(reason string) {
			fmt.Fprintln(os.Stderr, "engine", c.Listen, "crashed:", reason)
			os.Exit(exitFailed)
		},
	}
	handler := e.Handler()
	go e.Run(ctx)
	return serveHTTP(ctx, c.Listen, handler)
}

type serviceCommand struct {
	Listen string `long:"listen" required:"yes" description:"address"`
}

// Execute runs the stand-in.
func (c *serviceCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	s := &rwstandin.Service{}
	return serveHTTP(ctx, c.Listen, s.Handler())
}
