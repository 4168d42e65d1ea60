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
	"golang.org/x/sys/unix"
)

// The exit codes of all programs.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// stdio holds the streams that commands write to.
type stdio struct {
	out, err io.Writer
}

// parseAndRun parses the arguments, runs the command that they name and returns the
// exit code.
func parseAndRun(parser *flags.Parser, args []string, std stdio) int {
	code, _ := parseArgs(parser, args, std)
	return code
}

// parseArgs parses the arguments of a program and, if they name a command, runs it. It
// returns the exit code, and false if it printed the help text or an error: a program
// without commands must then exit.
func parseArgs(parser *flags.Parser, args []string, std stdio) (int, bool) {
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK, true
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(std.out, usage.Message)
			return exitOK, false
		}
		fmt.Fprintln(std.err, usage.Message)
		return exitUsage, false
	}
	fmt.Fprintln(std.err, err)
	return exitFailure, false
}

// signalContext returns a context that ends on SIGTERM, SIGHUP, an interrupt, or when the
// reader of the process's output is gone. In each case the program must end the processes
// that it started.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	ctx, cancel := context.WithCancel(ctx)
	// The signal also follows a write to a broken connection.
	brokenPipe := make(chan os.Signal, 1)
	signal.Notify(brokenPipe, syscall.SIGPIPE)
	go func() {
		defer signal.Stop(brokenPipe)
		for {
			select {
			case <-ctx.Done():
				return
			case <-brokenPipe:
				if readerGone(os.Stdout) || readerGone(os.Stderr) {
					cancel()
				}
			}
		}
	}()
	return ctx, func() {
		cancel()
		stop()
	}
}

// readerGone reports whether a pipe or terminal has lost its reader.
func readerGone(f *os.File) bool {
	fds := []unix.PollFd{{Fd: int32(f.Fd())}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
}

// newLog returns a logger that writes JSON lines to standard error.
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
