package rwlink

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestNoHTTPStatus guards against a response without a status of HTTP that is taken for one, or for
// an interim one that another response follows.
func TestNoHTTPStatus(t *testing.T) {
	const rest = "\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"HTTP/1.1 000 None", "HTTP/1.1 001 X", "HTTP/1.1 020 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 +20 X", "HTTP/1.1 2OO OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "HTTQ/1.1 200 OK"} {
		for what, texts := range map[string][]string{"alone": {status + rest}, "before another response": {status + "\r\n\r\n" + ownHead, "ok"}, "with a body like a response": {status + rest + ownHead + "ok"}} {
			synctest.Test(t, func(t *testing.T) {
				c, end := serve(t, 0, texts...)
				defer func() { _ = end.Conn.Close() }()
				_, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitSomeTime, nil)
				require.Error(t, err, "%s, %s", status, what)
				require.NotErrorIs(t, err, errSilent, "%s, %s: another response was waited for", status, what)
				c.Close()
			})
		}
	}
	for _, status := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints", "HTTP/1.1 199 X"} {
		synctest.Test(t, func(t *testing.T) {
			c, end := serve(t, 0, status+"\r\n\r\n", ownHead+"ok")
			defer func() { _ = end.Conn.Close() }()
			response, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitSomeTime, owns("a"))
			require.NoError(t, err, status)
			require.Equal(t, http.StatusOK, response.StatusCode)
			c.Close()
		})
	}
	t.Run("interim responses without end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, end := serve(t, 0, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2*maxResponses))
			defer func() { _ = end.Conn.Close() }()
			_, _, err := c.Exchange(Request{Method: "GET", Target: "/", Host: "h"}, waitSomeTime, nil)
			require.ErrorIs(t, err, ErrNoOwnResponse)
			c.Close()
		})
	})
}

const ownHead = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\n"
