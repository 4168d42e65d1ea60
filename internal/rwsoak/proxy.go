package rwsoak

import (
	"io"
	"net"
	"sync"
	"time"

	"ragwortwall/platform/standin"

	"github.com/juju/errors"
)

// Mode is the network fault that a proxy injects.
type Mode int

// The modes of a proxy.
const (
	ModeNormal    Mode = iota // everything is forwarded
	ModeDelay                 // data is delayed by proxyDelay
	ModeReset                 // open connections are reset, new ones are closed
	ModeOneWay                // data from the target is dropped
	ModeSilent                // data in both directions is dropped
	ModeRefuse                // open connections are reset, new ones are refused
	ModeRefuseNew             // open connections live on, new ones are refused
)

// proxyDelay is the delay of each chunk of data: a hundred times the answer time of a
// healthy store.
const proxyDelay = 400 * time.Millisecond

// Proxy is a TCP proxy on loopback that can inject network faults.
type Proxy struct {
	Address string // listening address, as host:port

	listener net.Listener
	mu       sync.Mutex
	target   string
	mode     Mode
	conns    map[net.Conn]bool
}

// NewProxy starts a proxy to a target address.
func NewProxy(target string) (*Proxy, error) { return newProxyAt("127.0.0.1:0", target) }

// newProxyAt starts a proxy that listens at an address.
func newProxyAt(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept(listener)
	return p, nil
}

// SetMode sets the mode, for open connections too. ModeReset, ModeRefuse and ModeNormal reset all
// open connections: a response may end with its connection, so that closing them would
// make a part of it look whole.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	refuse := mode == ModeRefuse || mode == ModeRefuseNew
	if refuse != (p.listener == nil) {
		p.setListeningLocked(!refuse)
	}
	if mode == ModeReset || mode == ModeNormal || mode == ModeRefuse {
		for c := range p.conns {
			standin.ResetConn(c)
		}
		clear(p.conns)
	}
}

// Heal ends ModeSilent as the end of a network partition does: new connections are forwarded, and
// those on which data was dropped stay silent, as it would have to be sent again first.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = ModeNormal
}

// SetTarget sets the target address of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// setListeningLocked closes the listener, so that connections are refused, or opens it again.
func (p *Proxy) setListeningLocked(listening bool) {
	if !listening {
		_ = p.listener.Close()
		p.listener = nil
		return
	}
	listener, err := relisten(p.Address)
	if err != nil {
		panic(err) // the run would go on without a server
	}
	p.listener = listener
	go p.accept(listener)
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() { p.SetMode(ModeRefuse) }

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) dial() (net.Conn, error) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	return net.Dial("tcp", target)
}

// accept forwards the connections of clients until the listener is closed. In ModeReset,
// new connections are closed at once.
func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := p.dial()
		if err != nil || p.currentMode() == ModeReset {
			_ = client.Close()
			if upstream != nil {
				_ = upstream.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[upstream] = true, true
		p.mu.Unlock()
		go p.forward(client, upstream, false)
		go p.forward(upstream, client, true)
	}
}

// forward copies data in one direction until either connection fails. It passes a reset
// on, and resets the connection if data was dropped. fromTarget is true for data from the
// target.
func (p *Proxy) forward(from, to net.Conn, fromTarget bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if dropped || !errors.Is(err, io.EOF) {
				standin.ResetConn(to)
			}
			return
		}
		switch mode := p.currentMode(); {
		case dropped, mode == ModeSilent, mode == ModeOneWay && fromTarget:
			dropped = true
			continue
		case mode == ModeDelay:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
