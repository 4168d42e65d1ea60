package rwlink

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestHeadCut guards against the head of a response that is cut at any byte, by the end of the
// connection, and is taken for a whole one: its body would have no length and end there.
func TestHeadCut(t *testing.T) {
	const body = "whole"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nId: 1\n\n",
	} {
		for cut := range len(head) {
			synctest.Test(t, func(t *testing.T) {
				c, end := serve(t, 0, head[:cut])
				go func() {
					synctest.Wait()
					_ = end.Conn.Close()
				}()
				_, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitIndefinitely, nil)
				require.Error(t, err, "%q", head[:cut])
				c.Close()
			})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c, end := serve(t, 0, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n", body[:3])
		go func() {
			synctest.Wait()
			_ = end.Conn.Close()
		}()
		response, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitIndefinitely, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.Error(t, err, "a short body must not look whole")
		c.Close()
	})
}
