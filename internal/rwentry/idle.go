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
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince == nil {
		c.idleSince = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
	} else {
		delete(c.idleSince, conn)
	}
}

// closeIdleLongerThan closes connections that were idle for longer than a limit.
func (c *idleConns) closeIdleLongerThan(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if time.Since(since) > limit {
			_ = conn.Close()
			delete(c.idleSince, conn)
		}
	}
}
