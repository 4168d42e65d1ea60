package rwadmit

import (
	"time"

	"ragwortwall/internal/rwbackend"
)

const (
	// usableMemory is the part of a server's memory that streams may commit. The rest allows
	// for partly filled blocks and for late news.
	usableMemory = 0.95
	// yieldingPart is the part of a server's memory and slots that the least urgent streams
	// leave free for more urgent ones. It holds about one stream of usual size.
	yieldingPart = 0.15
	// backlogPart is the part of the shortest target that the prefill queued at a server may
	// take for another stream to be added that can wait. The prefill of a more urgent one
	// that comes next is then done in time.
	backlogPart = 0.25
	// copyYield is the part of the memory at whose use the least urgent streams go without a
	// copy, below usableMemory: a copy takes as much as its stream.
	copyYield = 0.2
	// ampleServers is the number of servers for each stream that must fit so that room is ample:
	// then nobody waits.
	ampleServers = 4
)

// Engine is the capacity of each model server of a service.
type Engine struct {
	Slots  int     // streams that run at once
	Memory int     // KV cache, in tokens
	Rate   float64 // prefill, in tokens per second
}

// Ceiling is the load up to which streams of some urgency are added to a server. The zero
// value has no bounds of its own.
type Ceiling struct {
	memory  int // tokens; 0 for no bound
	slots   int
	backlog int // prompt tokens; negative for no bound
}

// NewCeiling returns the ceiling for streams that yield a part of the room, from 0 to 1, see
// rwurgency. shortest is the shortest target of the service's routes. aged, from 0 to 1, is how
// much of the time that it can wait a stream has waited: in the end it yields nothing, so that
// it isn't starved by more urgent ones.
func NewCeiling(e Engine, yield, aged float64, shortest time.Duration) Ceiling {
	yield *= 1 - min(1, max(0, aged))
	c := Ceiling{
		memory: int((usableMemory - yieldingPart*yield) * float64(e.Memory)),
		slots:  e.Slots - int(yieldingPart*yield*float64(e.Slots)), backlog: -1,
	}
	if yield > 0 && shortest > 0 {
		c.backlog = int(Backlog(shortest).Seconds() * e.Rate)
	}
	return c
}

// Backlog returns the time that the prefill queued at a server may take for a stream to be added
// that can wait.
func Backlog(shortest time.Duration) time.Duration {
	return time.Duration(backlogPart * float64(shortest))
}

// Fits reports whether a stream that takes need tokens of memory may be added to a server.
func (c Ceiling) Fits(v rwbackend.View, need int) bool { return c.count(v, need, 1) == 1 }

// count returns how many streams of need tokens fit, most at most.
func (c Ceiling) count(v rwbackend.View, need, most int) int {
	if c.memory == 0 {
		return most
	}
	if v.Committed+need > c.memory || v.Runs >= c.slots || c.backlog >= 0 && v.Backlog > c.backlog {
		return 0
	}
	return min(most, c.slots-v.Runs, (c.memory-v.Committed)/max(1, need))
}

// Room is what a service's servers have left, as this instance knows it.
type Room struct {
	Streams int // that may be added now
	Servers int // that take requests
	Fill    float64
}

// Sound reports whether a server is known to work: it was not lost, or has served since. A lost
// one looks empty, which would draw all streams that wait.
func Sound(v rwbackend.View) bool {
	return !v.Suspect && (!v.SilentSinceLoss || v.ServesSinceLoss)
}

// NewRoom returns the room that servers have below a ceiling for streams of need tokens. A server
// counts for one stream, as its prefill is then taken. Servers that aren't known to work have none.
func NewRoom(servers []rwbackend.View, e Engine, c Ceiling, need int) Room {
	var r Room
	committed := 0
	for _, v := range servers {
		if !Sound(v) {
			continue
		}
		r.Servers++
		committed += v.Committed
		r.Streams += c.count(v, need, 1)
	}
	if r.Servers > 0 && e.Memory > 0 {
		r.Fill = float64(committed) / float64(r.Servers*e.Memory)
	}
	return r
}

// Ample reports whether there is so much room that nobody has to wait.
func (r Room) Ample() bool { return r.Streams > 0 && r.Streams*ampleServers >= r.Servers }

// AllowsCopy reports whether a stream that yields a part of the room gets a copy.
func (r Room) AllowsCopy(yield float64) bool { return r.Fill <= usableMemory-copyYield*yield }
