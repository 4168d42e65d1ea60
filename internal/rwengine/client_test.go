package rwengine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfake"
	"ragwortwall/internal/rwnet"

	"github.com/stretchr/testify/require"
)

// readStream reads all events of a stream. The error is the one that ended it.
func readStream(text string) (events []StreamEvent, err error) {
	return readAll(newStream(io.NopCloser(strings.NewReader(text))))
}

func readAll(s *Stream) (events []StreamEvent, err error) {
	for {
		p, err := s.Next()
		if err != nil {
			return events, err
		}
		events = append(events, p)
	}
}

const goodEvent = `data: {"choices":[{"token_ids":[7],"logprobs":{"content":[{"bytes":[216,167]}]}}],"offset":3,"prompt_token_ids":[1,2]}` + "\n\n"

func TestStream(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		events, err := readStream(": comment\n\n" + goodEvent + "data: [DONE]\n\n")
		require.ErrorIs(t, err, io.EOF)
		require.Len(t, events, 1)
		require.Equal(t, "ا", string(events[0].Tokens[0].Text))
		require.Equal(t, 3, events[0].Offset)
	})
	t.Run("connection lost before the end", func(t *testing.T) {
		_, err := readStream(goodEvent)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	t.Run("error event", func(t *testing.T) {
		_, err := readStream(`data: {"error":{"message":"out of memory"}}` + "\n\n")
		require.ErrorContains(t, err, "out of memory")
	})
}

// TestStreamCut guards against streams that break off within an event and are taken for
// failures of the engine, which would count against its version.
func TestStreamCut(t *testing.T) {
	for name, end := range map[string]error{"connection ended": io.EOF, "connection reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(goodEvent) - 1 {
				body := io.MultiReader(strings.NewReader(goodEvent+goodEvent[:cut]), iotest.ErrReader(end))
				events, err := readAll(newStream(io.NopCloser(body)))
				require.Len(t, events, 1, goodEvent[:cut])
				require.True(t, rwerror.Is(err, rwerror.KindUnavailable), "%v after %q", err, goodEvent[:cut])
			}
		})
	}
}

func TestRequestSampling(t *testing.T) {
	body, err := Request{Model: "v1", MaxTokens: 5, Sampling: json.RawMessage(`{"seed":3,"max_tokens":9}`)}.encode()
	require.NoError(t, err)
	var got map[string]any
	require.NoError(t, json.Unmarshal(body, &got))
	require.EqualValues(t, 3, got["seed"])
	require.EqualValues(t, 5, got["max_tokens"], "a field of the request must override the sampling field of the same name")
}

func FuzzStream(f *testing.F) {
	f.Add(goodEvent)
	f.Add("data: {}\n\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := readStream(text)
		require.Error(t, err, "a stream must end with an error, io.EOF if it is complete")
	})
}

// TestRefusalWrittenAgain guards against a stream that starts at a second engine while the
// first one runs it: that engine wrote an earlier refusal once more on a kept connection.
func TestRefusalWrittenAgain(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	network := &rwfake.Network{}
	listener, err := network.Host("engine").Listen("10.0.2.1:80")
	require.NoError(t, err)
	defer listener.Close()
	var requests atomic.Int32
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for earlier := 0; ; earlier++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) == 1 || earlier > 0 {
				_, _ = io.WriteString(conn, refusal)
				continue
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(goodEvent), goodEvent)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	host := network.Host("client")
	c := &Client{HTTP: rwnet.HTTPClient(host), Streams: rwnet.UnpooledHTTPClient(host)}
	_, err = c.Complete(t.Context(), "10.0.2.1:80", "first", Request{})
	require.True(t, rwerror.Is(err, rwerror.KindOverloaded), "%v", err)
	s, err := c.Complete(t.Context(), "10.0.2.1:80", "second", Request{})
	require.NoError(t, err, "the engine runs this stream")
	event, err := s.Next()
	require.NoError(t, err)
	require.Len(t, event.Tokens, 1)
}

// TestErrorInStream guards against the text of an error that reaches callers as part of
// their answer, and against one that ends an answer as if it were complete.
func TestErrorInStream(t *testing.T) {
	for name, text := range map[string]string{
		"head of another response": "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nout of memory\n\n",
		"text as data":             "data: out of memory\n\ndata: [DONE]\n\n",
		"error as text":            `data: {"error":"out of memory"}` + "\n\ndata: [DONE]\n\n",
		"named event":              "event: error\ndata: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n",
		"JSON body":                `{"error":{"message":"out of memory"}}`,
		"within an event":          goodEvent[:40] + "\n\ndata: [DONE]\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			events, err := readStream(goodEvent + text)
			require.Len(t, events, 1)
			require.NotErrorIs(t, err, io.EOF, "the answer must not look complete")
		})
	}
}
