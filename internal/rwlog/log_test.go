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

// TestSlowReader: a reader that takes nothing does not hold up who writes lines;
// what was left out is said.
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
		require.Fail(t, "the writer of lines is held up")
	}
	go func() {
		writer.Close(time.Minute)
		_ = w.Close()
	}()
	content, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Contains(t, string(content), `"msg":"lines left out"`)
}

// TestRoutineFirst answers a flood of lines about what went well: these are left
// out, and the refusal in their midst is not.
func TestRoutineFirst(t *testing.T) {
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

func TestLines(t *testing.T) {
	var out bytes.Buffer
	writer := rwlog.NewWriter(&out)
	rwlog.New(writer).Info("started", "instance", "a")
	writer.Close(time.Minute)
	require.Contains(t, out.String(), `"msg":"started","instance":"a"`)
}

// TestStory: lines of several instances are put in the order of time, whatever
// stands before them.
func TestStory(t *testing.T) {
	story := rwlog.Story{Request: "r1"}
	require.NoError(t, story.Read("b.log", strings.NewReader(
		`12.1 b {"ts":"2026-01-01T00:00:02.000Z","msg":"stream ended","request":"r1","events":9}`+"\nno line\n"+
			`{"ts":"2026-01-01T00:00:01.500Z","msg":"stream placed","request":"r2","run":"r1"}`)))
	require.NoError(t, story.Read("a.log", strings.NewReader(
		`{"ts":"2026-01-01T00:00:01.000Z","msg":"stream broken off","request":"r1","cause":"unexpected EOF"}`)))
	var texts []string
	for _, l := range story.Lines {
		texts = append(texts, l.Text)
	}
	require.Equal(t, []string{"stream broken off", "stream placed", "stream ended"}, texts)
	require.Equal(t, "unexpected EOF", story.Cause)
	require.Equal(t, "stream ended", story.Outcome)
	var out bytes.Buffer
	story.Write(&out)
	require.Contains(t, out.String(), "cause:   unexpected EOF")
}
