package rwlink

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Pool keeps idle connections for the next request. The zero value is ready.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// idlePerServer is the most idle connections kept for one server: more than one
// instance's requests at once on a quiet day.
const idlePerServer = 4

// Get returns an idle connection that its server has not closed, or a new one.
// fresh asks for a new one.
func (p *Pool) Get(ctx context.Context, address string, fresh bool, timeout time.Duration) (c *Conn, reused bool, err error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Since(c.idleAt) < c.keep && c.quiet() {
			return c, true, nil
		}
		c.Close()
	}
	c, err = Dial(ctx, address, timeout)
	return c, false, err
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Put gives a connection back once its answer was read whole.
func (p *Pool) Put(c *Conn) {
	if !c.Reuse() {
		c.Close()
		return
	}
	c.idleAt = time.Now()
	c.patience = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.address]) >= idlePerServer {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Drop closes the idle connections to a server that was lost.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// Sweep closes connections that were idle too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleAt) < c.keep {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// quiet reports whether an idle connection is open and nothing came on it: a
// byte would belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && open
}
