package rwcommand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNoHTTPStatus guards against a command that reports success because of a status that says
// nothing: net/http passes on any three digits.
func TestNoHTTPStatus(t *testing.T) {
	for status, isSuccess := range map[string]bool{"000 None": false, "099 X": false, "600 X": false, "200 OK": true} {
		t.Run(status, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
			options := &operatorOptions{URL: "http://" + listener.Addr().String()}
			var result map[string]any
			err = options.callAPI(http.MethodPost, "/x", nil, &result)
			require.Equal(t, isSuccess, err == nil, "%v", err)
		})
	}
}
