package rwcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// The exit codes of all programs.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// output is where commands write.
type output struct {
	out, err io.Writer
}

// run parses the arguments with a parser and runs the command that they name.
func run(parser *flags.Parser, args []string, o output) int {
	code, _ := parse(parser, args, o)
	return code
}

// parse is run for a program without commands: it reports whether the program has
// still to do its work, which it has not after a help text.
func parse(parser *flags.Parser, args []string, o output) (int, bool) {
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitDone, true
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(o.out, usage.Message)
			return exitDone, false
		}
		fmt.Fprintln(o.err, usage.Message)
		return exitUsage, false
	}
	fmt.Fprintln(o.err, err)
	return exitFailed, false
}

// interruptible returns a context that ends with a signal to stop, or when the
// reader of the output is gone: what was started must be ended however it comes.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE, os.Interrupt)
}

// newLog returns a log that writes JSON lines to standard error.
func newLog(verbose bool) (logr.Logger, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.Sampling = nil
	config.DisableStacktrace = true
	if verbose {
		config.Level = zap.NewAtomicLevelAt(zapcore.DebugLevel)
	}
	z, err := config.Build()
	if err != nil {
		return logr.Logger{}, errors.Trace(err)
	}
	return zapr.NewLogger(z), nil
}
