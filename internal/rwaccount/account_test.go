package rwaccount_test

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"ragwortwall/internal/rwaccount"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMemoryKeepsShare guards against large amounts that leave no memory to usual ones.
func TestMemoryKeepsShare(t *testing.T) {
	m := rwaccount.NewMemory(200)
	require.True(t, m.Reserve(80, rwaccount.SizeLarge))
	require.False(t, m.Reserve(1, rwaccount.SizeLarge))
	require.True(t, m.Reserve(20, rwaccount.SizeUsual))
	require.False(t, m.Reserve(1, rwaccount.SizeUsual))
	m.Release(100)
	require.Zero(t, m.Held())
	var none *rwaccount.Memory
	require.True(t, none.Reserve(1<<40, rwaccount.SizeLarge))
	require.Nil(t, rwaccount.NewMemory(0))
}

// TestRefusedReservation guards against a reservation that is refused and has another one refused
// at the same moment.
func TestRefusedReservation(t *testing.T) {
	m := rwaccount.NewMemory(200)
	stop := make(chan struct{})
	var large sync.WaitGroup
	large.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				assert.False(t, m.Reserve(100, rwaccount.SizeLarge))
			}
		}
	})
	refused := 0
	for range 1_000_000 {
		if !m.Reserve(1, rwaccount.SizeUsual) {
			refused++
			continue
		}
		m.Release(1)
	}
	close(stop)
	large.Wait()
	require.Zero(t, refused)
	require.Zero(t, m.Held())
}

// TestShares guards against listeners that together have more descriptors than there are.
func TestShares(t *testing.T) {
	for _, descriptors := range []int{0, 300, 600, 2870, 4100, 8192} {
		s := rwaccount.NewShares(descriptors)
		require.Positive(t, s.Callers)
		if used := s.Callers + s.Peers + 2*s.Small + 3*s.Relayed; descriptors > 300 {
			require.Less(t, used, descriptors-200, "something is left for servers")
		}
	}
	require.Positive(t, rwaccount.ProcessDescriptors())
}

type countedConn struct {
	net.Conn
	closed *int
}

func (c countedConn) Close() error {
	*c.closed++
	return nil
}

// TestDoorClosesOldestIdle guards against newcomers that find no room among silent connections.
func TestDoorClosesOldestIdle(t *testing.T) {
	var closed [4]int
	counted := 0
	door := rwaccount.Door{Max: 3, Count: func() { counted++ }}
	conns := make([]net.Conn, len(closed))
	for n := range conns {
		conns[n] = countedConn{closed: &closed[n]}
	}
	for _, c := range conns[:3] {
		door.Track(c, http.StateNew)
	}
	door.Track(conns[0], http.StateActive)
	door.Track(conns[3], http.StateNew)
	require.Equal(t, [4]int{0, 1, 0, 0}, closed)
	require.Equal(t, 1, counted)
	door.Track(conns[2], http.StateClosed)
	door.Track(conns[1], http.StateNew)
	require.Equal(t, [4]int{0, 1, 0, 0}, closed)
}

func TestListenerClosesSilent(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &rwaccount.Listener{Listener: raw, Max: 2}
	defer func() { _ = listener.Close() }()
	var clients, accepted []net.Conn
	buffer := make([]byte, 1)
	for n := range 3 {
		client, err := net.Dial("tcp", raw.Addr().String())
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		clients, accepted = append(clients, client), append(accepted, conn)
		if n == 1 { // the first one has sent something since the second was opened
			_, err = clients[0].Write([]byte("x"))
			require.NoError(t, err)
			_, err = accepted[0].Read(buffer)
			require.NoError(t, err)
		}
	}
	_, err = accepted[1].Read(buffer)
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = accepted[0].Write(buffer)
	require.NoError(t, err)
}
