package rwpath

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwloopback"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// earlyServer is a connection to a server that sends a part of its response while the request is
// still being written, and then ends the connection. The write gets the error; as on Linux, the
// read gets an end, as a reset is told only once.
type earlyServer struct {
	net.Conn // its deadlines alone are used

	response io.Reader
	writing  chan struct{} // closed by the first write
	ended    chan struct{} // closed by the read that gets the end
	err      error         // of the write
}

func (s *earlyServer) Write(p []byte) (int, error) {
	close(s.writing)
	<-s.ended
	time.Sleep(10 * time.Millisecond) // the end is read before the write returns
	if s.err != nil {
		return 0, s.err
	}
	return len(p), nil
}

func (s *earlyServer) Read(p []byte) (int, error) {
	<-s.writing
	n, err := s.response.Read(p)
	if err != nil {
		close(s.ended)
	}
	return n, err
}

func (s *earlyServer) Close() error                     { return nil }
func (s *earlyServer) SetWriteDeadline(time.Time) error { return nil }

// TestEarlyResponseReset guards against the part of a response that looks whole to the instance for
// which its connection is relayed: the server reset the connection while the request was still
// being written to it.
func TestEarlyResponseReset(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want error
	}{
		"reset":       {err: syscall.ECONNRESET, want: syscall.ECONNRESET},
		"clean ended": {want: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			server := &earlyServer{response: strings.NewReader("some"), writing: make(chan struct{}), ended: make(chan struct{}), err: c.err}
			relay := &Relay{
				Address: rwloopback.Address(), Log: logr.Discard(),
				Dialer:  &Dialer{Log: logr.Discard(), Direct: func(context.Context, string, time.Duration) (net.Conn, error) { return server, nil }},
				Find:    func(id string) (Server, bool) { return Server{ID: id, Service: "orders"}, true },
				Control: func(Server) (Server, bool) { return Server{}, false },
			}
			go relay.Run(t.Context())
			require.Eventually(t, func() bool {
				accepted, _ := rwlink.TryConnect(t.Context(), nil, relay.Address, dialTimeout)
				return accepted
			}, waitTimeout, dialTimeout/10)
			conn, status, err := askRelay(t.Context(), relay.Address, "s0")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			defer conn.Close()
			_, err = io.WriteString(conn, "request")
			require.NoError(t, err)
			some := make([]byte, len("some"))
			_, err = io.ReadFull(conn, some)
			require.NoError(t, err)
			n, err := conn.Read(some)
			require.Zero(t, n)
			require.ErrorIs(t, err, c.want)
		})
	}
}
