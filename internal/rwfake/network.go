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
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]struct{}
	frozen    map[string]bool
	dead      map[string]bool
	cut       map[[2]string]bool
	changed   chan struct{}
}

// Host is one host's access to the network. Its listeners' addresses may have
// any IP number.
type Host struct {
	network *Network
	name    string
}

// Host returns the access of a host by name.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
		n.links = map[*link]struct{}{}
		n.frozen = map[string]bool{}
		n.dead = map[string]bool{}
		n.cut = map[[2]string]bool{}
		n.changed = make(chan struct{})
	}
	return &Host{network: n, name: name}
}

// Freeze holds back all that a host sends and is sent, or lets it go on.
func (n *Network) Freeze(host string, frozen bool) {
	n.change(func() { n.frozen[host] = frozen })
}

// Cut separates two hosts, or joins them again.
func (n *Network) Cut(a, b string, cut bool) {
	n.change(func() {
		n.cut[[2]string{a, b}] = cut
		n.cut[[2]string{b, a}] = cut
	})
}

// Heal thaws all hosts and joins all that were cut.
func (n *Network) Heal() {
	n.change(func() {
		clear(n.frozen)
		clear(n.cut)
	})
}

// Kill closes all connections and listeners of a host, as the death of its
// process does. What still runs of it reaches nothing.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	n.dead[host] = true
	var closing []func()
	for address, l := range n.listeners {
		if l.host == host {
			delete(n.listeners, address)
			closing = append(closing, l.stop)
		}
	}
	for k := range n.links {
		if k.from == host || k.to == host {
			closing = append(closing, k.reset)
		}
	}
	n.mu.Unlock()
	for _, f := range closing {
		f()
	}
}

// Revive lets a killed host's new process use the network.
func (n *Network) Revive(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[host] = false
}

func (n *Network) change(set func()) {
	n.mu.Lock()
	set()
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
}

// broken reports whether either host is dead: its links break all at once.
func (n *Network) broken(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead[from] || n.dead[to]
}

// blocked reports whether nothing passes from one host to another now, and
// returns a channel that is closed when that may have changed.
func (n *Network) blocked(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[from] || n.frozen[to] || n.cut[[2]string{from, to}], n.changed
}

// dialTimeout is how long a dial waits for a host that nothing reaches.
const dialTimeout = 700 * time.Millisecond

// Dial opens a connection to an address.
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

func (n *Network) connect(ctx context.Context, from string, l *listener) (net.Conn, error) {
	there := newLink(n, from, l.host)
	back := newLink(n, l.host, from)
	n.mu.Lock()
	n.links[there] = struct{}{}
	n.links[back] = struct{}{}
	n.mu.Unlock()
	client := &conn{in: back, out: there, local: address(from), remote: l.address}
	server := &conn{in: there, out: back, local: l.address, remote: address(from)}
	select {
	case l.accept <- server:
		return client, nil
	case <-l.done:
		return nil, errors.Annotatef(syscall.ECONNREFUSED, "dial %s", l.address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) forget(k *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, k)
}

// Listen accepts connections at an address.
func (h *Host) Listen(at string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[at]; taken {
		return nil, errors.Annotatef(syscall.EADDRINUSE, "listen %s", at)
	}
	l := &listener{network: n, host: h.name, address: address(at), accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[at] = l
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

// Close ends the listening.
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

// Addr is the listener's address.
func (l *listener) Addr() net.Addr { return l.address }

type address string

// Network names the kind of network.
func (address) Network() string { return "memory" }

// String is the address as text.
func (a address) String() string {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		return "10.255.255.255:1"
	}
	return string(a)
}
