package rwlink

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// server is the server's end of a connection. Close also stops serve.
type server struct {
	net.Conn
	done chan struct{}
}

func (s server) Close() error {
	close(s.done)
	return s.Conn.Close()
}

// serve simulates a server on one connection: it reads the head of a request and
// sends the texts, with a pause before each.
func serve(t *testing.T, pause time.Duration, texts ...string) (*Conn, server) {
	t.Helper()
	clientEnd, serverEnd := net.Pipe()
	done := make(chan struct{})
	go func() {
		buffer := make([]byte, 4096)
		if _, err := serverEnd.Read(buffer); err != nil {
			return
		}
		for _, text := range texts {
			select {
			case <-time.After(pause):
			case <-done:
				return
			}
			if _, err := io.WriteString(serverEnd, text); err != nil {
				return
			}
		}
	}()
	c := &Conn{conn: clientEnd, address: "a", silentSince: time.Now()}
	c.reader = newReader(c)
	return c, server{Conn: serverEnd, done: done}
}

// waitIndefinitely waits without limit.
func waitIndefinitely(time.Duration) (time.Duration, error) { return time.Second, nil }

// owns accepts responses with the given value of the Id header.
func owns(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == id }
}

const ownResponse = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok"

// TestExchangeLate verifies that a late response to another request is dropped, so
// that it isn't taken for the response to this one.
func TestExchangeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, serverEnd := serve(t, 0, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong", "HTTP/1.1 103 Early Hints\r\n\r\n", ownResponse)
		defer serverEnd.Close()
		response, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitIndefinitely, owns("own"))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		require.True(t, c.Reusable())
	})
}

// TestExtraBytes verifies that a connection with bytes after a complete response is
// not reused, as the next request would get them as its response.
func TestExtraBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, serverEnd := serve(t, 0, ownResponse+"HTTP/1.1 200 OK\r\n")
		defer serverEnd.Close()
		response, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitIndefinitely, owns("own"))
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.False(t, c.Reusable())
	})
}

func TestTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, serverEnd := serve(t, 0, strings.TrimSuffix(ownResponse, "k"))
		response, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitIndefinitely, owns("own"))
		require.NoError(t, err)
		require.NoError(t, serverEnd.Close())
		_, err = io.ReadAll(response.Body)
		require.Error(t, err, "a truncated response must not look complete")
	})
}

// TestSilenceFunc verifies that the function ends the wait for a silent server, and
// that time in which the caller didn't read doesn't count as silence.
func TestSilenceFunc(t *testing.T) {
	errLost := errors.New("lost")
	synctest.Test(t, func(t *testing.T) {
		c, serverEnd := serve(t, 400*time.Millisecond, ownResponse)
		defer serverEnd.Close()
		_, outcome, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, func(silent time.Duration) (time.Duration, error) {
			if silent > 300*time.Millisecond {
				return 0, errLost
			}
			return 50 * time.Millisecond, nil
		}, nil)
		require.ErrorIs(t, err, errLost)
		require.Equal(t, OutcomeUnknown, outcome)
	})
	synctest.Test(t, func(t *testing.T) {
		c, serverEnd := serve(t, 100*time.Millisecond, ownResponse[:len(ownResponse)-2], "o", "k")
		defer serverEnd.Close()
		response, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, func(silent time.Duration) (time.Duration, error) {
			if silent > 300*time.Millisecond {
				return 0, errLost
			}
			return 50 * time.Millisecond, nil
		}, nil)
		require.NoError(t, err)
		time.Sleep(time.Minute) // the caller is slow to read
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
	})
}

// TestSilenceWithinHead guards against the head of a response that is taken for whole although the
// SilenceFunc ended it within a line: the parser took what there was for the line, and the bytes
// that came after it for the rest of the head.
func TestSilenceWithinHead(t *testing.T) {
	for _, begun := range []string{"HTTP/1.1 200 OK\r\nId: own", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 1"} {
		synctest.Test(t, func(t *testing.T) {
			const pause = 100 * time.Millisecond
			c, serverEnd := serve(t, pause, begun, "\r\n\r\nok")
			defer serverEnd.Close()
			silent, ended := errors.New("silent"), false
			_, _, err := c.Exchange(Request{Method: "GET", Target: "/"}, func(time.Duration) (time.Duration, error) {
				if c.pending.responded && !ended {
					ended = true
					return 0, silent
				}
				return time.Second, nil
			}, nil)
			require.ErrorIs(t, err, silent)
		})
	}
}

// TestAbort verifies that a pending read returns at once when the connection is
// aborted.
func TestAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, serverEnd := serve(t, time.Hour, ownResponse)
		defer serverEnd.Close()
		time.AfterFunc(time.Second, c.Abort)
		_, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitIndefinitely, nil)
		require.ErrorIs(t, err, ErrAborted)
	})
}

// TestRequestHead verifies that the body is framed by Content-Length and that line
// breaks in a header value can't inject another header.
func TestRequestHead(t *testing.T) {
	head := string(appendRequestHead(nil, Request{Method: "POST", Target: "/x?y", Host: "h", Header: http.Header{"A": {"1\r\nB: 2"}}, Body: []byte("abc")}))
	require.Equal(t, "POST /x?y HTTP/1.1\r\nHost: h\r\nA: 1  B: 2\r\nContent-Length: 3\r\n\r\n", head)
}

func TestIdleTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5": 4500 * time.Millisecond, "max=3, timeout=2": 1500 * time.Millisecond, "timeout=0": 0, "timeout=x": defaultIdleTimeout, "": defaultIdleTimeout,
	} {
		require.Equal(t, want, idleTimeout(http.Header{"Keep-Alive": {value}}), value)
	}
}

// TestTryConnect verifies that a refused connection counts as an answer, and not as
// a timeout.
func TestTryConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted, answered := TryConnect(context.Background(), nil, l.Addr().String(), time.Minute)
	require.True(t, accepted)
	require.True(t, answered)
	require.NoError(t, l.Close())
	accepted, answered = TryConnect(context.Background(), nil, l.Addr().String(), time.Minute)
	require.False(t, accepted)
	require.True(t, answered, "a refused connection is an answer")
}

// TestPool verifies that idle connections are reused unless a new one is requested
// or the server has closed them.
func TestPool(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	servers := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			servers <- c
		}
	}()
	var p Pool
	address := l.Addr().String()
	get := func(fresh bool) (*Conn, bool) {
		c, reused, err := p.Get(context.Background(), address, fresh, time.Minute)
		require.NoError(t, err)
		return c, reused
	}
	c, reused := get(false)
	require.False(t, reused)
	c.requestComplete, c.maxIdle = true, time.Minute
	p.Put(c)
	again, reused := get(false)
	require.True(t, reused)
	require.Same(t, c, again)
	p.Put(again)
	_, reused = get(true)
	require.False(t, reused, "a new connection was requested")
	require.NoError(t, (<-servers).Close())
	require.Eventually(t, func() bool { return !c.isOpenAndEmpty() }, time.Minute, time.Millisecond)
	_, reused = get(false)
	require.False(t, reused)
}

func TestReadAll(t *testing.T) {
	const limit = 200 << 10
	for name, c := range map[string]struct {
		body io.Reader
		size int
		err  error
	}{
		"empty":              {strings.NewReader(""), 0, nil},
		"short":              {strings.NewReader("whole"), 5, nil},
		"as long as a block": {strings.NewReader(strings.Repeat("x", minReadBlock)), minReadBlock, nil},
		"at the limit":       {strings.NewReader(strings.Repeat("x", limit)), limit, nil},
		"too long":           {strings.NewReader(strings.Repeat("x", limit+1)), 0, ErrBodyTooLong},
		"truncated":          {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 0, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			content, err := ReadAll(c.body, limit)
			require.ErrorIs(t, err, c.err)
			require.Len(t, content, c.size)
		})
	}
}
