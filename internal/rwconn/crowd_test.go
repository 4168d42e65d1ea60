package rwconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwconn"

	"github.com/stretchr/testify/require"
)

// TestCrowdMakesRoom guards against connections that keep others out: of those that wait for
// their clients, the ones that have waited longest are closed, and none whose request runs.
func TestCrowdMakesRoom(t *testing.T) {
	counted := make(chan string, 8)
	s := newConnServer(t, func(c *rwconn.Conns) {
		c.Max, c.Count = 2, func(name string) { counted <- name }
	})
	silent, used := s.dial(t), s.dial(t)
	require.True(t, exchange(t, used))
	<-s.idle
	require.True(t, exchange(t, s.dial(t)))
	_, err := io.ReadAll(silent)
	require.NoError(t, err, "closed without a reset")
	require.Equal(t, "callers_closed", <-counted)
	require.True(t, exchange(t, used))
}

// TestHeadsShareMemory guards against heads that take the memory: further ones are refused as not
// run, ordinary ones are served, and the memory is given back.
func TestHeadsShareMemory(t *testing.T) {
	s := newConnServer(t, func(c *rwconn.Conns) { c.Memory = rwaccount.NewMemory(2 << 20) })
	var fields strings.Builder
	for n := range 2000 {
		fmt.Fprintf(&fields, "x%d:\r\n", n)
	}
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	held := s.dial(t)
	_, err := io.WriteString(held, head+fields.String())
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.conns.Memory.Held() > 200<<10 }, waitTimeout, readDelay)
	refused := 0
	for range 4 {
		c := s.dial(t)
		_, err := io.WriteString(c, head+fields.String())
		require.NoError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(readDelay))
		if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			refused++
		}
		defer func() { _ = c.Close() }()
	}
	require.Positive(t, refused)
	require.Zero(t, s.requests.Load())
	require.True(t, exchange(t, s.dial(t)))
	require.NoError(t, held.Close())
	require.Eventually(t, func() bool { return s.conns.Memory.Held() < 1<<20 }, waitTimeout, readDelay)
}

// TestRestOfBody guards against connections that stay open for the rest of a body that never
// comes, after the request was answered.
func TestRestOfBody(t *testing.T) {
	s := newConnServer(t, nil)
	handler := s.conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ConnState: s.conns.Track, ReadHeaderTimeout: waitTimeout}
	go func() { _ = server.Serve(s.conns.Wrap(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "the connection is closed")
	require.Contains(t, string(answer), "done")
}
