package rwmove

import (
	"math"
	"math/rand/v2"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwtree"
)

// Trial plays one move in virtual time against versions with given habits. It
// shares the tests and the plan with the system, and nothing else: it measures
// the policy alone.
type Trial struct {
	Seed     uint64
	Rate     float64       // requests a second on the route
	Length   time.Duration // from the beginning to the deadline
	Old, New Habit
	Delay    time.Duration // until evidence reaches every instance
}

// Habit is how a version behaves.
type Habit struct {
	Fail   float64       // share of requests that fail
	Slow   float64       // factor on times; 1 if zero
	Spread float64       // standard deviation of the logarithm of times
	After  time.Duration // bad only from then on
	Above  float64       // bad only when its share of the traffic is over this
}

// Outcome is how a trial ended.
type Outcome struct {
	Phase     rwtree.Phase
	InTime    bool
	Requests  int
	Met       int           // requests that met the new version
	MetAfter  int           // of these, after the evidence was enough
	Evidence  time.Duration // when the evidence was enough, from the beginning
	Contained time.Duration // when every instance had contained it
}

const trialTick = 100 * time.Millisecond

// Run plays the trial.
func (t Trial) Run() Outcome {
	random := rand.New(rand.NewPCG(t.Seed, 0))
	begun := time.Unix(0, 0)
	move := rwtree.Move{Route: "team/route", From: "old", To: "new", Begun: begun, Deadline: begun.Add(t.Length), Phase: rwtree.PhaseLoading}
	var before, after rwevidence.Evidence
	var out Outcome
	var soakBegan time.Duration
	bad := ""
	for at := time.Duration(0); move.Active() && at < 2*t.Length; at += trialTick {
		contained := bad != "" && at >= out.Evidence+t.Delay
		for range poisson(random, t.Rate*trialTick.Seconds()) {
			out.Requests++
			if contained || random.Float64() >= move.Share {
				before = before.With(t.Old.sample(random, at, 1-move.Share))
				continue
			}
			out.Met++
			if bad != "" {
				out.MetAfter++
			}
			after = after.With(t.New.sample(random, at, move.Share))
			if bad == "" {
				bad = rwevidence.Judge(before, after)
				out.Evidence = at
			}
		}
		if move.Phase == rwtree.PhaseSoaking && soakBegan == 0 {
			soakBegan = at
		}
		plan := Plan{Move: move, Now: begun.Add(at), Before: before, After: after, Loaded: true}
		if contained {
			plan.Bad = bad
			out.Contained = at
		}
		if soakBegan > 0 {
			plan.Soaked = at - soakBegan
		}
		move, _ = plan.Next()
		out.InTime = at <= t.Length
	}
	out.Phase = move.Phase
	return out
}

func (h Habit) sample(random *rand.Rand, at time.Duration, share float64) rwevidence.Attempt {
	bad := at >= h.After && share >= h.Above
	slow := 1.0
	if bad && h.Slow > 0 {
		slow = h.Slow
	}
	if bad && random.Float64() < h.Fail {
		return rwevidence.Attempt{Failed: true}
	}
	spread := max(h.Spread, rwevidence.MinSpread/2)
	return rwevidence.Attempt{
		First: lognormal(random, 300*time.Millisecond, slow, spread),
		Token: lognormal(random, 30*time.Millisecond, slow, spread),
		Load:  random.Float64(),
	}
}

func lognormal(random *rand.Rand, middle time.Duration, factor, spread float64) time.Duration {
	return time.Duration(float64(middle) * factor * math.Exp(spread*random.NormFloat64()))
}

func poisson(random *rand.Rand, mean float64) int {
	limit, n, product := math.Exp(-mean), 0, random.Float64()
	for product > limit {
		n++
		product *= random.Float64()
	}
	return n
}
