package rwconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwtime"

	"github.com/juju/errors"
)

// Conns tracks the connections of an http.Server and closes those that are idle. A server
// counts a connection as idle until it has read the whole head of the next request, so
// that closing by the server's state may lose the response to a request that then runs.
// Conns closes a connection only if no byte of a request has been read, and from then on
// none is. Set MaxIdle, use Track as the server's ConnState and serve the listener that
// Wrap returns. Requests must not be pipelined, and TLS must be below the wrapped listener.
//
// With Max or Memory set, connections that wait for their clients make room for new ones.
type Conns struct {
	MaxIdle func() time.Duration // how long a connection may be idle; zero or less for no limit
	Max     int                  // connections; zero for no limit
	Memory  *rwaccount.Memory    // what connections and heads are charged to; nil for no limit
	Count   func(name string)    // counts what was closed or refused; nil for nothing

	BodyTimeout   time.Duration // within which Handler reads a whole body; zero if the handler sets a limit
	ReaderTimeout time.Duration // within which the client reads, unless the handler sets another limit; zero for none

	mu      sync.Mutex
	conns   map[*serverConn]struct{}
	closing bool // connections are closed when they become idle
}

const (
	// closeDelay is the time between the end of what is sent and the close of a
	// connection. A request that crosses it would otherwise make the close a reset, which
	// may overtake the last response.
	closeDelay = 500 * time.Millisecond
	// unusedLifetime is how long a connection without a request is left open during a
	// shutdown, as its first request may be on its way.
	unusedLifetime = time.Second
	// minHeadBytes is the length from which the server's ReadHeaderTimeout applies to the
	// head of a request. A connection with fewer bytes of it is closed after strayLifetime.
	minHeadBytes  = 4
	strayLifetime = 10 * time.Second
	// shutdownPollInterval is the time between two checks during a shutdown.
	shutdownPollInterval = 20 * time.Millisecond
)

// Wrap returns a listener that tracks the connections it accepts.
func (c *Conns) Wrap(listener net.Listener) net.Listener {
	return trackedListener{Listener: listener, conns: c}
}

type trackedListener struct {
	net.Listener
	conns *Conns
}

// Accept accepts a connection and tracks it.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &serverConn{Conn: raw, conns: l.conns, idle: true, idleSince: time.Now()}
		if l.conns.admit(conn) {
			l.conns.add(conn)
			return conn, nil
		}
		_ = raw.Close()
	}
}

func (c *Conns) add(conn *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*serverConn]struct{}{}
	}
	c.conns[conn] = struct{}{}
}

func (c *Conns) forget(conn *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// Track records a change of a connection's state.
func (c *Conns) Track(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*serverConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.beginRequest()
	case http.StateIdle:
		limit := c.MaxIdle()
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		tracked.endRequest(limit)
		if closing {
			tracked.closeIfIdle(func() bool { return true })
		}
	case http.StateHijacked:
		c.forget(tracked)
	case http.StateNew, http.StateClosed:
	}
}

// CloseIdle closes the connections that have been idle for longer than MaxIdle, and than
// the limit that applied when they became idle: callers may still rely on that one. It
// returns how many.
func (c *Conns) CloseIdle() int {
	limit := c.MaxIdle()
	if limit <= 0 {
		return 0
	}
	closed := 0
	for _, conn := range c.all() {
		if conn.closeIfIdle(func() bool { return conn.used && time.Since(conn.idleSince) > max(limit, conn.maxIdle) }) {
			closed++
		}
	}
	return closed
}

// Shutdown closes each connection once it is idle and waits until all are closed or ctx
// ends. The server's listener must be closed before.
func (c *Conns) Shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	for {
		open := c.all()
		if len(open) == 0 {
			return nil
		}
		for _, conn := range open {
			conn.closeIfIdle(func() bool { return conn.used || time.Since(conn.idleSince) > unusedLifetime })
		}
		if !rwtime.Sleep(ctx, shutdownPollInterval) {
			return ctx.Err()
		}
	}
}

func (c *Conns) all() []*serverConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*serverConn, 0, len(c.conns))
	for conn := range c.conns {
		all = append(all, conn)
	}
	return all
}

// serverConn is a connection of a server.
type serverConn struct {
	net.Conn
	conns *Conns

	mu            sync.Mutex
	head          headCost
	charged       int64     // to the account of memory, in bytes
	ended         bool      // it is closed, and nothing is charged any more
	refused       bool      // the request whose head was being read has been refused
	readingBody   bool      // the server waits for a part of a body
	writing       time.Time // since when the server waits for the client to read; zero if it doesn't
	handlingSince time.Time // when the request that is being handled began

	idle      bool          // no byte of a request has been read since the last response
	used      bool          // it has carried a request
	handling  bool          // a request is being handled
	earlyByte bool          // a byte of the next request was read meanwhile
	closed    bool          // by closeIfIdle
	headBytes int           // read since the last response, if no request has begun since
	idleSince time.Time     // since when it is idle, or has had headBytes
	maxIdle   time.Duration // limit that applied then
}

// Read reads from the connection. Once closeIfIdle has closed it, it returns no more bytes,
// even if some arrived before.
func (c *serverConn) Read(p []byte) (int, error) {
	c.setReadingBody(len(p) > 1)
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	refused, err := c.recordRead(p[:n], len(p), err)
	if refused {
		c.refuse()
	}
	if err != nil && (refused || errors.Is(err, net.ErrClosed)) {
		return 0, err
	}
	return n, err
}

// setReadingBody notes that the server waits for a part of a body, if a request is being handled.
// The server watches for the end of the connection by reading single bytes.
func (c *serverConn) setReadingBody(more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = c.handling && more
}

// recordRead records what was read into a buffer of a size. It reports whether the request is to
// be refused, and returns the error for the reader.
func (c *serverConn) recordRead(p []byte, size int, err error) (refused bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	if c.closed || c.refused {
		return false, errRefused
	}
	if c.idle {
		c.idle, c.idleSince, c.headBytes = false, time.Now(), 0
	}
	c.headBytes += len(p)
	if c.handling && size == 1 {
		c.earlyByte = true
	}
	if !c.handling || size > 1 {
		c.head.add(p)
	}
	if !c.handling && !c.chargeHeadLocked() {
		c.refused = true
		return true, errRefused
	}
	return false, err
}

// Write writes to the connection.
func (c *serverConn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *serverConn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = since
}

// Close closes the connection, after a refusal only once its client may have read that.
func (c *serverConn) Close() error {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		time.AfterFunc(closeDelay, func() { _ = c.end() })
		return nil
	}
	return c.end()
}

// CloseWrite closes the sending side.
func (c *serverConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

func (c *serverConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.used, c.handling, c.earlyByte = false, true, true, false
	c.handlingSince, c.head.whole = time.Now(), true
}

func (c *serverConn) endRequest(maxIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headBytes = 0
	if c.earlyByte {
		c.headBytes = 1
	}
	c.handling, c.idle, c.earlyByte = false, !c.earlyByte, false
	c.idleSince, c.maxIdle = time.Now(), maxIdle
	c.releaseHeadLocked()
}

// stray reports whether all that was read for a while is too short for a request.
func (c *serverConn) stray() bool {
	return !c.idle && !c.handling && c.headBytes < minHeadBytes && time.Since(c.idleSince) > strayLifetime
}

// closeIfIdle closes the connection if it is idle and due, and reports whether it did. due
// is called with the lock held.
func (c *serverConn) closeIfIdle(due func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.stray() && (!c.idle || !due()) {
		return false
	}
	c.closed = true
	_ = c.CloseWrite()
	time.AfterFunc(closeDelay, func() { _ = c.Close() })
	return true
}
