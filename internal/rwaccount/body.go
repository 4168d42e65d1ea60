package rwaccount

import (
	"io"
	"net/http"

	"ragwortwall/internal/rwerror"
)

// usualBodyBytes is the length up to which a body is usual.
const usualBodyBytes = 16 << 10

// errNoMemory is returned for a body that finds no memory.
var errNoMemory = rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After", "this instance holds too many bodies of requests in memory").
	WithRetryAfter(bodyRetryAfter).WithRan(rwerror.RanNo)

// Body reads the body of a request. Its memory is charged as it comes: a body that is longer than
// usual reserves its whole length, or twice what has come if that is unknown. Each byte counts
// copies times, for what decoding makes of it. Call release when the request has ended. The errors
// are of kind overloaded, if there is no memory, or too large, and the request has not run.
func (m *Memory) Body(w http.ResponseWriter, r *http.Request, maxBytes, copies int64) (body []byte, release func(), err error) {
	charged := &chargedBody{Reader: http.MaxBytesReader(w, r.Body, maxBytes), memory: m, length: r.ContentLength, copies: copies}
	body, err = io.ReadAll(charged)
	if err != nil {
		charged.release()
		if charged.full {
			return nil, func() {}, errNoMemory
		}
		return nil, func() {}, rwerror.New(rwerror.KindTooLarge, "send the whole body, of the size that is allowed", "cannot read the request body of at most %d bytes: %v", maxBytes, err)
	}
	return body, charged.release, nil
}

type chargedBody struct {
	io.Reader
	memory             *Memory
	length, copies     int64 // length is negative if unknown
	read, held, charge int64 // charge is what the account has; held is in bytes of the body
	full               bool
}

// Read reads and fails if there is no memory.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	if b.read <= b.held {
		return n, err
	}
	hold, size := b.read, SizeUsual
	if b.read > usualBodyBytes {
		hold, size = 2*b.read, SizeLarge
		if b.length >= b.read {
			hold = b.length
		}
	}
	more := b.copies * (hold - b.held)
	if !b.memory.Reserve(more, size) {
		b.full = true
		return 0, errNoMemory
	}
	b.held, b.charge = hold, b.charge+more
	return n, err
}

func (b *chargedBody) release() {
	b.memory.Release(b.charge)
	b.charge = 0
}
