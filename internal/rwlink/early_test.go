package rwlink

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

var errSilent = errors.New("silent")

// waitSomeTime ends the wait for a server that has been silent for a while.
func waitSomeTime(silent time.Duration) (time.Duration, error) {
	if silent > 10*time.Second {
		return 0, errSilent
	}
	return time.Second, nil
}

// earlyConn is a connection whose server answers before it has read the body of the request. As on
// Linux, the error of a reset is told once: a write that gets it leaves the end of the
// connection to the next read.
type earlyConn struct {
	net.Conn // its deadlines alone are used

	response io.Reader
	writes   int           // returned so far
	written  chan struct{} // closed when the body's write may return
	err      error         // that this write returns
}

func (c *earlyConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(p), nil // the head
	}
	<-c.written
	if c.err != nil {
		return 0, c.err
	}
	return len(p), nil
}

func (c *earlyConn) Read(p []byte) (int, error)      { return c.response.Read(p) }
func (c *earlyConn) Close() error                    { return nil }
func (c *earlyConn) SetReadDeadline(time.Time) error { return nil }

// TestEarlyResponseCut guards against the part of an early response that is taken for the whole: it
// has neither a length nor chunks, and the connection is reset while the request's body is still
// being written. The write gets the error of the reset, the read an end.
func TestEarlyResponseCut(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart"
		framed   = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\npart"
		chunked  = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
	)
	for name, c := range map[string]struct {
		response string
		after    time.Duration // until the write of the body returns, from the start
		err      error         // of that write
		want     error
	}{
		"write fails before the response is read": {response: unframed, err: syscall.ECONNRESET, want: io.ErrUnexpectedEOF},
		"write fails after the end":               {response: unframed, after: time.Second, err: syscall.ECONNRESET, want: io.ErrUnexpectedEOF},
		"write goes on after the end":             {response: unframed, after: time.Second},
		"write never returns":                     {response: unframed, after: time.Hour, want: io.ErrUnexpectedEOF},
		"written before":                          {response: unframed},
		"with a length, write fails":              {response: framed, err: syscall.EPIPE},
		"with a length, cut":                      {response: framed[:len(framed)-1], err: syscall.EPIPE, want: io.ErrUnexpectedEOF},
		"in chunks, write fails":                  {response: chunked, err: syscall.EPIPE},
		"in chunks, cut":                          {response: chunked[:len(chunked)-7], err: syscall.EPIPE, want: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw := &earlyConn{response: strings.NewReader(c.response), written: make(chan struct{}), err: c.err}
				if c.after == 0 {
					close(raw.written)
				} else {
					time.AfterFunc(c.after, func() { close(raw.written) })
				}
				conn := New(raw, "a")
				response, _, err := conn.Exchange(Request{Method: "POST", Target: "/", Body: make([]byte, 2*maxInlineBody)}, waitSomeTime, owns("a"))
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				if c.want == nil {
					require.NoError(t, err)
					require.Equal(t, "part", string(body))
				} else {
					require.ErrorIs(t, err, c.want)
				}
				time.Sleep(2 * time.Hour) // the write returns
			})
		})
	}
}
