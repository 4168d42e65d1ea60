package rwpick

import (
	"math"
	"math/rand/v2"
	"time"

	"ragwortwall/internal/rwbackend"
)

const (
	// PlainChoices is how many servers are compared for a plain request.
	PlainChoices = 3
	// reportLife is the time over which a report loses its weight: several times the work of a
	// request. Later, most of what it counted has ended, and the pace has changed.
	reportLife = 300 * time.Millisecond
)

// ByCompletion chooses a server for a plain request: of a few, drawn at random in proportion to how
// much work they do, the one that is expected to complete it first. Instances that heard the same
// news draw different servers, so that they don't all run to the one that looked best. It returns
// false if no server is left.
func ByCompletion(servers []rwbackend.View, zone string, choices int, tried func(id string) bool) (rwbackend.View, bool) {
	left := make([]rwbackend.View, 0, len(servers))
	for _, s := range servers {
		if !tried(s.ID) {
			left = append(left, s)
		}
	}
	if len(left) == 0 {
		return rwbackend.View{}, false
	}
	baseline, usual := minFailures(servers), usualCompletion(servers)
	best, lowest := 0, math.Inf(1)
	for _, i := range draw(left, choices) {
		if cost := completionCost(left[i], zone, usual, baseline); cost < lowest {
			best, lowest = i, cost
		}
	}
	return left[best], true
}

// draw draws indexes of different servers, each in proportion to what it can do.
func draw(servers []rwbackend.View, count int) []int {
	weights, total := make([]float64, len(servers)), 0.0
	for i, s := range servers {
		weights[i] = float64(max(1, s.Slots)) / slowness(s)
		if s.Suspect {
			weights[i] = 0 // only if no other is left
		}
		total += weights[i]
	}
	drawn := make([]int, 0, count)
	for len(drawn) < count && total > 1e-9 {
		at := rand.Float64() * total
		for i, w := range weights {
			if at -= w; at < 0 && w > 0 {
				drawn = append(drawn, i)
				total, weights[i] = total-w, 0
				break
			}
		}
	}
	if len(drawn) == 0 {
		return rand.Perm(len(servers))[:min(count, len(servers))]
	}
	return drawn
}

// slowness is how long work takes at a server for good, and now if it is starting.
func slowness(s rwbackend.View) float64 {
	slow := s.Slowness
	if slow <= 0 {
		slow = 1
	}
	if s.WarmUp > 0 {
		slow *= 2
	}
	return slow
}

// completion returns when a server is expected to complete a request, in units of the usual work of
// a request over its slots, from its last report.
func completion(s rwbackend.View) float64 {
	return float64(s.Report.Queued+s.Report.Unseen+1) * s.Report.Pace * slowness(s) / float64(max(1, s.Slots))
}

// usualCompletion returns the mean of what servers are expected to take by their reports, without
// the requests of this instance. It is taken for those whose report is old: as servers are drawn
// in proportion to their speed, it is the same at all of them.
func usualCompletion(servers []rwbackend.View) float64 {
	sum, n := 0.0, 0
	for _, s := range servers {
		if s.Report.Told {
			s.Report.Queued = max(0, s.Report.Queued+s.Report.Unseen-s.Plain)
			s.Report.Unseen = 0
			sum += completion(s)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// completionCost returns the cost of a server, in units of the usual work of a request over its slots.
func completionCost(s rwbackend.View, zone string, usual, baseline float64) float64 {
	weight := 0.0
	if !s.Report.Told {
		usual = 1 / float64(max(1, s.Slots)) // one request finds out
	} else {
		weight = math.Exp(-s.Report.Age.Seconds() / reportLife.Seconds())
	}
	cost := usual + float64(s.Plain)*slowness(s)/float64(max(1, s.Slots))
	if weight > 0 {
		cost = weight*completion(s) + (1-weight)*cost
	}
	cost *= 1 + failurePenalty*max(0, s.FailureRate-baseline-failureNoise)
	cost += plainJitter * rand.Float64()
	if s.Zone != zone {
		cost += crossZoneCost
	}
	if s.Suspect {
		cost += suspectCost
	}
	return cost
}
