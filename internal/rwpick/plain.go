package rwpick

import (
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
)

// Weights of the cost of a server for a plain request.
const (
	// failurePenalty is how many times its load is added to the cost of a server that
	// fails every request. It leaves such a server a little traffic, so that its
	// recovery is noticed.
	failurePenalty = 20
	// crossZoneCost is the cost of a server in another zone, in requests per slot.
	// It weighs the network round trip against the work of a request.
	crossZoneCost = 0.05
	// plainJitter is the largest random cost, in requests per slot. It spreads the
	// choices of instances that see the same load.
	plainJitter = 0.05
)

// Plain returns the server for a plain request: by ByCompletion if servers tell their load,
// otherwise the one with the lowest cost. It skips servers that were tried, and chooses a
// suspect server only if no other is left. It returns false if no server is left.
func Plain(servers []rwbackend.View, zone string, tried func(id string) bool) (rwbackend.View, bool) {
	if slices.ContainsFunc(servers, func(s rwbackend.View) bool { return s.Report.Told }) {
		return ByCompletion(servers, zone, PlainChoices, tried)
	}
	best, found, bestCost := rwbackend.View{}, false, 0.0
	baseline := minFailures(servers)
	for _, s := range servers {
		if tried(s.ID) {
			continue
		}
		cost := plainCost(s, zone, baseline)
		if !found || cost < bestCost {
			best, found, bestCost = s, true, cost
		}
	}
	return best, found
}

// suspectCost exceeds the cost of any load, so that a suspect server is chosen last.
const suspectCost = 1e6

// plainCost returns the cost of a plain request at a server. baseline is the lowest
// failure rate of all servers. Failures add to the cost if they exceed it by more than
// failureNoise.
func plainCost(s rwbackend.View, zone string, baseline float64) float64 {
	load := float64(s.Plain+s.OtherRequests+1) / float64(max(1, s.Slots))
	if s.WarmUp > 0 {
		load *= 2
	}
	cost := load*(1+failurePenalty*max(0, s.FailureRate-baseline-failureNoise)) + plainJitter*rand.Float64()
	if s.Zone != zone {
		cost += crossZoneCost
	}
	if s.Suspect {
		cost += suspectCost
	}
	return cost
}

// failureNoise is the difference between the moving averages of two equal servers
// that is due to chance: about two standard deviations at the specified failure rates.
const failureNoise = 0.15

// minFailures returns the lowest failure rate of all servers. Failures that all
// servers have in common don't count against any of them.
func minFailures(servers []rwbackend.View) float64 {
	lowest := 1.0
	for _, s := range servers {
		lowest = min(lowest, s.FailureRate)
	}
	return lowest
}

// HedgeAfter returns the delay before a hedged request is sent to a second server.
// It is a multiple of the usual latency, so that even the slowest tenth of a healthy
// server's answers is not hedged. If the latency is not known, that is, zero or less,
// the delay is derived from the target latency.
func HedgeAfter(latency, target time.Duration) time.Duration {
	if latency <= 0 {
		return max(minHedgeDelay, 2*target/3)
	}
	return max(minHedgeDelay, hedgeLatencyFactor*latency)
}

const (
	hedgeLatencyFactor = 4                      // multiple of the usual latency after which a request is hedged
	minHedgeDelay      = 100 * time.Millisecond // several network round trips
)
