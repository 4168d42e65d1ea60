// Package rwloopback hands out addresses on the loopback network for programs that
// tests and measurements start later. Unlike a free port that is looked up and closed
// again, such an address can't be taken by another process meanwhile: each process that
// hands out addresses has an IP address of its own, which the system never picks for
// outgoing connections.
package rwloopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	firstPort = 10_000
	portCount = 50_000
	// firstNetwork is the second byte of the first IP address, away from 127.0.0.1.
	firstNetwork = 64
)

var issued atomic.Int64

// Address returns an address of the form IP:port. It panics after 50,000 calls.
func Address() string {
	n := issued.Add(1) - 1
	if n >= portCount {
		panic("rwloopback: all ports of this process are in use; end the process and start a new one")
	}
	return fmt.Sprintf("%s:%d", host(os.Getpid()), firstPort+n)
}

// host returns the IP address of a process. Process ids are below 1<<22, so no two
// processes have the same one.
func host(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+(pid>>16)&0x3f, pid>>8&0xff, pid&0xff)
}
