package rwengine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfake"
	"ragwortwall/internal/rwnet"

	"github.com/stretchr/testify/require"
)

// TestNoHTTPStatus guards against an order that counts as accepted because of a status that says
// nothing: net/http passes on any three digits.
func TestNoHTTPStatus(t *testing.T) {
	for _, status := range []string{"000 None", "099 X", "304 Not Modified", "600 X"} {
		t.Run(status, func(t *testing.T) {
			network := &rwfake.Network{}
			listener, err := network.Host("engine").Listen("10.0.2.1:80")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				answerWithStatus(conn, status)
			}()
			host := network.Host("client")
			c := &Client{HTTP: rwnet.HTTPClient(host), Streams: rwnet.UnpooledHTTPClient(host)}
			err = c.Order(t.Context(), "10.0.2.1:80", Order{})
			require.True(t, rwerror.Is(err, rwerror.KindFailed), "%v", err)
		})
	}
}

// answerWithStatus answers one request with a status line that holds status.
func answerWithStatus(conn net.Conn, status string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
}
