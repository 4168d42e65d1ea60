package rwconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ragwortwall/internal/rwconn"

	"github.com/stretchr/testify/require"
)

const (
	waitTimeout  = 5 * time.Second
	strayTimeout = 15 * time.Second       // more than the time that the head of a request may take
	readDelay    = 100 * time.Millisecond // for the server to go on after a read
)

// hookListener calls a function after each read that returned data, before the server
// gets them.
type hookListener struct {
	net.Listener
	onRead *atomic.Pointer[func()]
}

func (l hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return hookConn{c, l.onRead}, err
}

type hookConn struct {
	net.Conn
	onRead *atomic.Pointer[func()]
}

func (c hookConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

func (c hookConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if hook := c.onRead.Swap(nil); n > 0 && hook != nil {
		(*hook)()
	} else if hook != nil {
		c.onRead.Store(hook)
	}
	return n, err
}

// connServer is an http.Server with tracked connections that counts its requests.
type connServer struct {
	conns    rwconn.Conns
	listener net.Listener
	onRead   atomic.Pointer[func()] // called once, after the next read
	onActive atomic.Pointer[func()] // called once, before the next request counts as active
	idle     chan struct{}          // gets a value when a connection becomes idle
	requests atomic.Int32
	maxIdle  atomic.Int64
}

// newConnServer starts a server. configure sets fields of its Conns before; nil for none.
func newConnServer(t *testing.T, configure func(c *rwconn.Conns)) *connServer {
	t.Helper()
	s := &connServer{idle: make(chan struct{}, 8)}
	if configure != nil {
		configure(&s.conns)
	}
	s.maxIdle.Store(int64(time.Hour))
	s.conns.MaxIdle = func() time.Duration { return time.Duration(s.maxIdle.Load()) }
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: waitTimeout}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if hook := s.onActive.Load(); state == http.StateActive && hook != nil {
			s.onActive.Store(nil)
			(*hook)()
		}
		s.conns.Track(conn, state)
		if state == http.StateIdle {
			s.idle <- struct{}{}
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.requests.Add(1)
		_, _ = io.WriteString(w, "done")
	})
	go func() { _ = server.Serve(s.conns.Wrap(hookListener{s.listener, &s.onRead})) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *connServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

// exchange sends a request and reports whether its response came.
func exchange(t *testing.T, c net.Conn) bool {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "done"
}

// TestCloseLosesNoRequest guards against connections that are closed as idle although a
// request on them has been read: it runs, and its caller gets no answer.
func TestCloseLosesNoRequest(t *testing.T) {
	closers := map[string]func(s *connServer){
		"idle limit": func(s *connServer) {
			s.maxIdle.Store(1)
			s.conns.CloseIdle()
		},
		"shutdown": func(s *connServer) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_ = s.conns.Shutdown(ctx)
		},
	}
	for name, closeConns := range closers {
		for when, hook := range map[string]func(s *connServer) *atomic.Pointer[func()]{
			"as its bytes are read":      func(s *connServer) *atomic.Pointer[func()] { return &s.onRead },
			"before it counts as active": func(s *connServer) *atomic.Pointer[func()] { return &s.onActive },
		} {
			t.Run(name+" "+when, func(t *testing.T) {
				s := newConnServer(t, nil)
				c := s.dial(t)
				require.True(t, exchange(t, c))
				<-s.idle
				closeNow := func() { closeConns(s) }
				hook(s).Store(&closeNow)
				answered := exchange(t, c)
				require.Equal(t, answered, s.requests.Load() == 2, "a request that runs must be answered")
			})
		}
	}
}

// TestIdleLimitShrinks guards against connections closed by a limit that callers could not
// know when they kept them.
func TestIdleLimitShrinks(t *testing.T) {
	s := newConnServer(t, nil)
	c := s.dial(t)
	require.True(t, exchange(t, c))
	<-s.idle
	s.maxIdle.Store(1)
	require.Zero(t, s.conns.CloseIdle())
	require.True(t, exchange(t, c))
	<-s.idle
	require.Equal(t, 1, s.conns.CloseIdle())
	require.False(t, exchange(t, c))
}

func TestConnsShutdown(t *testing.T) {
	s := newConnServer(t, nil)
	used, unused := s.dial(t), s.dial(t)
	require.True(t, exchange(t, used))
	<-s.idle
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	go func() { done <- s.conns.Shutdown(ctx) }()
	require.True(t, exchange(t, unused), "a connection may have been opened for a request that is on its way")
	_, err := io.ReadAll(used)
	require.NoError(t, err, "an idle connection ends without a reset")
	require.NoError(t, <-done)
}

// TestStrayBytes guards against connections that are never closed because a few bytes came
// that are no request.
func TestStrayBytes(t *testing.T) {
	t.Parallel()
	s := newConnServer(t, nil)
	c := s.dial(t)
	require.True(t, exchange(t, c))
	<-s.idle
	arrived := make(chan struct{})
	onRead := func() { close(arrived) }
	s.onRead.Store(&onRead)
	_, err := io.WriteString(c, "\r\n")
	require.NoError(t, err)
	<-arrived
	time.Sleep(readDelay)
	ctx, cancel := context.WithTimeout(context.Background(), strayTimeout)
	defer cancel()
	require.NoError(t, s.conns.Shutdown(ctx))
}
