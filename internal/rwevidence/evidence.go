// Package rwevidence judges a new version of backend servers against the old one
// by what requests saw of both: a sequential test of failures and of times under
// like load. It is pure; package rwmove moves the product's own routes by it, and
// package rwversion the services of a platform.
package rwevidence

import (
	"math"
	"time"
)

// The sequential tests. A version is bad when the likelihood of what was seen,
// given a bad version, outweighs that given a good one by the odds below. By
// Wald's bounds a good version is found bad with a chance of about falseAlarm
// for each test, and a version as bad as the alternative is missed with a chance
// of about missed.
const (
	falseAlarm = 0.001
	missed     = 0.01

	failLeast  = 0.005 // failure rate that any version is granted
	failFactor = 3     // a bad version fails this many times as often as the old one
	failAdded  = 0.05  // and at least this much more

	slowFactor = 1.3 // a bad version is slower by this factor
	// SpreadLeast is the standard deviation granted to the logarithm of times.
	SpreadLeast  = 0.10
	baseSamples  = 8 // of the old version before times are compared
	newSamples   = 8 // of the new version before times are compared
	loadBins     = 4 // times are compared under like load
	secondsFloor = 1e-6
)

// badOdds is the logarithm of the odds from which a version is bad.
var badOdds = math.Log((1 - missed) / falseAlarm)

// Times sums the logarithms of times.
type Times struct {
	Count  float64 `json:"count"`
	Sum    float64 `json:"sum"`
	Square float64 `json:"square"`
}

func (t *Times) add(d time.Duration) {
	x := math.Log(max(secondsFloor, d.Seconds()))
	t.Count++
	t.Sum += x
	t.Square += x * x
}

func (t Times) plus(o Times) Times {
	return Times{Count: t.Count + o.Count, Sum: t.Sum + o.Sum, Square: t.Square + o.Square}
}

func (t Times) mean() float64 { return t.Sum / t.Count }

func (t Times) variance() float64 {
	if t.Count < 2 {
		return SpreadLeast * SpreadLeast
	}
	return max(SpreadLeast*SpreadLeast, t.Square/t.Count-t.mean()*t.mean())
}

// Evidence is what was seen of one version on one route.
type Evidence struct {
	Runs   float64         `json:"runs"`
	Failed float64         `json:"failed"`
	First  [loadBins]Times `json:"first"` // to the first token, by load of the server
	Token  [loadBins]Times `json:"token"` // between tokens
}

// Plus returns the evidence of both.
func (e Evidence) Plus(o Evidence) Evidence {
	e.Runs += o.Runs
	e.Failed += o.Failed
	for bin := range loadBins {
		e.First[bin] = e.First[bin].plus(o.First[bin])
		e.Token[bin] = e.Token[bin].plus(o.Token[bin])
	}
	return e
}

// Seen is one attempt.
type Seen struct {
	Failed bool
	First  time.Duration
	Token  time.Duration
	Load   float64 // of the server, from 0 to 1
}

// With returns the evidence with one more attempt.
func (e Evidence) With(s Seen) Evidence {
	e.Runs++
	if s.Failed {
		e.Failed++
		return e
	}
	bin := min(loadBins-1, max(0, int(s.Load*loadBins)))
	if s.First > 0 {
		e.First[bin].add(s.First)
	}
	if s.Token > 0 {
		e.Token[bin].add(s.Token)
	}
	return e
}

// Judge compares a new version with the old one. It returns why the new one is
// bad, or nothing.
func Judge(before, after Evidence) string {
	switch {
	case FailureOdds(before, after) > badOdds:
		return "it fails more often than the old version"
	case slownessOdds(before.Token, after.Token) > badOdds:
		return "its tokens come slower than the old version's"
	case slownessOdds(before.First, after.First) > badOdds:
		return "its first token comes later than the old version's"
	}
	return ""
}

// FailureOdds is the log-likelihood ratio of a bad version over one that fails
// as the old one does.
func FailureOdds(before, after Evidence) float64 {
	good := max(failLeast, (before.Failed+failLeast)/(before.Runs+1))
	good = min(good, 0.5)
	bad := min(0.98, max(failFactor*good, good+failAdded))
	succeeded := after.Runs - after.Failed
	return after.Failed*math.Log(bad/good) + succeeded*math.Log((1-bad)/(1-good))
}

// slownessOdds is the log-likelihood ratio of a version that is slower by
// slowFactor over one that is as fast, summed over like loads. The old
// version's mean is uncertain itself; its variance counts with the samples'.
func slownessOdds(before, after [loadBins]Times) float64 {
	shift := math.Log(slowFactor)
	odds, samples := 0.0, 0.0
	for bin := range loadBins {
		b, a := before[bin], after[bin]
		if b.Count < baseSamples || a.Count == 0 {
			continue
		}
		variance := pooled(b, a)
		certainty := 1 / (1 + a.Count/b.Count)
		odds += certainty * a.Count * shift / variance * (a.mean() - b.mean() - shift/2)
		samples += a.Count
	}
	if samples < newSamples {
		return 0
	}
	return odds
}

func pooled(a, b Times) float64 {
	return (a.variance()*a.Count + b.variance()*b.Count) / (a.Count + b.Count)
}
