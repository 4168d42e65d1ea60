package rwsoak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a link does.
type Mode int

// The modes of a link.
const (
	ModeSound  Mode = iota
	ModeDelay       // bytes are late
	ModeReset       // connections are reset
	ModeOneWay      // nothing comes back
	ModeSilent      // nothing goes either way
)

// linkDelay is how late bytes are: a hundred times a sound store's answer.
const linkDelay = 400 * time.Millisecond

// Proxy is a link on loopback that can be harmed.
type Proxy struct {
	Address string

	listener net.Listener
	mu       sync.Mutex
	target   string
	mode     Mode
	open     map[net.Conn]bool
}

// NewProxy starts a link to a target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, listener: listener, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Set sets what the link does from now on, for open connections too.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == ModeReset || mode == ModeSound {
		for c := range p.open {
			_ = c.Close()
		}
		clear(p.open)
	}
}

// Lead sets where the link leads from now on.
func (p *Proxy) Lead(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Close ends the link.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(ModeReset)
}

func (p *Proxy) now() Mode {
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

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := p.dial()
		if err != nil || p.now() == ModeReset {
			_ = near.Close()
			if far != nil {
				_ = far.Close()
			}
			continue
		}
		p.mu.Lock()
		p.open[near], p.open[far] = true, true
		p.mu.Unlock()
		go p.pump(near, far, false)
		go p.pump(far, near, true)
	}
}

// pump carries bytes in one direction.
func (p *Proxy) pump(from, to net.Conn, back bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.now(); {
		case mode == ModeSilent, mode == ModeOneWay && back:
			continue
		case mode == ModeDelay:
			time.Sleep(linkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
