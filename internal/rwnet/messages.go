package rwnet

import (
	"net"
	"sync"

	"ragwortwall/internal/rwaccount"

	"storj.io/drpc/drpcwire"
)

const (
	// usualMessageBytes is the size up to which a message that isn't whole is usual.
	usualMessageBytes = 16 << 10
	// messageCopies is how often a message is in memory while it is read: in the reader's buffer,
	// which has room for more, and as what has been put together of it.
	messageCopies = 6
	// maxFrameHead is the length of a frame without its data.
	maxFrameHead = 1 + 9 + 9 + 9
)

// messageListener charges the messages of other instances to an account while they aren't whole.
type messageListener struct {
	net.Listener
	memory *rwaccount.Memory
	count  func() // called for each connection that finds no memory
}

// Accept accepts a connection.
func (l messageListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &messageConn{Conn: raw, listener: l}, nil
}

type messageConn struct {
	net.Conn
	listener messageListener

	mu      sync.Mutex
	frames  frames
	charged int64
	closed  bool
}

// Read reads from the connection. It fails if there is no memory for the message.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.charge(p[:n]) {
		c.listener.count()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *messageConn) charge(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames.add(p)
	if c.closed {
		return true
	}
	size, more := rwaccount.SizeUsual, messageCopies*c.frames.pending-c.charged
	if c.frames.pending > usualMessageBytes {
		size = rwaccount.SizeLarge
	}
	if more <= 0 {
		c.listener.memory.Release(-more)
	} else if !c.listener.memory.Reserve(more, size) {
		return false
	}
	c.charged += more
	return true
}

// Close closes the connection.
func (c *messageConn) Close() error {
	c.mu.Lock()
	c.listener.memory.Release(c.charged)
	c.charged, c.closed = 0, true
	c.mu.Unlock()
	return c.Conn.Close()
}

// frames follows the frames of a connection.
type frames struct {
	head    []byte // of the current frame, as far as it has come
	left    uint64 // bytes of data of the current frame that are still to come
	done    bool   // the current frame is the last one of its message
	pending int64  // bytes of data of the current message that have come
}

func (f *frames) add(p []byte) {
	for len(p) > 0 {
		if f.left > 0 {
			n := min(f.left, uint64(len(p)))
			f.left -= n
			f.pending += int64(n) //nolint:gosec // at most len(p)
			p = p[n:]
			f.end()
			continue
		}
		f.head = append(f.head, p[0])
		p = p[1:]
		f.parseHead()
	}
}

// parseHead begins the data of a frame if its head is whole. The reader rejects a wrong head.
func (f *frames) parseHead() {
	rest := f.head[1:]
	var length uint64
	for range 3 { // stream, message, length
		var ok bool
		var err error
		if rest, length, ok, err = drpcwire.ReadVarint(rest); !ok || err != nil {
			if len(f.head) > maxFrameHead {
				f.head = f.head[:0]
			}
			return
		}
	}
	f.left, f.done, f.head = length, f.head[0]&1 != 0, f.head[:0]
	f.end()
}

// end ends the message if all its data has come.
func (f *frames) end() {
	if f.left == 0 && f.done {
		f.pending, f.done = 0, false
	}
}
