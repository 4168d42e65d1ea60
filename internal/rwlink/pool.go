package rwlink

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Pool holds idle connections for reuse. It is safe for concurrent use; the zero
// value is ready to use.
type Pool struct {
	Dial DialFunc // set before first use; nil for TCP

	mu   sync.Mutex
	idle map[string][]*Conn // by address; the most recently used last
}

// maxIdlePerServer is more than the concurrent requests of one instance to one
// server at low traffic.
const maxIdlePerServer = 4

// Get returns an idle connection that its server has not closed, or dials a new
// one. If fresh is set, it always dials. timeout applies to dialling.
func (p *Pool) Get(ctx context.Context, address string, fresh bool, timeout time.Duration) (c *Conn, reused bool, err error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.maxIdle && c.isOpenAndEmpty() {
			return c, true, nil
		}
		c.Close()
	}
	raw, err := p.Dial.orTCP()(ctx, address, timeout)
	if err != nil {
		return nil, false, err
	}
	return New(raw, address), false, nil
}

// take removes and returns the connection that became idle last, or nil if there is none.
// The connection may have expired.
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

// Put returns a connection to the pool after the response was read completely. It
// closes the connection if it can't be reused.
func (p *Pool) Put(c *Conn) {
	if !c.Reusable() {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	c.onSilence = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.address]) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Drop closes the idle connections to an address whose server was lost.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// Sweep closes connections whose idle timeout has expired.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.maxIdle {
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

// isOpenAndEmpty reports whether an idle connection is open and has no unread
// data, which would belong to no request.
func (c *Conn) isOpenAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.conn.(syscall.Conn)
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
