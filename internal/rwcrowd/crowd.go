// Package rwcrowd plays crowds of clients outside the limits, for tests and the soak: each opens a
// connection, sends something, reads nothing and stays.
package rwcrowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// dialTimeout limits the opening of a connection, which may be refused.
const dialTimeout = time.Second

// Sender sends what the client with a number sends. It may return early if it can't.
type Sender func(c net.Conn, n int)

// Nothing sends nothing.
func Nothing(net.Conn, int) {}

// Text returns a sender of a text in which %d is the number of the client.
func Text(parts ...string) Sender {
	text := strings.Join(parts, "")
	return func(c net.Conn, n int) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "%d", fmt.Sprint(n)))
	}
}

// Endless returns a sender of a text and then another one without end.
func Endless(first, endless string) Sender {
	const blockBytes = 8 << 10
	block := strings.Repeat(endless, 1+blockBytes/len(endless))
	return func(c net.Conn, n int) {
		Text(first)(c, n)
		for {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}
}

// Slowly returns a sender of one byte of a text at a time.
func Slowly(text string) Sender {
	const pause = 50 * time.Millisecond
	return func(c net.Conn, n int) {
		for _, b := range []byte(strings.ReplaceAll(text, "%d", fmt.Sprint(n))) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// ShortFields returns fields of a head, of different names and with a total length in bytes.
func ShortFields(length int) string {
	var b strings.Builder
	for n := 0; b.Len() < length; n++ {
		fmt.Fprintf(&b, "x%x:\r\n", n)
	}
	return b.String()
}

// Join opens connections to an address, all at once, on each of which send sends. It returns when
// all have been opened or refused. They last until the returned function is called.
func Join(ctx context.Context, address string, conns int, send Sender) (leave func()) {
	ctx, cancel := context.WithCancel(ctx)
	var opened, work sync.WaitGroup
	opened.Add(conns)
	for n := range conns {
		work.Go(func() {
			conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
			opened.Done()
			if err != nil {
				return // refused
			}
			defer func() { _ = conn.Close() }()
			stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
			defer stop()
			send(conn, n)
			<-ctx.Done()
		})
	}
	opened.Wait()
	return func() {
		cancel()
		work.Wait()
	}
}
