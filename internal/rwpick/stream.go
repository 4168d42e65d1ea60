package rwpick

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
)

// Need holds the sizes of a stream that is to be placed, in tokens.
type Need struct {
	Prompt  int // length of the prompt
	Output  int // maximum length of the output
	Prefill int // prompt tokens that the server has to prefill

	// Part is the id of the prompt's last part. The servers are compared in its order, so
	// that an instance that knows nothing of the stream finds its server, see PromptServers.
	Part string
}

// Limits and costs of the placement of streams. Costs are in tokens of prefill.
const (
	// maxMemoryFill is the fraction of a server's memory that streams may commit.
	// The rest allows for partly filled blocks and for late load reports.
	maxMemoryFill = 0.95
	// runningStreamTokens is the cost of each running stream, which slows every step
	// of the batch a little.
	runningStreamTokens = 100
	// fullMemoryTokens is the cost of a full memory. It decides between servers that
	// have no prefill queued.
	fullMemoryTokens = 1000
	// maxCandidates is the number of servers with room that are compared: enough to
	// find one without queued prefill, and few enough that instances which place
	// streams at the same moment, as after the loss of a zone, choose different ones.
	// More are compared while all of them are suspect, and MaxPromptServers while all have
	// queued prefill: requests with the same prompt have the same first servers.
	maxCandidates = 4
	// jitterTokens is the largest random cost. It spreads the choices of instances
	// that see the same load.
	jitterTokens = 200
)

// Placement holds the server that runs a stream and the one that keeps a copy of its
// KV cache.
type Placement struct {
	Server rwbackend.View
	Copy   rwbackend.View
	Copied bool // Copy is set; false if no server has room for a copy
}

// Stream chooses the servers for a stream and its copy. It returns false if no
// server has room for the stream.
func Stream(servers []rwbackend.View, engine EngineSize, need Need, tried func(id string) bool) (Placement, bool) {
	var p Placement
	best := math.Inf(1)
	compared, onlySuspects := 0, true
	for _, i := range rankByPrompt(servers, need.Part) {
		s := servers[i]
		if tried(s.ID) || !hasRoom(s, engine, need) {
			continue
		}
		if cost := streamCost(s, engine); cost < best {
			best, p.Server = cost, s
		}
		onlySuspects = onlySuspects && s.Suspect
		compared++
		if enough := compared >= MaxPromptServers || compared >= maxCandidates && p.Server.Backlog == 0; enough && !onlySuspects {
			break
		}
	}
	if math.IsInf(best, 1) {
		return p, false
	}
	p.Copy, p.Copied = Copy(servers, engine, need, p.Server, tried)
	return p, true
}

// StreamWithCachedPrompt chooses the servers for a stream whose prompt is cached: it
// runs on one of the holders, the servers whose KV cache holds the prompt. It returns
// false if no holder is healthy and has room.
func StreamWithCachedPrompt(servers []rwbackend.View, engine EngineSize, need Need, holders []string, tried func(id string) bool) (Placement, bool) {
	var p Placement
	best := math.Inf(1)
	for _, s := range servers {
		if !slices.Contains(holders, s.ID) || tried(s.ID) || s.Suspect || s.SilentSinceLoss || !hasRoom(s, engine, need) {
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

// EngineSize is the capacity of each model server of a service.
type EngineSize struct {
	Slots  int // streams that run at once
	Memory int // KV cache, in tokens
}

func hasRoom(s rwbackend.View, engine EngineSize, need Need) bool {
	return float64(s.Committed+need.Prompt+need.Output) <= maxMemoryFill*float64(engine.Memory) && s.Runs < engine.Slots
}

// streamCost returns the cost of a stream at a server, in prompt tokens to prefill. All
// other costs are converted to this unit.
func streamCost(s rwbackend.View, engine EngineSize) float64 {
	cost := float64(s.Backlog) + runningStreamTokens*float64(s.Runs) + jitterTokens*rand.Float64()
	cost += fullMemoryTokens * float64(s.Committed) / float64(max(1, engine.Memory))
	cost += failureTokens * max(0, s.FailureRate-failureNoise)
	if s.SilentSinceLoss {
		cost += lostServerTokens
	}
	if s.Suspect {
		cost += suspectTokens
	}
	return cost
}

const (
	// suspectTokens exceeds all other costs, so that a suspect server is chosen last.
	suspectTokens = 1e7
	// lostServerTokens is the cost of a server that was lost and has not responded
	// since: the time to detect that it is still down.
	lostServerTokens = 1000
	// failureTokens is the cost of a server that fails every stream. A failed stream
	// has to repeat its prefill elsewhere.
	failureTokens = 50_000
)

// Copy chooses the server that keeps a copy of a stream's KV cache: the one with the
// most free memory, preferably in another zone than the stream's server. It returns
// false if no server has room.
func Copy(servers []rwbackend.View, engine EngineSize, need Need, from rwbackend.View, tried func(id string) bool) (rwbackend.View, bool) {
	var best rwbackend.View
	lowest := math.Inf(1)
	for _, s := range servers {
		if s.ID == from.ID || s.Suspect || tried(s.ID) || !hasRoom(s, engine, need) {
			continue
		}
		cost := float64(s.Committed) + float64(s.Backlog)/2 + jitterTokens*rand.Float64()
		if s.Zone == from.Zone {
			cost += sameZoneTokens
		}
		if s.SilentSinceLoss {
			cost += 2 * sameZoneTokens
		}
		if cost < lowest {
			lowest, best = cost, s
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// sameZoneTokens exceeds the memory of any server. A copy in the same zone is lost
// together with its stream if the zone fails; it helps only if a single server does.
// A server that was lost costs twice as much: it may have restarted under an id that
// the store doesn't list yet.
const sameZoneTokens = 1e7

// TimeToFirstEvent estimates the time until a stream's first event. rate is the
// prefill rate in tokens per second.
func TimeToFirstEvent(s rwbackend.View, need Need, rate float64) time.Duration {
	return time.Duration(float64(s.Backlog+need.Prefill) / max(1, rate) * float64(time.Second))
}

// CannotFinish reports whether a stream without events yet can't finish by its deadline.
// left is the time until the deadline, first the time until the first event, token the
// time per token and output the maximum output in tokens. The estimate assumes a quarter
// of the maximum output, which almost all outputs reach.
func CannotFinish(left, first, token time.Duration, output int) bool {
	return left < first+token*time.Duration(output/4)
}
