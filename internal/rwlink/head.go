package rwlink

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ragwortwall/pkg/rwset"
)

// PerConnection are the headers that concern one connection, of requests and of
// answers. What is sent on to the next one carries none of them.
var PerConnection = rwset.New("Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length")

// appendHead writes the head of a request. The body is framed by its length
// alone, whatever framing the caller used.
func appendHead(b []byte, r Request) []byte {
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
			b = append(b, clean(value)...)
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

// clean keeps a value from ending its line.
func clean(value string) string {
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
	// idleDefault is how long a connection is kept for another request when its
	// server names no time: less than servers' usual timeouts.
	idleDefault = 2 * time.Second
	// idleMargin is taken off the time that a server names: it may have begun to
	// count a little sooner.
	idleMargin = 500 * time.Millisecond
)

// idleTime is how long a server keeps an idle connection open.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return idleDefault
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return idleDefault
}

// strayBody bounds what is read of an answer that belongs to no request.
const strayBody = 64 << 10

func discard(response *http.Response) error {
	defer response.Body.Close()
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBody))
	return err
}
