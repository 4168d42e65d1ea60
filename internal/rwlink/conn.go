package rwlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwerror"

	"github.com/juju/errors"
)

// SilenceFunc decides how long to wait for a silent server. It gets the time since
// the server last sent something and returns the time until it is called again,
// or an error that ends the read.
type SilenceFunc func(silent time.Duration) (time.Duration, error)

// Conn is a connection to a backend server. Only Abort may be called concurrently
// with other methods.
type Conn struct {
	conn            net.Conn
	reader          *bufio.Reader
	address         string
	relayed         bool
	endsCleanly     bool // its end is that of the server's connection
	onSilence       SilenceFunc
	silentSince     time.Time     // when bytes were last received, the request was sent or Read was called
	idleSince       time.Time     // when it was last returned to the pool
	maxIdle         time.Duration // how long it may be idle; not reusable if 0 or less
	aborted         atomic.Bool   // Abort was called
	requestComplete bool          // a request was written completely and answered
	headLeft        int           // bytes that the head being read may still have
	headErr         error         // that ended the reading of the head; the parser of the head takes a line without its end for a whole one
	readingHead     bool
	graceReads      int // reads in a row that the SilenceFunc wanted to end
	pending         pendingExchange
}

// pendingExchange is an exchange whose request was sent.
type pendingExchange struct {
	request   *http.Request
	wrote     chan error // gets the result of writing the request
	owns      func(http.Header) bool
	responded bool // bytes were received
	written   bool // the result of writing the request was received
}

// ErrAborted is returned by reads after the connection was closed by Abort.
var ErrAborted = errors.New("connection aborted by this instance")

const (
	readBufferSize = 4 << 10 // bytes; fits an event or the head of a response
	// minReadTimeout prevents a busy loop if the caller's function returns 0.
	minReadTimeout = 5 * time.Millisecond
	// maxHeadBytes limits the head of a response. It is many times the size of usual
	// ones, and limits the memory that a faulty server may take.
	maxHeadBytes = 64 << 10
	// maxGraceReads is how many reads may still return data after the SilenceFunc has
	// ended the exchange: what had arrived while this process was not scheduled.
	maxGraceReads = 16
)

// ErrHeadTooLong is returned if the head of a response is longer than 64 KiB.
var ErrHeadTooLong = rwerror.New(rwerror.KindFailed, "check the backend server", "the head of the response is longer than 64 KiB")

// DialFunc connects to a server at an address of the form host:port.
type DialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the DialFunc that opens a TCP connection.
func DialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// orTCP returns the function, or DialTCP if it is nil.
func (f DialFunc) orTCP() DialFunc {
	if f == nil {
		return DialTCP
	}
	return f
}

// New wraps an open connection to a server. A connection through another instance has the methods
// Relayed and EndsCleanly: Relayed reports that, EndsCleanly that the connection ends with an
// error unless the server has ended its own.
func New(c net.Conn, address string) *Conn {
	conn := &Conn{conn: c, address: address, silentSince: time.Now()}
	if r, ok := c.(interface {
		Relayed() bool
		EndsCleanly() bool
	}); ok {
		conn.relayed, conn.endsCleanly = r.Relayed(), r.EndsCleanly()
	}
	conn.reader = newReader(conn)
	return conn
}

func newReader(c *Conn) *bufio.Reader { return bufio.NewReaderSize(c, readBufferSize) }

// TryConnect tries to connect to an address. accepted reports whether the connection
// was established, answered whether the attempt ended before the timeout, with a
// connection or an error such as a refusal. A nil dial opens a TCP connection.
func TryConnect(ctx context.Context, dial DialFunc, address string, timeout time.Duration) (accepted, answered bool) {
	c, err := dial.orTCP()(ctx, address, timeout)
	if err == nil {
		_ = c.Close()
		return true, true
	}
	var netErr net.Error
	return false, !errors.As(err, &netErr) || !netErr.Timeout()
}

// Read reads from the server and calls the SilenceFunc while no data arrives. Time
// in which Read was not called doesn't count as silence.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.read(p)
	}
	if c.headErr != nil {
		return 0, c.headErr
	}
	if c.headLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := c.read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	c.headErr = err
	return n, err
}

func (c *Conn) read(p []byte) (int, error) {
	if c.onSilence == nil {
		return c.conn.Read(p)
	}
	if began := time.Now(); began.After(c.silentSince) {
		c.silentSince = began
	}
	for {
		wait, stopErr := c.onSilence(time.Since(c.silentSince))
		if stopErr == nil {
			c.graceReads = 0
		} else {
			// Read on before giving up: data may have arrived while this process was
			// not scheduled.
			wait = minReadTimeout
			if c.graceReads++; c.graceReads > maxGraceReads {
				return 0, stopErr
			}
		}
		n, err := c.readWithTimeout(p, wait)
		if n > 0 {
			c.pending.responded = true
			c.silentSince = time.Now()
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if stopErr != nil {
			return 0, stopErr
		}
	}
}

// readWithTimeout reads once. It returns os.ErrDeadlineExceeded on a timeout and
// ErrAborted if the connection was aborted.
func (c *Conn) readWithTimeout(p []byte, wait time.Duration) (int, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(max(minReadTimeout, wait))); err != nil {
		return 0, err
	}
	if c.aborted.Load() {
		return 0, ErrAborted
	}
	n, err := c.conn.Read(p)
	if n == 0 && c.aborted.Load() {
		return 0, ErrAborted
	}
	return n, err
}

// Relayed reports whether the connection leads through another instance, so that its loss
// may be that of the instance.
func (c *Conn) Relayed() bool { return c.relayed }

// Abort closes the connection from another goroutine. A pending read returns
// ErrAborted.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	_ = c.conn.Close()
}

// Close closes the connection from the goroutine that reads it.
func (c *Conn) Close() { _ = c.conn.Close() }

// Request is a request to a server.
type Request struct {
	Method string
	Target string // path and query, as received from the caller
	Host   string
	Header http.Header
	Body   []byte
}

// Outcome tells whether the server may have received a failed request.
type Outcome int

// The outcomes of an exchange without a response.
const (
	OutcomeUnsent  Outcome = iota // the server received nothing
	OutcomeUnknown                // the server may have run the request
)

// Exchange sends a request and reads the head of its response. If owns is not nil,
// responses whose headers it rejects are late ones to other requests and are
// dropped. onSilence applies to the head and the body. The outcome is meaningful
// only if the error is not nil, and is always OutcomeUnknown.
func (c *Conn) Exchange(r Request, onSilence SilenceFunc, owns func(http.Header) bool) (*http.Response, Outcome, error) {
	c.onSilence = onSilence
	c.silentSince = time.Now()
	wrote := make(chan error, 1)
	c.pending = pendingExchange{request: &http.Request{Method: r.Method}, wrote: wrote, owns: owns}
	head := appendRequestHead(nil, r)
	if len(r.Body) <= maxInlineBody {
		head = append(head, r.Body...)
		if _, err := c.conn.Write(head); err != nil {
			return nil, OutcomeUnknown, err
		}
		wrote <- nil
	} else {
		go func() {
			_, err := c.conn.Write(head)
			if err == nil {
				_, err = c.conn.Write(r.Body)
			}
			wrote <- err
		}()
	}
	c.silentSince = time.Now()
	return c.readHead()
}

// IsWaiting reports whether the request was sent and the server hasn't begun to respond, so that
// Resume may follow an exchange that the SilenceFunc ended.
func (c *Conn) IsWaiting() bool {
	return c.pending.request != nil && !c.pending.responded && !c.aborted.Load()
}

// HasResponse reports whether the server has begun to respond to a request that IsWaiting is true
// for. It waits for a few milliseconds.
func (c *Conn) HasResponse() bool {
	onSilence := c.onSilence
	c.onSilence = nil
	defer func() { c.onSilence = onSilence }()
	if err := c.conn.SetReadDeadline(time.Now().Add(minReadTimeout)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return err == nil
}

// Resume goes on with an exchange that the SilenceFunc ended, see IsWaiting. Its results are
// those of Exchange.
func (c *Conn) Resume(onSilence SilenceFunc) (*http.Response, Outcome, error) {
	c.onSilence, c.graceReads, c.silentSince = onSilence, 0, time.Now()
	return c.readHead()
}

// readHead reads the head of the response to the pending request.
func (c *Conn) readHead() (*http.Response, Outcome, error) {
	owns := c.pending.owns
	for range maxResponses {
		c.readingHead, c.headLeft, c.headErr = true, maxHeadBytes, nil
		response, err := http.ReadResponse(c.reader, c.pending.request)
		c.readingHead = false
		if err != nil {
			return nil, OutcomeUnknown, err
		}
		if !isHTTP(response) {
			return nil, OutcomeUnknown, ErrNoHTTP
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		response.Body = &body{ReadCloser: response.Body, conn: c, endsWithConnection: endsWithConnection(response)}
		if owns != nil && !owns(response.Header) {
			if err := discardBody(response); err != nil {
				return nil, OutcomeUnknown, err
			}
			continue
		}
		select {
		case err = <-c.pending.wrote:
			c.recordWritten(err)
		default:
			// The response arrived before the request was written completely. The
			// rest of the body is still sent, but the connection is not reused.
			c.maxIdle = -1
		}
		c.setMaxIdle(response)
		return response, OutcomeUnknown, nil
	}
	return nil, OutcomeUnknown, ErrNoOwnResponse
}

// isHTTP reports whether the first line of a response is one of HTTP/1.x and its status one that may
// be passed on or precede a final response. http.ReadResponse takes any three digits.
func isHTTP(response *http.Response) bool {
	const minStatus, maxStatus = 100, 599
	return response.ProtoMajor == 1 && response.StatusCode >= minStatus && response.StatusCode <= maxStatus && response.StatusCode != http.StatusSwitchingProtocols
}

// recordWritten records the result of writing the request.
func (c *Conn) recordWritten(err error) {
	c.requestComplete = err == nil
	c.pending.written = true
}

// awaitWritten reports whether the request was written without an error. It waits for the result
// as long as the SilenceFunc allows.
func (c *Conn) awaitWritten() bool {
	for !c.pending.written {
		wait, err := c.onSilence(time.Since(c.silentSince))
		if err != nil {
			return false
		}
		select {
		case err := <-c.pending.wrote:
			c.recordWritten(err)
		case <-time.After(max(minReadTimeout, wait)):
		}
	}
	return c.requestComplete
}

// endsWhole reports whether the end of the connection ends a response that nothing else ends. A
// relay that doesn't end cleanly may have been killed. A reset is told only once: if the request was
// still being written, the write got it, and the read an end that looks clean.
func (c *Conn) endsWhole() bool {
	return (!c.relayed || c.endsCleanly) && c.awaitWritten()
}

// body is the body of a response. If it is closed before its end, it closes the
// connection: otherwise Close would read the rest, which may never end.
type body struct {
	io.ReadCloser
	conn               *Conn
	ended              bool
	endsWithConnection bool // nothing else ends it
}

// endsWithConnection reports whether nothing else ends a response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.endsWithConnection && errors.Is(err, io.EOF) && !b.conn.endsWhole() {
		return n, io.ErrUnexpectedEOF
	}
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close closes the body, and the connection if the body has not been read to its end.
func (b *body) Close() error {
	if !b.ended {
		b.conn.maxIdle = -1
		b.conn.Close()
	}
	return b.ReadCloser.Close()
}

// ErrNoOwnResponse is returned if the server keeps sending responses to other requests.
var ErrNoOwnResponse = rwerror.New(rwerror.KindFailed, "contact the operators", "the server sent only responses to other requests")

// ErrNoHTTP is returned if the first line of a response is not one of HTTP/1.x, or its status is none
// of HTTP.
var ErrNoHTTP = rwerror.New(rwerror.KindFailed, "check the backend server", "the response has no version or status of HTTP")

const (
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read. The write doesn't block, as servers' receive windows are
	// larger.
	maxInlineBody = 8 << 10
	// maxResponses limits the responses read for one request, including interim
	// (1xx) responses and late ones to other requests.
	maxResponses = 8
)

// setMaxIdle sets how long the connection may be idle after a response.
func (c *Conn) setMaxIdle(response *http.Response) {
	if response.Close || c.maxIdle < 0 {
		c.maxIdle = -1
		return
	}
	c.maxIdle = idleTimeout(response.Header)
}

// Reusable reports whether the connection may carry another request. It must be
// called after the response body was read completely. Buffered bytes after the
// response belong to no request and prevent reuse.
func (c *Conn) Reusable() bool {
	return c.requestComplete && c.maxIdle > 0 && c.reader.Buffered() == 0
}
