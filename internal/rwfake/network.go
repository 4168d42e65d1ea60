package rwfake

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Network is an in-memory network of hosts. The zero value is ready for use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	links       map[*link]struct{}
	frozen      map[string]bool
	dead        map[string]bool
	partitioned map[[2]string]bool
	changed     chan struct{}
}

// Host is the access of one host to the network. It may listen on any IP
// address.
type Host struct {
	network *Network
	name    string
}

// Host returns the access of the named host.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
		n.links = map[*link]struct{}{}
		n.frozen = map[string]bool{}
		n.dead = map[string]bool{}
		n.partitioned = map[[2]string]bool{}
		n.changed = make(chan struct{})
	}
	return &Host{network: n, name: name}
}

// Freeze holds back all data from and to a host, or delivers it again if frozen
// is false. Connections stay open.
func (n *Network) Freeze(host string, frozen bool) {
	n.update(func() { n.frozen[host] = frozen })
}

// Partition holds back all data between two hosts, or delivers it again if
// partitioned is false. Connections stay open.
func (n *Network) Partition(a, b string, partitioned bool) {
	n.update(func() {
		n.partitioned[[2]string{a, b}] = partitioned
		n.partitioned[[2]string{b, a}] = partitioned
	})
}

// Heal unfreezes all hosts and ends all partitions. Killed hosts stay dead.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.frozen)
		clear(n.partitioned)
	})
}

// Kill resets all connections of a host and closes its listeners, as if its
// process had ended. Its goroutines that still run can't open connections.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	n.dead[host] = true
	var closers []func()
	for address, l := range n.listeners {
		if l.host == host {
			delete(n.listeners, address)
			closers = append(closers, l.stop)
		}
	}
	for link := range n.links {
		if link.from == host || link.to == host {
			closers = append(closers, link.reset)
		}
	}
	n.mu.Unlock()
	for _, closeOne := range closers {
		closeOne()
	}
}

// Revive lets a killed host use the network again, as a new process.
func (n *Network) Revive(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[host] = false
}

// update calls apply with n.mu held and wakes all operations that wait for a change.
func (n *Network) update(apply func()) {
	n.mu.Lock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
}

// eitherDead reports whether either host is dead. Kill resets its links one after
// another; this check makes them all fail at the same time.
func (n *Network) eitherDead(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead[from] || n.dead[to]
}

// blocked reports whether data from one host to another is held back, and returns
// a channel that is closed when that may have changed.
func (n *Network) blocked(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[from] || n.frozen[to] || n.partitioned[[2]string{from, to}], n.changed
}

// dialTimeout limits how long a dial waits until the connection is accepted.
const dialTimeout = 700 * time.Millisecond

// Dial opens a connection to an address. It fails with ECONNREFUSED if nothing
// listens there or if the dialling host was killed, and with the error of the
// context if the connection is not accepted within dialTimeout.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n := h.network
	for {
		n.mu.Lock()
		l, ok := n.listeners[address]
		dead := n.dead[h.name]
		n.mu.Unlock()
		if !ok || dead {
			return nil, errors.Annotatef(syscall.ECONNREFUSED, "dial %s", address)
		}
		blocked, changed := n.blocked(h.name, l.host)
		if !blocked {
			return n.connect(ctx, h.name, l)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect opens a connection to a listener and waits until Accept takes it.
func (n *Network) connect(ctx context.Context, from string, l *listener) (net.Conn, error) {
	toServer := newLink(n, from, l.host)
	toClient := newLink(n, l.host, from)
	n.mu.Lock()
	n.links[toServer] = struct{}{}
	n.links[toClient] = struct{}{}
	n.mu.Unlock()
	client := &conn{in: toClient, out: toServer, local: address(from), remote: l.address}
	server := &conn{in: toServer, out: toClient, local: l.address, remote: address(from)}
	select {
	case l.accept <- server:
		return client, nil
	case <-l.done:
		return nil, errors.Annotatef(syscall.ECONNREFUSED, "dial %s", l.address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// Listen listens on an address. It fails with EADDRINUSE if the address is taken.
func (h *Host) Listen(addr string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[addr]; taken {
		return nil, errors.Annotatef(syscall.EADDRINUSE, "listen %s", addr)
	}
	l := &listener{network: n, host: h.name, address: address(addr), accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

type listener struct {
	network *Network
	host    string
	address address
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening. Accepted connections stay open.
func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
	}
	l.network.mu.Unlock()
	l.stop()
	return nil
}

func (l *listener) stop() { l.once.Do(func() { close(l.done) }) }

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.address }

type address string

// Network returns the name of the network.
func (address) Network() string { return "memory" }

// String returns the address and port. A client has no port: its address, the
// name of its host, is replaced by a fixed address that callers can parse.
func (a address) String() string {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		return "10.255.255.255:1"
	}
	return string(a)
}
