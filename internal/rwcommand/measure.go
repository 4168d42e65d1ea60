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
	List      bool `long:"list" description:"list the scenarios"`
	Slopes    bool `long:"slopes" description:"measure the slopes and rewrite docs/CAPACITY.md"`
	Tables    bool `long:"tables" description:"rewrite the tables of docs/CAPACITY.md from the recorded slopes"`
	Arguments struct {
		Scenarios []string `positional-arg-name:"scenario"`
	} `positional-args:"yes"`
}

// MainMeasure runs the program rwmeasure and returns its exit code: 0 if all
// targets hold.
func MainMeasure(args []string, out, err io.Writer) int {
	var opts measureOptions
	parser := flags.NewNamedParser("rwmeasure", flags.HelpFlag|flags.PassDoubleDash)
	if _, e := parser.AddGroup("rwmeasure", "", &opts); e != nil {
		panic(e)
	}
	if code, ok := parse(parser, args, output{out: out, err: err}); !ok {
		return code
	}
	if opts.List {
		for _, s := range rwmeasure.Scenarios {
			fmt.Fprintf(out, "%-10s %s\n", s.Name, s.About)
		}
		return exitDone
	}
	self, e := os.Executable()
	if e != nil {
		fmt.Fprintln(err, e)
		return exitFailed
	}
	ctx, stop := interruptible()
	defer stop()
	bench := &rwmeasure.Bench{Bin: filepath.Dir(self), Out: out}
	if e := opts.measure(ctx, bench); e != nil {
		fmt.Fprintln(err, e)
		return exitFailed
	}
	return exitDone
}

func (c *measureOptions) measure(ctx context.Context, b *rwmeasure.Bench) error {
	switch {
	case c.Slopes:
		return b.Slopes(ctx)
	case c.Tables:
		return b.Tables()
	default:
		return b.Run(ctx, c.Arguments.Scenarios...)
	}
}
