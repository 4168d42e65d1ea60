// Package rwlog writes structured log lines that never block the process: lines
// go through a bounded buffer, and a reader that is slow or gone costs lines,
// not time. How many were left out is said in a line of its own.
package rwlog

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferMost bounds the lines that wait for the reader, in bytes: some
	// seconds of a busy instance's lines.
	bufferMost = 256 << 10
	// routineMost bounds the routine lines of one flushInterval, in bytes: some
	// 1,500 lines a second, a hundred times those of an instance on a busy day.
	// Refusals and failures go on beyond it.
	routineMost = 32 << 10
	// flushInterval is how long lines gather before they are written.
	flushInterval = 100 * time.Millisecond
)

// Writer hands lines on to another writer from a goroutine of its own.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	routine int // bytes of routine lines among them
	spare   []byte
	left    int // lines left out
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewWriter starts to hand lines on to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeLocked(line)
	return len(line), nil
}

// routineWriter takes lines that are left out first.
type routineWriter struct{ *Writer }

func (r routineWriter) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routine+len(line) > routineMost {
		r.left++
		return len(line), nil
	}
	r.routine += len(line)
	r.takeLocked(line)
	return len(line), nil
}

func (w *Writer) takeLocked(line []byte) {
	switch {
	case w.closed || len(w.pending)+len(line) > bufferMost:
		w.left++
	default:
		w.pending = append(w.pending, line...)
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// Sync does nothing: lines are on their way.
func (w *Writer) Sync() error { return nil }

// Close writes what is pending, if the reader takes it within a time.
func (w *Writer) Close(within time.Duration) {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.wake)
	}
	select {
	case <-w.done:
	case <-time.After(within):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.flush()
		time.Sleep(flushInterval)
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, left := w.pending, w.left
	w.pending, w.left, w.routine = w.spare[:0], 0, 0
	w.mu.Unlock()
	if left > 0 {
		lines = append(lines, `{"msg":"lines left out","count":`+strconv.Itoa(left)+"}\n"...)
	}
	if len(lines) > 0 {
		// A reader that is gone can't be told of.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// Routine is the verbosity of lines about what went well, which are left out first
// when there are too many.
const Routine = 1

// New returns a log that writes JSON lines.
func New(w *Writer) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z07:00")
	encoder := zapcore.NewJSONEncoder(config)
	routine := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.DebugLevel })
	return zapr.NewLogger(zap.New(zapcore.NewTee(
		zapcore.NewCore(encoder, w, zapcore.InfoLevel), zapcore.NewCore(encoder, routineWriter{w}, routine),
	)))
}
