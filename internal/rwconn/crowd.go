package rwconn

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"ragwortwall/internal/rwaccount"

	"github.com/juju/errors"
)

const (
	// unansweredWait is how long a client may take for the next step of a first request before
	// its connection goes first when there are too many.
	unansweredWait = time.Second
	// blockedWrite is how long a write takes that waits for its client to read.
	blockedWrite = 100 * time.Millisecond
	// crowdBatch is the part of the connections that is closed at once, so that a crowd isn't
	// searched for each newcomer.
	crowdBatch = 32
	// restTimeout is how long the rest of a body is awaited after the handler has returned.
	restTimeout = 2 * time.Second
)

// refusal is the response to a request whose head finds no memory. It has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errRefused ends the reading of a connection that has been refused. The server must not answer.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// waiting returns since when a connection waits for its client, and whether it does. answered is
// false if no request of it has been handled.
func (c *serverConn) waiting() (since time.Time, answered, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingLocked()
}

func (c *serverConn) waitingLocked() (since time.Time, answered, ok bool) {
	switch {
	case c.closed, !c.handling && c.head.whole: // the request is about to be handled
		return time.Time{}, false, false
	case !c.writing.IsZero() && time.Since(c.writing) > blockedWrite:
		return c.writing, true, true
	case c.handling && c.readingBody:
		return c.handlingSince, false, true
	case c.handling:
		return time.Time{}, false, false
	}
	return c.idleSince, c.used && c.idle, true
}

// makeRoom closes connections that wait for their clients: first those that have sent no whole
// request in unansweredWait, then the others, those that have waited longest first. It reports
// whether it closed any.
func (c *Conns) makeRoom() bool {
	type victim struct {
		conn  *serverConn
		late  bool
		since time.Time
	}
	var victims []victim
	for _, conn := range c.all() {
		if since, answered, ok := conn.waiting(); ok {
			victims = append(victims, victim{conn, !answered && time.Since(since) > unansweredWait, since})
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.late != b.late {
			if a.late {
				return -1
			}
			return 1
		}
		return a.since.Compare(b.since)
	})
	closed := 0
	for _, v := range victims[:min(len(victims), c.Max/crowdBatch+1)] {
		if v.conn.closeForOthers() {
			closed++
		}
	}
	c.count("callers_closed", closed)
	return closed > 0
}

// admit makes room for a connection. It reports false if there is none.
func (c *Conns) admit(conn *serverConn) bool {
	for range 2 {
		if c.hasRoom() && c.Memory.Reserve(connBytes, rwaccount.SizeUsual) {
			conn.charged = connBytes
			return true
		}
		if !c.makeRoom() {
			break
		}
	}
	c.count("callers_refused", 1)
	return false
}

func (c *Conns) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Max <= 0 || len(c.conns) < c.Max
}

func (c *Conns) count(name string, n int) {
	if n == 0 || c.Count == nil {
		return
	}
	for range n {
		c.Count(name)
	}
}

// closeForOthers closes a connection at once if it still waits for its client, and reports whether
// it did. No byte is read from it after that.
func (c *serverConn) closeForOthers() bool {
	c.mu.Lock()
	_, _, ok := c.waitingLocked()
	c.closed = c.closed || ok
	c.mu.Unlock()
	if ok {
		_ = c.end()
	}
	return ok
}

// end closes the connection and gives back what it holds.
func (c *serverConn) end() error {
	c.mu.Lock()
	charged := c.charged
	c.charged, c.ended = 0, true
	c.mu.Unlock()
	c.conns.Memory.Release(charged)
	c.conns.forget(c)
	return c.Conn.Close()
}

// chargeHeadLocked charges the connection for the head that has been read. It reports false if
// there is no memory.
func (c *serverConn) chargeHeadLocked() bool {
	if c.ended {
		return true
	}
	cost := c.head.total()
	more := connBytes + cost - c.charged
	if more <= 0 {
		return true
	}
	size := rwaccount.SizeUsual
	if cost > usualHeadBytes {
		size = rwaccount.SizeLarge
	}
	if !c.conns.Memory.Reserve(more, size) {
		return false
	}
	c.charged += more
	return true
}

// releaseHeadLocked gives back what was charged for the head before.
func (c *serverConn) releaseHeadLocked() {
	c.head.next()
	if excess := c.charged - connBytes - c.head.total(); excess > 0 && c.charged > 0 {
		c.charged -= excess
		c.conns.Memory.Release(excess)
	}
}

// refuse answers a request whose head has not been read in full, and closes the connection.
func (c *serverConn) refuse() {
	c.conns.count("heads_refused", 1)
	_ = c.SetWriteDeadline(time.Now().Add(closeDelay))
	_, _ = io.WriteString(c.Conn, refusal)
	_ = c.CloseWrite()
}

// Handler returns a handler that limits how long clients take to send the rest of a body after
// the response, and to read.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection := http.NewResponseController(w)
		if c.ReaderTimeout > 0 {
			_ = connection.SetWriteDeadline(time.Now().Add(c.ReaderTimeout)) // fails only on a closed connection
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &watchedBody{ReadCloser: r.Body}
		if c.BodyTimeout > 0 {
			_ = connection.SetReadDeadline(time.Now().Add(c.BodyTimeout))
			body.onEnd = func() { _ = connection.SetReadDeadline(time.Time{}) }
		}
		r.Body = body
		defer func() {
			if !body.ended && !body.timedOut {
				_ = connection.SetReadDeadline(time.Now().Add(restTimeout))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// watchedBody notes how the reading of a body ended.
type watchedBody struct {
	io.ReadCloser
	ended    bool
	timedOut bool   // the handler has limited it already
	onEnd    func() // called once when it has ended; nil for nothing
}

// Read reads from the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		if b.onEnd != nil {
			b.onEnd()
		}
	}
	b.timedOut = b.timedOut || errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}
