package rwloopback

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAddressIsNotTaken guards against programs that can't listen because their port was
// taken before they started.
func TestAddressIsNotTaken(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		address := Address()
		require.False(t, seen[address])
		seen[address] = true
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}

func TestHostsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for _, pid := range []int{1, 2, 255, 256, 257, 65535, 65536, 65537, 1<<22 - 1} {
		h := host(pid)
		require.True(t, net.ParseIP(h).IsLoopback(), h)
		require.False(t, seen[h], h)
		seen[h] = true
	}
}

func TestUnanswered(t *testing.T) {
	address, release, err := Unanswered()
	require.NoError(t, err)
	_, err = net.DialTimeout("tcp", address, 300*time.Millisecond)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), err)
	release()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, l.Close())
}
