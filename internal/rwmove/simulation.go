package rwmove

import (
	"math"
	"math/rand/v2"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwtree"
)

// Simulation simulates one move in virtual time with versions of given behaviour. Of
// the system it runs only rwevidence and Planner, so it measures the policy alone.
type Simulation struct {
	Seed          uint64
	RequestRate   float64       // requests per second on the route
	Duration      time.Duration // from the start to the deadline
	Old, New      Behaviour
	EvidenceDelay time.Duration // until all instances have the evidence
}

// Behaviour describes how requests to a version fail and how long they take. A version
// is bad from BadAfter on, while its share is at least BadAboveShare.
type Behaviour struct {
	FailureRate   float64       // fraction of requests that fail while the version is bad, from 0 to 1
	LatencyFactor float64       // multiplies the latencies while the version is bad; 0 means 1
	LatencySpread float64       // standard deviation of the natural logarithm of the latencies; at least rwevidence.MinSpread/2 is used
	BadAfter      time.Duration // since the start
	BadAboveShare float64       // share of the traffic, from 0 to 1
}

// SimulationResult is the result of a simulated move.
type SimulationResult struct {
	Phase                    rwtree.Phase
	MetDeadline              bool
	Requests                 int
	NewRequests              int           // requests to the new version
	NewRequestsAfterEvidence int           // of these, after the new version was found bad
	EvidenceAt               time.Duration // from the start until the new version was found bad; undefined if it was not
	ContainedAt              time.Duration // from the start until all instances had the verdict; 0 if there was none
}

const simulationTick = 100 * time.Millisecond

// Run runs the simulation.
func (s Simulation) Run() SimulationResult {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	begun := time.Unix(0, 0)
	move := rwtree.Move{Route: "team/route", From: "old", To: "new", StartedAt: begun, Deadline: begun.Add(s.Duration), Phase: rwtree.PhaseLoading}
	var before, after rwevidence.Evidence
	var out SimulationResult
	var soakStartedAt time.Duration
	badReason := ""
	for at := time.Duration(0); move.Active() && at < 2*s.Duration; at += simulationTick {
		contained := badReason != "" && at >= out.EvidenceAt+s.EvidenceDelay
		for range poisson(random, s.RequestRate*simulationTick.Seconds()) {
			out.Requests++
			if contained || random.Float64() >= move.Share {
				before = before.With(s.Old.sample(random, at, 1-move.Share).WithPeriod(period(move.Share)))
				continue
			}
			out.NewRequests++
			if badReason != "" {
				out.NewRequestsAfterEvidence++
			}
			after = after.With(s.New.sample(random, at, move.Share).WithPeriod(period(move.Share)))
			if badReason == "" {
				badReason = rwevidence.Judge(before, after)
				out.EvidenceAt = at
			}
		}
		if move.Phase == rwtree.PhaseSoaking && soakStartedAt == 0 {
			soakStartedAt = at
		}
		plan := Planner{Move: move, Now: begun.Add(at), Before: before, After: after, Loaded: true}
		if contained {
			plan.BadReason = badReason
			out.ContainedAt = at
		}
		if soakStartedAt > 0 {
			plan.SoakElapsed = at - soakStartedAt
		}
		move, _ = plan.Next()
		out.MetDeadline = at <= s.Duration
	}
	out.Phase = move.Phase
	return out
}

// sample returns the simulated outcome of one request at a time since the start, while
// the version gets the given share of the traffic.
func (b Behaviour) sample(random *rand.Rand, at time.Duration, share float64) rwevidence.Attempt {
	bad := at >= b.BadAfter && share >= b.BadAboveShare
	latencyFactor := 1.0
	if bad && b.LatencyFactor > 0 {
		latencyFactor = b.LatencyFactor
	}
	if bad && random.Float64() < b.FailureRate {
		return rwevidence.Attempt{Failed: true}
	}
	spread := max(b.LatencySpread, rwevidence.MinSpread/2)
	return rwevidence.Attempt{
		First:         lognormal(random, 300*time.Millisecond, latencyFactor, spread),
		MeanTokenTime: lognormal(random, 30*time.Millisecond, latencyFactor, spread),
		Load:          random.Float64(),
	}
}

func lognormal(random *rand.Rand, median time.Duration, factor, spread float64) time.Duration {
	return time.Duration(float64(median) * factor * math.Exp(spread*random.NormFloat64()))
}

// poisson draws a number from the Poisson distribution with the given mean, by Knuth's
// algorithm.
func poisson(random *rand.Rand, mean float64) int {
	limit, n, product := math.Exp(-mean), 0, random.Float64()
	for product > limit {
		n++
		product *= random.Float64()
	}
	return n
}
