package rwusage

import "sync"

// slot is an organisation in a window. While the fleet's time isn't known, it is an organisation
// in a part of a window by the own time.
type slot struct {
	own    bool // by the own time
	number int64
	name   string
}

// counter counts the requests of this instance. Its lock is held for one addition, or for the
// exchange of a map, so that requests don't wait. The zero value is ready for use.
type counter struct {
	mu    sync.Mutex
	fresh map[slot]int64
}

// add counts requests in a slot.
func (c *counter) add(s slot, count int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh == nil {
		c.fresh = map[slot]int64{}
	}
	c.fresh[s] += count
}

// take returns what was counted since the last call.
func (c *counter) take() map[slot]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := c.fresh
	c.fresh = nil
	return fresh
}
