package rwstandin

import (
	"container/list"
	"encoding/binary"

	"ragwortwall/internal/rwengine"

	"github.com/cespare/xxhash/v2"
)

const (
	tokensPerBlock       = 16
	maxCacheEvents       = 4096
	droppedEventInterval = 50 // one event in this many is dropped, so readers see gaps in the sequence
)

// prefixCache is an LRU cache of the hashes of prompt prefix blocks. It keeps
// its latest events for readers to poll. Engine.mu guards it.
type prefixCache struct {
	maxBlocks    int
	lru          *list.List
	blocks       map[uint64]*list.Element
	lastSequence int64
	events       []rwengine.CacheEvent // the latest maxCacheEvents, oldest first
}

// newPrefixCache returns an empty cache, whose first event is "cleared".
func newPrefixCache(maxBlocks int) *prefixCache {
	c := &prefixCache{maxBlocks: maxBlocks, lru: list.New(), blocks: map[uint64]*list.Element{}}
	c.publish("cleared", 0)
	return c
}

// lookupAndStore returns the number of tokens in the longest cached prefix of
// the prompt, and caches all full blocks of the prompt.
func (c *prefixCache) lookupAndStore(prompt []uint32) int {
	cached, missed := 0, false
	hash := uint64(0)
	for start := 0; start+tokensPerBlock <= len(prompt); start += tokensPerBlock {
		hash = blockHash(hash, prompt[start:start+tokensPerBlock])
		if element, ok := c.blocks[hash]; ok {
			c.lru.MoveToFront(element)
			if !missed {
				cached += tokensPerBlock
			}
			continue
		}
		missed = true
		c.store(hash)
	}
	return cached
}

func (c *prefixCache) store(hash uint64) {
	c.blocks[hash] = c.lru.PushFront(hash)
	c.publish("stored", hash)
	if c.lru.Len() <= c.maxBlocks {
		return
	}
	oldest := c.lru.Remove(c.lru.Back()).(uint64)
	delete(c.blocks, oldest)
	c.publish("removed", oldest)
}

// publish appends an event. Every droppedEventInterval-th one is left out, but its
// sequence number is used up.
func (c *prefixCache) publish(eventType string, hash uint64) {
	c.lastSequence++
	if c.lastSequence%droppedEventInterval == 0 {
		return
	}
	c.events = append(c.events, rwengine.CacheEvent{Sequence: c.lastSequence, Type: eventType, Block: hash})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the kept events with a higher sequence number.
func (c *prefixCache) eventsAfter(sequence int64) []rwengine.CacheEvent {
	for i, e := range c.events {
		if e.Sequence > sequence {
			return append([]rwengine.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}

// blockHash hashes a block together with the hash of the block before it.
func blockHash(previous uint64, tokens []uint32) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, previous)
	for _, id := range tokens {
		b = binary.LittleEndian.AppendUint32(b, id)
	}
	return xxhash.Sum64(b)
}
