package rwlog_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"ragwortwall/internal/rwlog"

	"github.com/stretchr/testify/require"
)

// TestSlowReader checks that logging doesn't block while the reader of the log reads
// nothing, and that a line reports the dropped lines once it reads.
func TestSlowReader(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	writer := rwlog.NewWriter(w)
	log := rwlog.New(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			log.Info("refused", "request", "0123456789abcdef", "cause", strings.Repeat("x", 40))
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		require.Fail(t, "logging blocked on a reader that reads nothing")
	}
	go func() {
		writer.Close(time.Minute)
		_ = w.Close()
	}()
	content, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Contains(t, string(content), `"msg":"lines left out"`)
}

// TestRoutineLinesDroppedFirst checks that a refusal is written although more routine
// lines precede it than the limit allows: only routine lines are dropped.
func TestRoutineLinesDroppedFirst(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	writer := rwlog.NewWriter(w)
	log := rwlog.New(writer)
	for n := range 20_000 {
		log.V(rwlog.Routine).Info("stream placed", "request", n, "cause", strings.Repeat("x", 40))
	}
	log.Info("refused", "request", "r1")
	go func() {
		writer.Close(time.Minute)
		_ = w.Close()
	}()
	content, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Contains(t, string(content), `"msg":"refused","request":"r1"`)
	require.Contains(t, string(content), `"msg":"lines left out"`)
	require.Contains(t, string(content), `"msg":"stream placed","request":0`)
}

func TestJSONLines(t *testing.T) {
	var out bytes.Buffer
	writer := rwlog.NewWriter(&out)
	rwlog.New(writer).Info("started", "instance", "a")
	writer.Close(time.Minute)
	require.Contains(t, out.String(), `"msg":"started","instance":"a"`)
}

// TestTimeline checks that the lines of several logs are ordered by time, also when
// other text precedes their JSON.
func TestTimeline(t *testing.T) {
	timeline := rwlog.Timeline{Request: "r1"}
	require.NoError(t, timeline.AddLog("b.log", strings.NewReader(
		`12.1 b {"ts":"2026-01-01T00:00:02.000Z","msg":"stream ended","request":"r1","events":9}`+"\nno line\n"+
			`{"ts":"2026-01-01T00:00:01.500Z","msg":"stream placed","request":"r2","run":"r1"}`)))
	require.NoError(t, timeline.AddLog("a.log", strings.NewReader(
		`{"ts":"2026-01-01T00:00:01.000Z","msg":"stream broken off","request":"r1","cause":"unexpected EOF"}`)))
	var texts []string
	for _, l := range timeline.Lines {
		texts = append(texts, l.Text)
	}
	require.Equal(t, []string{"stream broken off", "stream placed", "stream ended"}, texts)
	require.Equal(t, "unexpected EOF", timeline.Cause)
	require.Equal(t, "stream ended", timeline.Outcome)
	var out bytes.Buffer
	timeline.Print(&out)
	require.Contains(t, out.String(), "cause:   unexpected EOF")
}
