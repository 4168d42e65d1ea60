package rwcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"ragwortwall/internal/rwmeasure"

	"github.com/jessevdk/go-flags"
)

type measureOptions struct {
	List      bool `long:"list" description:"list the scenarios and exit"`
	Slopes    bool `long:"slopes" description:"measure how the use of resources grows with load and fleet size (the slopes), write docs/slopes.json and rewrite the tables of docs/CAPACITY.md"`
	Tables    bool `long:"tables" description:"rewrite the tables of docs/CAPACITY.md from the slopes in docs/slopes.json"`
	Arguments struct {
		Scenarios []string `positional-arg-name:"scenario"`
	} `positional-args:"yes"`
}

// MainMeasure runs the program rwmeasure and returns its exit code: 0 if all
// targets are met.
func MainMeasure(args []string, stdout, stderr io.Writer) int {
	var opts measureOptions
	parser := flags.NewNamedParser("rwmeasure", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("rwmeasure", "", &opts); err != nil {
		panic(err)
	}
	if code, ok := parseArgs(parser, args, stdio{out: stdout, err: stderr}); !ok {
		return code
	}
	if opts.List {
		for _, s := range rwmeasure.Scenarios {
			fmt.Fprintf(stdout, "%-10s %s\n", s.Name, s.Description)
		}
		return exitOK
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	ctx, stop := signalContext()
	defer stop()
	bench := &rwmeasure.Bench{Bin: filepath.Dir(self), Out: stdout}
	if err := opts.run(ctx, bench); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	return exitOK
}

func (c *measureOptions) run(ctx context.Context, b *rwmeasure.Bench) error {
	switch {
	case c.Slopes:
		return b.MeasureSlopes(ctx)
	case c.Tables:
		return b.RewriteTables()
	default:
		return b.Run(ctx, c.Arguments.Scenarios...)
	}
}
