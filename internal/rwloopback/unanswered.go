package rwloopback

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxQueued is how many connections the queue of a socket without room takes at most.
	maxQueued = 8
	// unansweredAfter is how long the system must not answer until the queue counts as full.
	unansweredAfter = 100 * time.Millisecond
)

// Unanswered returns a TCP address at which nothing answers, as that of a machine that was
// removed: connections to it are neither accepted nor refused. It is free again after the
// call of release.
func Unanswered() (address string, release func(), err error) {
	address = Address()
	release, err = Silence(address)
	return address, release, err
}

// Silence makes a TCP address on which nobody listens one at which nothing answers, until
// the call of release.
func Silence(address string) (release func(), err error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	var queued []net.Conn
	release = func() {
		for _, conn := range queued {
			_ = conn.Close()
		}
		_ = unix.Close(socket)
	}
	if err := listenWithoutRoom(socket, parsed); err != nil {
		release()
		return nil, err
	}
	for range maxQueued {
		conn, err := net.DialTimeout("tcp", address, unansweredAfter)
		if err != nil {
			return release, nil
		}
		queued = append(queued, conn)
	}
	release()
	return nil, fmt.Errorf("%s still answers after %d connections", address, maxQueued)
}

func listenWithoutRoom(socket int, address netip.AddrPort) error {
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return err
	}
	return unix.Listen(socket, 0)
}
