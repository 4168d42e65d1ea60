package rwstandin

import (
	"container/list"
	"encoding/binary"

	"ragwortwall/internal/rwengine"

	"github.com/cespare/xxhash/v2"
)

const (
	blockTokens     = 16
	cacheEventsKept = 4096
	cacheGap        = 50 // every so manieth event is never published
)

// prefixCache holds the blocks of prompt prefixes, least recently used out first.
type prefixCache struct {
	size     int
	order    *list.List
	blocks   map[uint64]*list.Element
	sequence int64
	events   []rwengine.CacheEvent
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
	c.publish("cleared", 0)
	return c
}

// use returns how many of the prompt's tokens are cached, and caches the rest.
func (c *prefixCache) use(prompt []uint32) int {
	cached, missed := 0, false
	chain := uint64(0)
	for start := 0; start+blockTokens <= len(prompt); start += blockTokens {
		chain = blockHash(chain, prompt[start:start+blockTokens])
		if element, ok := c.blocks[chain]; ok {
			c.order.MoveToFront(element)
			if !missed {
				cached += blockTokens
			}
			continue
		}
		missed = true
		c.store(chain)
	}
	return cached
}

func (c *prefixCache) store(block uint64) {
	c.blocks[block] = c.order.PushFront(block)
	c.publish("stored", block)
	if c.order.Len() <= c.size {
		return
	}
	oldest := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, oldest)
	c.publish("removed", oldest)
}

func (c *prefixCache) publish(kind string, block uint64) {
	c.sequence++
	if c.sequence%cacheGap == 0 {
		return
	}
	c.events = append(c.events, rwengine.CacheEvent{Sequence: c.sequence, Type: kind, Block: block})
	if len(c.events) > cacheEventsKept {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) eventsAfter(sequence int64) []rwengine.CacheEvent {
	for i, e := range c.events {
		if e.Sequence > sequence {
			return append([]rwengine.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}

func blockHash(chain uint64, tokens []uint32) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, chain)
	for _, id := range tokens {
		b = binary.LittleEndian.AppendUint32(b, id)
	}
	return xxhash.Sum64(b)
}
