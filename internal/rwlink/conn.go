package rwlink

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwerror"

	"github.com/juju/errors"
)

// Patience is asked while a server is silent. It returns how long to wait until
// it is asked again, or an error to give the connection up.
type Patience func(silent time.Duration) (time.Duration, error)

// Conn is one connection to a backend server.
type Conn struct {
	net      net.Conn
	reader   *bufio.Reader
	address  string
	patience Patience
	heard    time.Time // when the last byte came, or the request left
	idleAt   time.Time // when it was last given back
	keep     time.Duration
	ended    atomic.Bool
	used     bool
}

// ErrEnded is the cause when the connection was closed by its own user.
var ErrEnded = errors.New("the connection was given up")

const (
	bufferSize = 4 << 10 // bytes; an event or the head of an answer fits
	// askLeast keeps a patience that returns nothing from spinning.
	askLeast = 5 * time.Millisecond
)

// Dial connects to a server.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return New(c, address), nil
}

// New takes a connection that was opened to a server.
func New(c net.Conn, address string) *Conn {
	conn := &Conn{net: c, address: address, heard: time.Now()}
	conn.reader = newReader(conn)
	return conn
}

func newReader(c *Conn) *bufio.Reader { return bufio.NewReaderSize(c, bufferSize) }

// Reached reports whether a host answers at an address: it accepts or refuses a
// connection. Silence within the timeout is no answer.
func Reached(ctx context.Context, address string, timeout time.Duration) (accepted, answered bool) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
		return true, true
	}
	var timedOut net.Error
	return false, !errors.As(err, &timedOut) || !timedOut.Timeout()
}

// Read reads from the server, asking the patience while nothing comes. Time in
// which nobody read is no silence of the server.
func (c *Conn) Read(p []byte) (int, error) {
	if c.patience == nil {
		return c.net.Read(p)
	}
	if began := time.Now(); began.After(c.heard) {
		c.heard = began
	}
	for {
		wait, verdict := c.patience(time.Since(c.heard))
		if verdict != nil {
			// What came while this process was not running is no silence either.
			wait = askLeast
		}
		n, err := c.readFor(p, wait)
		if n > 0 {
			c.heard = time.Now()
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if verdict != nil {
			return 0, verdict
		}
	}
}

func (c *Conn) readFor(p []byte, wait time.Duration) (int, error) {
	if err := c.net.SetReadDeadline(time.Now().Add(max(askLeast, wait))); err != nil {
		return 0, err
	}
	if c.ended.Load() {
		return 0, ErrEnded
	}
	n, err := c.net.Read(p)
	if n == 0 && c.ended.Load() {
		return 0, ErrEnded
	}
	return n, err
}

// End closes the connection from another goroutine; its reader gets ErrEnded.
func (c *Conn) End() {
	c.ended.Store(true)
	_ = c.net.Close()
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Request is what is sent to a server.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Outcome says what a failed exchange proves.
type Outcome int

// The outcomes of an exchange that brought no answer.
const (
	OutcomeUnsent  Outcome = iota // no byte can have arrived
	OutcomeUnknown                // the request may have run
)

// Exchange sends a request and reads the head of its answer. Answers to other
// requests that come late on the same connection are dropped; owns tells them
// apart. The patience holds for the head and the body.
func (c *Conn) Exchange(r Request, patience Patience, owns func(http.Header) bool) (*http.Response, Outcome, error) {
	c.patience = patience
	c.heard = time.Now()
	request := &http.Request{Method: r.Method}
	wrote := make(chan error, 1)
	head := appendHead(nil, r)
	if len(r.Body) <= inlineBody {
		head = append(head, r.Body...)
		if _, err := c.net.Write(head); err != nil {
			return nil, OutcomeUnknown, err
		}
		wrote <- nil
	} else {
		go func() {
			_, err := c.net.Write(head)
			if err == nil {
				_, err = c.net.Write(r.Body)
			}
			wrote <- err
		}()
	}
	c.heard = time.Now()
	for range strayMost {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, OutcomeUnknown, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if owns != nil && !owns(response.Header) {
			if err := discard(response); err != nil {
				return nil, OutcomeUnknown, err
			}
			continue
		}
		select {
		case err = <-wrote:
			c.used = err == nil
		default:
			// An answer before the whole request was taken: what is left of the
			// body goes on, and the connection takes no other request.
			c.keep = -1
		}
		c.keepAlive(response)
		return response, OutcomeUnknown, nil
	}
	return nil, OutcomeUnknown, errStray
}

var errStray = rwerror.New(rwerror.KindFailed, "ask the service's operators", "the server answered other requests only")

const (
	// inlineBody is written before the answer is read; servers take as much
	// before they answer, as their receive windows are larger.
	inlineBody = 8 << 10
	// strayMost is the most answers read until the own one: interim ones and
	// late extra ones.
	strayMost = 8
)

// keepAlive notes how long the connection may be idle.
func (c *Conn) keepAlive(response *http.Response) {
	if response.Close || c.keep < 0 {
		c.keep = -1
		return
	}
	c.keep = idleTime(response.Header)
}

// Reuse reports whether the connection, idle now, may carry another request: the
// answer was read to its end and nothing else came.
func (c *Conn) Reuse() bool {
	return c.used && c.keep > 0 && c.reader.Buffered() == 0
}
