package rwaccount

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Door bounds the connections of an http.Server. Use Track as its ConnState. Over the limit it
// closes the oldest connection on which no request runs or, if there is none, the oldest of all.
// Hijacked connections are no longer counted. Set the exported fields before use.
type Door struct {
	Max   int    // connections; zero for no limit
	Count func() // called for each connection that is closed; nil for nothing

	mu    sync.Mutex
	conns map[net.Conn]*doorConn
}

type doorConn struct {
	since  time.Time // since the connection was opened
	active bool      // a request runs
}

// Track records a change of a connection's state.
func (d *Door) Track(conn net.Conn, state http.ConnState) {
	if d.Max <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		if d.conns == nil {
			d.conns = map[net.Conn]*doorConn{}
		}
		if len(d.conns) >= d.Max {
			d.closeOldestLocked()
		}
		d.conns[conn] = &doorConn{since: time.Now()}
	case http.StateActive, http.StateIdle:
		if c := d.conns[conn]; c != nil {
			c.active = state == http.StateActive
		}
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, conn)
	}
}

func (d *Door) closeOldestLocked() {
	var oldest net.Conn
	for conn, c := range d.conns {
		if oldest == nil || d.conns[oldest].after(c) {
			oldest = conn
		}
	}
	delete(d.conns, oldest)
	_ = oldest.Close()
	if d.Count != nil {
		d.Count()
	}
}

// after reports whether another connection is to be closed before this one.
func (c *doorConn) after(other *doorConn) bool {
	if c.active != other.active {
		return c.active
	}
	return c.since.After(other.since)
}

// Listener bounds the connections that a listener accepts. Over the limit it closes the one that
// has received nothing for longest. Set the exported fields before use.
type Listener struct {
	net.Listener
	Max   int    // connections; zero for no limit
	Count func() // called for each connection that is closed; nil for nothing

	mu    sync.Mutex
	conns map[*listenerConn]struct{}
}

// Accept accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil || l.Max <= 0 {
		return raw, err
	}
	conn := &listenerConn{Conn: raw, listener: l, received: time.Now()}
	silent := l.add(conn)
	if silent != nil {
		_ = silent.Conn.Close()
		if l.Count != nil {
			l.Count()
		}
	}
	return conn, nil
}

// add adds a connection. It returns the one that is to be closed for it, or nil.
func (l *Listener) add(conn *listenerConn) (silent *listenerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*listenerConn]struct{}{}
	}
	if len(l.conns) >= l.Max {
		silent = l.removeSilentLocked()
	}
	l.conns[conn] = struct{}{}
	return silent
}

// removeSilentLocked removes the connection that has received nothing for longest.
func (l *Listener) removeSilentLocked() *listenerConn {
	var silent *listenerConn
	for conn := range l.conns {
		if silent == nil || conn.received.Before(silent.received) {
			silent = conn
		}
	}
	delete(l.conns, silent)
	return silent
}

type listenerConn struct {
	net.Conn
	listener *Listener
	received time.Time // when a byte was last read; guarded by the listener's mu
}

// Read reads from the connection.
func (c *listenerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.mu.Lock()
		c.received = time.Now()
		c.listener.mu.Unlock()
	}
	return n, err
}

// Close closes the connection.
func (c *listenerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
