package rwlink

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/pkg/rwset"

	"github.com/juju/errors"
)

// HopByHopHeaders is the set of hop-by-hop headers of requests and responses. They
// are not forwarded. Content-Length is one of them, as it is set anew.
var HopByHopHeaders = rwset.New("Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length")

// appendRequestHead appends the head of a request. The body is always framed by
// Content-Length, even if the caller used chunked encoding.
func appendRequestHead(b []byte, r Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, sanitiseHeaderValue(value)...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// sanitiseHeaderValue replaces CR, LF and NUL by spaces to prevent header
// injection.
func sanitiseHeaderValue(value string) string {
	if !strings.ContainsAny(value, "\r\n\x00") {
		return value
	}
	return strings.Map(func(r rune) rune {
		if r == '\r' || r == '\n' || r == 0 {
			return ' '
		}
		return r
	}, value)
}

const (
	// defaultIdleTimeout applies if the server sends no timeout in a Keep-Alive
	// header. It is shorter than the usual idle timeouts of servers.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that a server sends, as the
	// server may have started to count earlier.
	idleTimeoutMargin = 500 * time.Millisecond
)

// idleTimeout returns how long the connection may be idle, according to the headers
// of the last response.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTimeout
		}
		return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
	}
	return defaultIdleTimeout
}

// maxDiscardedBody limits how many bytes discardBody reads.
const maxDiscardedBody = 64 << 10

// discardBody reads and drops the body of a response. It fails if the body is too long.
func discardBody(response *http.Response) error {
	defer response.Body.Close()
	_, err := ReadAll(response.Body, maxDiscardedBody)
	return err
}

// ErrBodyTooLong is returned if a body is longer than the limit.
var ErrBodyTooLong = rwerror.New(rwerror.KindFailed, "check the backend server", "the body of the response is too long")

// ReadAll reads a whole body. It returns ErrBodyTooLong if it has more than limit bytes.
func ReadAll(r io.Reader, limit int) ([]byte, error) {
	// io.ReadAll would copy a long body several times as its buffer grows.
	var blocks [][]byte
	block := make([]byte, 0, minReadBlock)
	total := 0
	for {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		total += n
		switch {
		case total > limit:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return slices.Concat(append(blocks, block)...), nil
		case err != nil:
			return nil, err
		case len(block) == cap(block):
			blocks = append(blocks, block)
			block = make([]byte, 0, min(2*cap(block), maxReadBlock))
		}
	}
}

// Sizes of the blocks, in bytes, in which ReadAll reads.
const (
	minReadBlock = 4 << 10
	maxReadBlock = 64 << 10
)
