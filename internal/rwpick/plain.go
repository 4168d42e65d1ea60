package rwpick

import (
	"math/rand/v2"
	"time"

	"ragwortwall/internal/rwbackend"
)

// Weights of the choice for plain requests.
const (
	// failureWeight makes a server that fails every answer look this many times
	// as loaded: enough to leave it the least of the traffic, so that its
	// recovery is seen.
	failureWeight = 20
	// farWeight is added for a server of another zone, in requests a slot: a
	// network round trip against the work of a request.
	farWeight = 0.05
	// tieWeight spreads instances that see the same load.
	tieWeight = 0.05
)

// Plain chooses a server for a plain request. It passes over servers that were
// tried, and over suspects while another is left.
func Plain(servers []rwbackend.View, zone string, tried func(id string) bool) (rwbackend.View, bool) {
	best, found, bestCost := rwbackend.View{}, false, 0.0
	base := leastFailures(servers)
	for _, s := range servers {
		if tried(s.ID) {
			continue
		}
		cost := plainCost(s, zone, base)
		if !found || cost < bestCost {
			best, found, bestCost = s, true, cost
		}
	}
	return best, found
}

// suspectCost is more than any load: a suspect is the last choice.
const suspectCost = 1e6

func plainCost(s rwbackend.View, zone string, base float64) float64 {
	waiting := float64(s.Plain+s.Others+1) / float64(max(1, s.Slots))
	if s.Cold > 0 {
		waiting *= 2
	}
	cost := waiting*(1+failureWeight*max(0, s.Failures-base-failureNoise)) + tieWeight*rand.Float64()
	if s.Zone != zone {
		cost += farWeight
	}
	if s.Suspect {
		cost += suspectCost
	}
	return cost
}

// failureNoise is the difference of two servers' moving averages that chance
// alone makes: about two standard deviations at the failure rates of the sheets.
const failureNoise = 0.15

// leastFailures is the failure average of the best server: what all of them
// fail is not one server's fault.
func leastFailures(servers []rwbackend.View) float64 {
	least := 1.0
	for _, s := range servers {
		least = min(least, s.Failures)
	}
	return least
}

// HedgeAfter is how long an idempotent request waits for one server before it
// is given to another: several times the usual time, so that the slow tenth of
// a sound server's answers is not repeated.
func HedgeAfter(usual, aim time.Duration) time.Duration {
	if usual <= 0 {
		return max(hedgeLeast, 2*aim/3)
	}
	return max(hedgeLeast, hedgeFactor*usual)
}

const (
	hedgeFactor = 4
	hedgeLeast  = 100 * time.Millisecond // several network round trips
)
