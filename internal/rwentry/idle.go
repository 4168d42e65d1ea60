package rwentry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns knows the callers' connections that wait for a request. The zero
// value is ready.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func (c *idleConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == nil {
		c.since = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		c.since[conn] = time.Now()
	} else {
		delete(c.since, conn)
	}
}

// closeOver closes connections that were idle for longer than a limit.
func (c *idleConns) closeOver(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if time.Since(since) > limit {
			_ = conn.Close()
			delete(c.since, conn)
		}
	}
}
