package main

import (
	"net"
	"sync"
)

// path is a network path to a target, on which open channels can go silent for good.
type path struct {
	address string // listening address
	target  string

	mu       sync.Mutex
	channels []*channel
}

// channel is one connection over a path.
type channel struct {
	mu     sync.Mutex
	silent bool
}

// newPath starts a path to a target.
func (w *world) newPath(target string) (*path, error) {
	listener, err := w.listen()
	if err != nil {
		return nil, err
	}
	p := &path{address: listener.Addr().String(), target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(near)
		}
	}()
	return p, nil
}

func (p *path) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	c := &channel{}
	p.mu.Lock()
	p.channels = append(p.channels, c)
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.pass(near, far) })
	both.Go(func() { c.pass(far, near) })
	both.Wait()
}

// pass passes bytes on. Those of a silent channel are lost, and so is its end.
func (c *channel) pass(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if c.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (c *channel) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes all open channels silent for good. New ones work.
func (p *path) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	p.channels = nil
}
