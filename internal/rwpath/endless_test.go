package rwpath

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndlessAnswer guards against an address of an instance at which something else listens now
// and sends a head without end: the instance that asks kept it all.
func TestEndlessAnswer(t *testing.T) {
	const maxGrowth = 8 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		block := make([]byte, 64<<10)
		for n := range block {
			block[n] = 'x'
		}
		copy(block, "HTTP/1.1 200 OK\r\nA: ")
		for err == nil {
			_, err = conn.Write(block)
			copy(block, "xxxxxxxxxxxxxxxxxxxxxxx")
		}
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, _, err = askRelay(ctx, listener.Addr().String(), "s0")
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxGrowth))
}
