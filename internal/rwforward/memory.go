package rwforward

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"

	"github.com/juju/errors"
)

const (
	// maxResponseBytes limits a response that is held in memory. It is several times the
	// largest response of a plain service.
	maxResponseBytes = 8 << 20
	// maxBufferedBytes limits the responses that an instance holds in memory together, and the
	// long bodies of requests. It is a small part of the memory of the smallest machines.
	maxBufferedBytes = 16 << 20
	// smallBodyBytes is the length up to which a body is read although others have used up
	// maxBufferedBytes, so that senders of long bodies don't keep the usual requests away. It
	// doesn't count there, so that usual requests don't keep long bodies away either.
	smallBodyBytes = 16 << 10
	// dropTimeout is how long the rest of a refused body is read.
	dropTimeout = 500 * time.Millisecond
	// readerTimeout is how long after its deadline a caller may still read the response.
	readerTimeout = 30 * time.Second
)

var (
	errBuffersFull   = rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After", "this instance holds too many responses in memory")
	errTooManyBodies = rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After", "this instance holds too many bodies of requests in memory").WithRetryAfter(longRetryAfter)
)

// readWhole reads the whole body of a response into memory. The memory is released when
// the request ends.
func (c *call) readWhole(r io.Reader) ([]byte, error) {
	return rwlink.ReadAll(bufferedReader{r, c}, maxResponseBytes)
}

// bufferedReader charges what it reads to the memory for responses.
type bufferedReader struct {
	io.Reader
	call *call
}

// Read reads and fails if too much memory is in use.
func (b bufferedReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	f, length := b.call.f, int64(n)
	if !f.Memory.Reserve(length, sizeOf(b.call.bufferedBytes+length)) {
		f.Counters.increment("answers_refused")
		return n, errBuffersFull
	}
	b.call.bufferedBytes += length
	if f.bufferedBytes.Add(length) > maxBufferedBytes {
		f.Counters.increment("answers_refused")
		return n, errBuffersFull
	}
	return n, err
}

// bodyReader charges the body of a request to the memory for these. Once it has read more than
// smallBodyBytes it reserves the whole length, or twice what has come if that is unknown, so that
// bodies which are read at the same time don't all fail half-way.
type bodyReader struct {
	call *call
	read int64
}

// Read reads and fails if the memory can't be reserved.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.call.r.Body.Read(p)
	b.read += int64(n)
	if b.read <= smallBodyBytes {
		if !b.call.f.Memory.Reserve(int64(n), rwaccount.SizeUsual) {
			return n, errTooManyBodies
		}
		b.call.bodyBytes += int64(n)
		return n, err
	}
	if b.read <= b.call.longBodyBytes {
		return n, err
	}
	length := max(b.read, b.call.r.ContentLength)
	if b.call.r.ContentLength < 0 {
		length = 2 * b.read
	}
	if !b.call.reserveBody(length) {
		return n, errTooManyBodies
	}
	return n, err
}

// reserveBody raises the memory that a long body is charged for to a length. It reports false, and
// changes nothing, if the long bodies would hold more than maxBufferedBytes together.
func (c *call) reserveBody(length int64) bool {
	more := length - c.longBodyBytes
	for {
		held := c.f.longBodyBytes.Load()
		if held+more > maxBufferedBytes {
			return false
		}
		if c.f.longBodyBytes.CompareAndSwap(held, held+more) {
			break
		}
	}
	if !c.f.Memory.Reserve(length-c.bodyBytes, rwaccount.SizeLarge) {
		c.f.longBodyBytes.Add(-more)
		return false
	}
	c.bodyBytes, c.longBodyBytes = length, length
	return true
}

// releaseBody gives back the memory that the body is charged for.
func (c *call) releaseBody() {
	c.f.longBodyBytes.Add(-c.longBodyBytes)
	c.f.Memory.Release(c.bodyBytes)
	c.bodyBytes, c.longBodyBytes = 0, 0
}

// sizeOf returns the size of a reservation for a body or an answer with a length in bytes.
func sizeOf(length int64) rwaccount.Size {
	if length > smallBodyBytes {
		return rwaccount.SizeLarge
	}
	return rwaccount.SizeUsual
}

// limitReader limits how long the caller takes to read the response: one that stops would keep
// its connection and what is held for it.
func (c *call) limitReader() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(readerTimeout)) // fails only on a closed connection
}

// readBody reads the whole body into memory, so that it can be sent again and with a
// Content-Length. Memory is allocated for what has arrived, whatever length is claimed.
func (c *call) readBody() error {
	limit := c.state.Table.Limits.Body
	if limit <= 0 {
		limit = math.MaxInt
	}
	if c.r.ContentLength > int64(limit) {
		return bodyTooLargeError(limit)
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	connection := http.NewResponseController(c.w)
	if err := connection.SetReadDeadline(c.deadline); err != nil {
		return errors.Trace(err)
	}
	if c.f.Ending != nil {
		defer context.AfterFunc(c.f.Ending, func() { _ = connection.SetReadDeadline(time.Now()) })()
	}
	var err error
	c.body, err = rwlink.ReadAll(&bodyReader{call: c}, limit)
	switch {
	case errors.Is(err, rwlink.ErrBodyTooLong):
		return bodyTooLargeError(limit)
	case errors.Is(err, errTooManyBodies):
		c.body = nil
		return c.refuseBody(connection)
	case err != nil && c.f.Ending != nil && c.f.Ending.Err() != nil:
		return stoppingError(0)
	case err != nil:
		return rwerror.New(rwerror.KindTimeout, "send the whole body", "the request body was not received in full: %v", err).WithRan(rwerror.RanNo)
	}
	return errors.Trace(connection.SetReadDeadline(time.Time{}))
}

// refuseBody drops the rest of the body, for a short time, and returns the error for the caller:
// one that is still sending when the connection is closed may not get the response.
func (c *call) refuseBody(connection *http.ResponseController) error {
	if err := connection.SetReadDeadline(time.Now().Add(dropTimeout)); err != nil {
		return errors.Trace(err)
	}
	c.f.Counters.increment("bodies_refused")
	c.releaseBody()
	_, _ = io.Copy(io.Discard, c.r.Body) // bounded by the deadline
	return errTooManyBodies
}

func bodyTooLargeError(limit int) error {
	return rwerror.New(rwerror.KindTooLarge, "send a smaller body", "the request body exceeds %d bytes", limit)
}
