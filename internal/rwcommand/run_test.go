package rwcommand

import (
	"net"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// breakConnection writes to a TCP connection that its peer has reset, until the kernel
// sends SIGPIPE to this process.
func breakConnection(t *testing.T) {
	t.Helper()
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGPIPE)
	defer signal.Stop(received)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, server.(*net.TCPConn).SetLinger(0))
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool {
		_, _ = client.Write([]byte("x"))
		return len(received) > 0
	}, 10*time.Second, time.Millisecond)
}

// TestBrokenConnectionEndsNothing guards against stand-in engines that ended whenever an
// instance was killed while they sent it tokens: a write to a broken connection raises
// SIGPIPE as one to a broken pipe does.
func TestBrokenConnectionEndsNothing(t *testing.T) {
	ctx, stop := signalContext()
	defer stop()
	breakConnection(t)
	select {
	case <-ctx.Done():
		require.Fail(t, "the program ended because a connection broke")
	case <-time.After(100 * time.Millisecond):
	}
}

func TestReaderGone(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer w.Close()
	require.False(t, readerGone(w))
	require.NoError(t, r.Close())
	require.True(t, readerGone(w))
}
