// Package rwlog writes structured log lines without ever blocking the caller. Lines
// go through a bounded buffer. While the reader of the log is slow, lines are dropped,
// and a later line reports how many. When the reader is gone, lines are lost. The
// package also collects the lines about one request from the logs of several
// instances.
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
	// maxPendingBytes bounds the lines that wait for the reader. It holds a few
	// seconds of a busy instance's lines.
	maxPendingBytes = 256 << 10
	// maxRoutineBytes bounds the routine lines of one flushInterval. It allows about
	// 1,500 lines a second, a hundred times those of an instance on a busy day.
	// Lines about refusals and failures are not subject to it.
	maxRoutineBytes = 32 << 10
	// flushInterval is the pause between two writes, during which lines are buffered.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines and writes them to another writer from its own goroutine.
type Writer struct {
	out io.Writer

	mu           sync.Mutex
	pending      []byte
	routineBytes int    // bytes of routine lines in pending
	spare        []byte // buffer of the previous flush, for reuse
	dropped      int    // lines dropped since the last flush
	wake         chan struct{}
	done         chan struct{}
	closed       bool
}

// NewWriter returns a Writer that writes its lines to out, and starts its goroutine.
// Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.flushLoop()
	return w
}

// Write buffers one line, or drops it when the buffer is full. It never blocks and
// always returns a nil error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendLocked(line)
	return len(line), nil
}

// routineWriter buffers routine lines, which are dropped before all others.
type routineWriter struct{ *Writer }

func (r routineWriter) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routineBytes+len(line) > maxRoutineBytes {
		r.dropped++
		return len(line), nil
	}
	r.routineBytes += len(line)
	r.appendLocked(line)
	return len(line), nil
}

// appendLocked buffers a line and wakes flushLoop. It drops the line if the buffer is
// full or the Writer is closed.
func (w *Writer) appendLocked(line []byte) {
	switch {
	case w.closed || len(w.pending)+len(line) > maxPendingBytes:
		w.dropped++
	default:
		w.pending = append(w.pending, line...)
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// Sync does nothing, because the goroutine flushes on its own. It always returns nil.
func (w *Writer) Sync() error { return nil }

// Close writes the pending lines and ends the goroutine. It stops waiting for the
// reader after timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.wake)
	}
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) flushLoop() {
	defer close(w.done)
	for range w.wake {
		w.flush()
		time.Sleep(flushInterval)
	}
	w.flush()
}

// flush writes the buffered lines. Only flushLoop may call it, as it uses spare without
// the lock.
func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped, w.routineBytes = w.spare[:0], 0, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"msg":"lines left out","count":`+strconv.Itoa(dropped)+"}\n"...)
	}
	if len(lines) > 0 {
		// When the reader is gone, there is nowhere to report the error.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// Routine is the verbosity of lines about normal events. They are dropped first when
// there are too many lines.
const Routine = 1

// New returns a logger that writes JSON lines to w. Lines of verbosity Routine, which
// zap calls debug level, have a smaller limit than all others.
func New(w *Writer) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z07:00")
	encoder := zapcore.NewJSONEncoder(config)
	routineOnly := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.DebugLevel })
	return zapr.NewLogger(zap.New(zapcore.NewTee(
		zapcore.NewCore(encoder, w, zapcore.InfoLevel), zapcore.NewCore(encoder, routineWriter{w}, routineOnly),
	)))
}
