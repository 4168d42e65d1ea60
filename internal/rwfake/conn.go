package rwfake

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferBytes is the number of unread bytes at which the writer of a link blocks.
const bufferBytes = 64 << 10

// link carries the bytes of one direction of a connection.
type link struct {
	network  *Network
	from, to string

	mu      sync.Mutex
	data    []byte
	closed  bool // closed by the writer; the remaining data can still be read
	isReset bool // the connection was reset; the data can no longer be read
	changed chan struct{}
}

func newLink(n *Network, from, to string) *link {
	return &link{network: n, from: from, to: to, changed: make(chan struct{})}
}

func (l *link) signalLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.signalLocked()
	}
	l.mu.Unlock()
	l.network.removeLink(l)
}

func (l *link) reset() {
	l.mu.Lock()
	if !l.isReset {
		l.isReset = true
		l.signalLocked()
	}
	l.mu.Unlock()
	l.network.removeLink(l)
}

// ioResult is the result of a read or write that doesn't block. If done is false,
// it holds the channels to wait for before the next attempt.
type ioResult struct {
	n              int
	err            error
	done           bool
	changed        <-chan struct{} // closed when the link changes
	networkChanged <-chan struct{} // closed when the network changes; nil unless the link is blocked
}

// read reads the bytes that have arrived, without blocking.
func (l *link) read(b []byte) ioResult {
	blocked, networkChanged := l.network.blocked(l.from, l.to)
	hostDead := l.network.eitherDead(l.from, l.to)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.isReset || hostDead:
		return ioResult{err: syscall.ECONNRESET, done: true}
	case blocked:
		return ioResult{changed: l.changed, networkChanged: networkChanged}
	case len(l.data) > 0:
		n := copy(b, l.data)
		l.data = l.data[n:]
		l.signalLocked()
		return ioResult{n: n, done: true}
	case l.closed:
		return ioResult{err: io.EOF, done: true}
	}
	return ioResult{changed: l.changed}
}

// write writes as many bytes as fit into the buffer, without blocking.
func (l *link) write(b []byte) ioResult {
	hostDead := l.network.eitherDead(l.from, l.to)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isReset || l.closed || hostDead {
		return ioResult{err: syscall.EPIPE, done: true}
	}
	n := min(len(b), bufferBytes-len(l.data))
	if n == 0 {
		return ioResult{changed: l.changed}
	}
	l.data = append(l.data, b[:n]...)
	l.signalLocked()
	return ioResult{n: n, done: true}
}

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	in, out       *link
	local, remote address

	mu            sync.Mutex
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is a read or write deadline. The zero time means none.
type deadline struct {
	at      time.Time
	changed chan struct{}
}

// set changes the deadline. The caller must hold the mu of the deadline's conn.
func (d *deadline) set(at time.Time) {
	d.at = at
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
}

// watchDeadline returns a deadline and a channel that is closed when it changes.
func (c *conn) watchDeadline(d *deadline) (time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.at, d.changed
}

// waitForChange waits until the link, the network or the deadline changes. It
// returns os.ErrDeadlineExceeded once the deadline has passed.
func (c *conn) waitForChange(d *deadline, result ioResult) error {
	at, deadlineChanged := c.watchDeadline(d)
	if at.IsZero() {
		select {
		case <-result.changed:
		case <-result.networkChanged:
		case <-deadlineChanged:
		}
		return nil
	}
	remaining := time.Until(at)
	if remaining <= 0 {
		return os.ErrDeadlineExceeded
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-result.changed:
	case <-result.networkChanged:
	case <-deadlineChanged:
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Read waits until data has arrived and reads it.
func (c *conn) Read(b []byte) (int, error) {
	for {
		result := c.in.read(b)
		if result.done {
			return result.n, result.err
		}
		if err := c.waitForChange(&c.readDeadline, result); err != nil {
			return 0, err
		}
	}
}

// Write sends all of b. It blocks while the buffer of the link is full.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		result := c.out.write(b[sent:])
		sent += result.n
		if result.err != nil {
			return sent, result.err
		}
		if result.done {
			continue
		}
		if err := c.waitForChange(&c.writeDeadline, result); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Close closes both directions. The other end can still read what was sent.
func (c *conn) Close() error {
	c.out.close()
	c.in.reset()
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and the write deadline.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the time at which a blocked Read fails. The zero time
// means no deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline sets the time at which a blocked Write fails. The zero time
// means no deadline.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline.set(t)
	return nil
}
