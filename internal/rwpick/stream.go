package rwpick

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
)

// Need is what a stream needs.
type Need struct {
	Prompt int // tokens of its prompt
	Output int // most tokens of its output
	Read   int // prompt tokens that must be read first
}

// Settings of the choice for streams.
const (
	// fillMost is the part of a server's memory that is given out: some is lost
	// to whole blocks, and reports are late.
	fillMost = 0.95
	// runCost is the reading, in tokens, that one stream which already runs is
	// worth: running streams slow each step of the batch a little.
	runCost = 100
	// fillCost is the same for a server's memory when full: it decides between
	// servers with nothing to read.
	fillCost = 1000
	// choices is how many servers with room are compared: enough to find one with
	// nothing to read, and few enough that instances which all place streams in
	// the same instant, as after a zone's loss, do not all take the same one.
	choices = 4
	// placeTie spreads instances that see the same load, in tokens.
	placeTie = 200
)

// Placement is where a stream runs and where its copy is kept.
type Placement struct {
	Server rwbackend.View
	Copy   rwbackend.View
	Copied bool // there is room for a copy
}

// Stream places a stream. It returns false when no server has room.
func Stream(servers []rwbackend.View, engine EngineSize, need Need, tried func(id string) bool) (Placement, bool) {
	var p Placement
	best := math.Inf(1)
	looked, suspectOnly := 0, true
	for _, at := range rand.Perm(len(servers)) {
		s := servers[at]
		if tried(s.ID) || !fits(s, engine, need) {
			continue
		}
		if cost := streamCost(s, engine); cost < best {
			best, p.Server = cost, s
		}
		suspectOnly = suspectOnly && s.Suspect
		if looked++; looked >= choices && !suspectOnly {
			break
		}
	}
	if math.IsInf(best, 1) {
		return p, false
	}
	p.Copy, p.Copied = Copy(servers, engine, need, p.Server, tried)
	return p, true
}

// Holder places a stream at one of the servers that hold its prompt, if one of
// them is sound and has room.
func Holder(servers []rwbackend.View, engine EngineSize, need Need, holders []string, tried func(id string) bool) (Placement, bool) {
	var p Placement
	best := math.Inf(1)
	for _, s := range servers {
		if !slices.Contains(holders, s.ID) || tried(s.ID) || s.Suspect || s.Unheard || !fits(s, engine, need) {
			continue
		}
		if cost := streamCost(s, engine); cost < best {
			best, p.Server = cost, s
		}
	}
	if math.IsInf(best, 1) {
		return p, false
	}
	p.Copy, p.Copied = Copy(servers, engine, need, p.Server, tried)
	return p, true
}

// EngineSize is the size of a service's model servers.
type EngineSize struct {
	Slots  int
	Memory int // tokens
}

func fits(s rwbackend.View, engine EngineSize, need Need) bool {
	return float64(s.Committed+need.Prompt+need.Output) <= fillMost*float64(engine.Memory) && s.Runs < engine.Slots
}

func streamCost(s rwbackend.View, engine EngineSize) float64 {
	cost := float64(s.Backlog) + runCost*float64(s.Runs) + placeTie*rand.Float64()
	cost += fillCost * float64(s.Committed) / float64(max(1, engine.Memory))
	cost += failureTokens * max(0, s.Failures-failureNoise)
	if s.Unheard {
		cost += unheardTokens
	}
	if s.Suspect {
		cost += suspectTokens
	}
	return cost
}

const (
	// suspectTokens makes a suspect the last choice.
	suspectTokens = 1e7
	// unheardTokens is what a server that was lost and not heard of since costs if
	// it is still away: the time to find that out, in prompt tokens.
	unheardTokens = 1000
	// failureTokens is the reading that a server which fails every stream is
	// worth: a failed stream reads its prompt again.
	failureTokens = 50_000
)

// Copy chooses the server for a stream's copy: in another zone than the stream's
// server, with most memory free. It returns false when none has room.
func Copy(servers []rwbackend.View, engine EngineSize, need Need, from rwbackend.View, tried func(id string) bool) (rwbackend.View, bool) {
	var best rwbackend.View
	least := math.Inf(1)
	for _, s := range servers {
		if s.ID == from.ID || s.Suspect || tried(s.ID) || !fits(s, engine, need) {
			continue
		}
		cost := float64(s.Committed) + float64(s.Backlog)/2 + placeTie*rand.Float64()
		if s.Zone == from.Zone {
			cost += sameZoneTokens
		}
		if s.Unheard {
			cost += 2 * sameZoneTokens
		}
		if cost < least {
			least, best = cost, s
		}
	}
	return best, !math.IsInf(least, 1)
}

// sameZoneTokens is more than a server's memory: a copy in the same zone is lost
// with its stream, and is better than none only against single losses. One at a
// server that was lost, and may have started again under an id that the store
// could not list yet, is worth least.
const sameZoneTokens = 1e7

// FirstBy estimates when a stream's first event comes.
func FirstBy(s rwbackend.View, need Need, rate float64) time.Duration {
	return time.Duration(float64(s.Backlog+need.Read) / max(1, rate) * float64(time.Second))
}

// Hopeless reports whether a stream that starts anew can't come to its end in the
// time that is left: with a quarter of its longest output at the usual pace, which
// next to all outputs reach.
func Hopeless(left, first, token time.Duration, output int) bool {
	return left < first+token*time.Duration(output/4)
}
