package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutProxy is a proxy to one address that can be cut as a partition does: what is on its way on
// open connections is held and arrives when its sender would have sent it again, and new
// connections aren't accepted, as the queue of the listener is full.
type cutProxy struct {
	address, target string
	listener        net.Listener

	mu      sync.Mutex
	healed  chan struct{} // closed while there is no cut
	fillers []net.Conn
}

// firstRetransmission is when TCP sends a lost packet again; the time doubles from then on.
const firstRetransmission = 200 * time.Millisecond

func newCutProxy(address, target string) (*cutProxy, error) {
	listener, err := listenWithShortQueue(address)
	if err != nil {
		return nil, err
	}
	p := &cutProxy{address: address, target: target, listener: listener, healed: make(chan struct{})}
	close(p.healed)
	go p.accept()
	return p, nil
}

// listenWithShortQueue is net.Listen with a queue of one connection.
func listenWithShortQueue(address string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), address)
	defer file.Close()
	to := &syscall.SockaddrInet4{Port: a.Port}
	copy(to.Addr[:], a.IP.To4())
	if err := errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), syscall.Bind(fd, to), syscall.Listen(fd, 1)); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

func (p *cutProxy) state() (healed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

// cut begins a cut.
func (p *cutProxy) cut() {
	p.mu.Lock()
	p.healed = make(chan struct{})
	p.mu.Unlock()
	for { // until the queue is full
		c, err := net.DialTimeout("tcp", p.address, 150*time.Millisecond)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.fillers = append(p.fillers, c)
		p.mu.Unlock()
	}
}

// heal ends the cut.
func (p *cutProxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	close(p.healed)
}

func (p *cutProxy) accept() {
	for {
		<-p.state()
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *cutProxy) forward(client net.Conn) {
	<-p.state() // one that came as the cut began
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go p.pass(client, server)
	p.pass(server, client)
}

// pass passes bytes on, but not during a cut.
func (p *cutProxy) pass(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.awaitPath(time.Now())
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// awaitPath waits until what was sent at a time arrives: at once, or at the first retransmission
// after the cut.
func (p *cutProxy) awaitPath(sent time.Time) {
	healed := p.state()
	select {
	case <-healed:
		return
	default:
	}
	<-healed
	for at, pause := sent, firstRetransmission; ; pause *= 2 {
		if at = at.Add(pause); time.Now().Before(at) {
			time.Sleep(time.Until(at))
			return
		}
	}
}
