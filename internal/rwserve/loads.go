package rwserve

import (
	"sync"
	"time"

	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwwire"
)

// Limits on what a digest repeats, because most loads and members don't change
// between two exchanges. The windows are the parts at the start of each interval in
// which digests carry the periodic entries.
const (
	changedLoadWindow = 900 * time.Millisecond // how long digests carry a changed load
	fullLoadInterval  = 3 * time.Second
	fullLoadWindow    = 450 * time.Millisecond // long enough for one exchange round
	heardInterval     = 800 * time.Millisecond
	heardWindow       = 410 * time.Millisecond
)

// loadChanges tracks when the load of each backend server last changed.
type loadChanges struct {
	mu        sync.Mutex
	sent      map[string]rwslot.Load
	changedAt map[string]time.Time
}

// toSend returns the loads that changed within changedLoadWindow and, in the first
// part of every fullLoadInterval, all loads.
func (c *loadChanges) toSend(all map[string]rwslot.Load, now time.Time) []*rwwire.ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil {
		c.sent = map[string]rwslot.Load{}
		c.changedAt = map[string]time.Time{}
	}
	full := inWindow(now, fullLoadInterval, fullLoadWindow)
	var out []*rwwire.ServerLoad
	for server, load := range all {
		if loadsDiffer(c.sent[server], load) {
			c.sent[server] = load
			c.changedAt[server] = now
		}
		if full || now.Sub(c.changedAt[server]) < changedLoadWindow {
			out = append(out, rwslot.ToWire(server, load))
		}
	}
	return out
}

// inWindow reports whether now lies in the first part of its period. Periods are
// aligned to the Unix epoch.
func inWindow(now time.Time, period, part time.Duration) bool {
	return time.Duration(now.UnixNano())%period < part
}

// loadsDiffer reports whether two loads differ in a field that peers must learn at
// once. Of the versions only their number is compared.
func loadsDiffer(a, b rwslot.Load) bool {
	return a.Held != b.Held || a.Limit != b.Limit || a.Waiting != b.Waiting || a.Down != b.Down ||
		a.Leaving != b.Leaving || a.Incarnation != b.Incarnation || len(a.Versions) != len(b.Versions)
}
