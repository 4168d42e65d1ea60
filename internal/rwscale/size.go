package rwscale

import (
	"math"
	"time"
)

// Server is what each server of a service can do.
type Server struct {
	Prefill float64 // prompt tokens a second, while it has no other prompts; zero if unknown
	Memory  int     // KV cache, in tokens
	Slots   int     // streams at once
}

// Load is what callers and streams take of a service.
type Load struct {
	Tokens  float64       // prompt tokens to prefill, a second
	Prompt  float64       // prompt tokens of a stream, on average; zero if unknown
	Held    int           // KV cache tokens that streams and their copies take at most
	Streams int           // streams that run or wait at servers
	Target  time.Duration // target latency of the first event; zero if none
}

// peak returns the larger of each figure of two loads.
func (l Load) peak(o Load) Load {
	l.Tokens, l.Held, l.Streams = max(l.Tokens, o.Tokens), max(l.Held, o.Held), max(l.Streams, o.Streams)
	return l
}

// rising returns what more servers are ordered for.
func (l Load) rising() Load {
	l.Tokens *= headroom
	return l
}

// surging returns what the servers that stay must carry when others are given up.
func (l Load) surging() Load { return l.times(surge) }

// pressing returns what calls for more servers at once.
func (l Load) pressing() Load {
	tokens := l.Tokens
	l = l.times(1 / headroom)
	l.Tokens = tokens
	return l
}

// times returns the load with all that grows with the number of callers multiplied.
func (l Load) times(factor float64) Load {
	l.Tokens *= factor
	l.Held = int(math.Ceil(float64(l.Held) * factor))
	l.Streams = int(math.Ceil(float64(l.Streams) * factor))
	return l
}

const (
	// maxFill is the part of the servers' memory and slots that streams and copies may take, as
	// placement uses no more of a server.
	maxFill = 0.95
	// missedShare is the share of streams that may find more queued prefill than their target
	// latency allows.
	missedShare = 0.01
	// Bounds of the utilisation: below the lower one a target can't be met by more servers, and
	// at the higher one the estimate no longer holds, as instances choose by old news.
	minUtilisation = 0.4
	maxUtilisation = 0.8
)

// utilisation returns how busy prefill may keep the servers so that the first event comes within
// the target latency. It takes the better of two servers for each stream, as instances at least
// do: the share of servers with m or more prompts is then the utilisation to the power of
// 2^m - 1, where m prompts of the usual length, the last one partly read, fill the target latency.
func utilisation(load Load, server Server) float64 {
	if load.Target <= 0 || load.Prompt <= 0 {
		return (minUtilisation + maxUtilisation) / 2
	}
	prompts := load.Target.Seconds() * server.Prefill / load.Prompt
	u := math.Pow(missedShare, 1/(math.Exp2(max(1, min(prompts, 16)))-1))
	return max(minUtilisation, min(maxUtilisation, u))
}

// size is how many servers carry a load.
type size struct {
	whole    int // with all zones, so that first events come in time and all streams and copies have room
	degraded int // with a zone lost, so that prefill keeps up and all streams and copies have room
}

// sizeFor returns how many servers carry a load.
func sizeFor(load Load, server Server) size {
	prefill := load.Tokens / max(1, server.Prefill)
	memory := float64(load.Held) / (maxFill * float64(max(1, server.Memory)))
	slots := float64(load.Streams) / (maxFill * float64(max(1, server.Slots)))
	return size{
		whole:    int(math.Ceil(max(prefill/utilisation(load, server), memory, slots))),
		degraded: int(math.Ceil(max(prefill, memory, slots))),
	}
}

// fits reports whether servers in zones carry what the size is for, also with the largest zone
// lost. A deployment with one zone can't bear its loss.
func (s size) fits(counts []int) bool {
	total, largest := 0, 0
	for _, n := range counts {
		total, largest = total+n, max(largest, n)
	}
	if len(counts) == 1 {
		largest = 0
	}
	return total >= s.whole && total-largest >= s.degraded
}

// perZone returns the smallest equal number of servers in each of the zones that fits.
func (s size) perZone(zones int) int {
	if zones <= 0 {
		return 0
	}
	return max(divideUp(s.whole, zones), divideUp(s.degraded, max(1, zones-1)))
}

func divideUp(a, b int) int { return (a + b - 1) / b }
