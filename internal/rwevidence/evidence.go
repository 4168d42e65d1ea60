// Package rwevidence compares a new version of the backend servers with the old
// one by the results of requests to both. It runs sequential probability ratio
// tests on failures and on latencies at similar load. It has no side effects.
// Package rwmove uses it for ragwortwall's own routes, package rwversion for the
// services of a platform.
package rwevidence

import (
	"math"
	"time"
)

// Parameters of the sequential probability ratio tests. A version is bad if the
// likelihood ratio of the results, bad version to good version, exceeds a
// threshold. By Wald's bounds each test rejects a good version with a probability
// of about falsePositiveRate and accepts a version as bad as the alternative
// hypothesis with a probability of about falseNegativeRate.
const (
	falsePositiveRate = 0.001
	falseNegativeRate = 0.01

	minFailureRate     = 0.005 // the assumed failure rate of a good version is never lower
	badFailureFactor   = 3     // a bad version fails at least this many times as often as the old one
	badFailureIncrease = 0.05  // and the failure rate of a bad version is at least this much higher

	badSlowdownFactor = 1.3 // latencies of a bad version are longer by this factor
	// MinSpread is the lower limit of the standard deviation that the tests
	// assume for the natural logarithm of a latency in seconds.
	MinSpread     = 0.10
	minOldSamples = 8    // required of the old version in a load bin
	minNewSamples = 8    // required of the new version over all load bins
	loadBins      = 4    // latencies are compared within bins of server load
	minSeconds    = 1e-6 // shorter latencies count as this long, as the logarithm needs a positive value
)

// badThreshold is the log-likelihood ratio above which a version is bad.
var badThreshold = math.Log((1 - falseNegativeRate) / falsePositiveRate)

// LogDurations holds the count, sum and sum of squares of the natural logarithms of
// durations in seconds.
type LogDurations struct {
	Count  float64 `json:"count"`
	Sum    float64 `json:"sum"`
	Square float64 `json:"square"`
}

func (t *LogDurations) add(d time.Duration) {
	x := math.Log(max(minSeconds, d.Seconds()))
	t.Count++
	t.Sum += x
	t.Square += x * x
}

func (t LogDurations) plus(o LogDurations) LogDurations {
	return LogDurations{Count: t.Count + o.Count, Sum: t.Sum + o.Sum, Square: t.Square + o.Square}
}

func (t LogDurations) mean() float64 { return t.Sum / t.Count }

func (t LogDurations) variance() float64 {
	if t.Count < 2 {
		return MinSpread * MinSpread
	}
	return max(MinSpread*MinSpread, t.Square/t.Count-t.mean()*t.mean())
}

// Evidence summarises the results of attempts on one version of one route or
// service.
type Evidence struct {
	Attempts  float64                `json:"runs"` // attempts, including the failed ones
	Failed    float64                `json:"failed"`
	First     [loadBins]LogDurations `json:"first"` // latencies as in Attempt.First, by server load
	TokenTime [loadBins]LogDurations `json:"token"` // time between tokens, by server load
}

// Plus returns the sum of two summaries.
func (e Evidence) Plus(o Evidence) Evidence {
	e.Attempts += o.Attempts
	e.Failed += o.Failed
	for bin := range loadBins {
		e.First[bin] = e.First[bin].plus(o.First[bin])
		e.TokenTime[bin] = e.TokenTime[bin].plus(o.TokenTime[bin])
	}
	return e
}

// Attempt is the result of one attempt.
type Attempt struct {
	Failed        bool
	First         time.Duration // time to the first token or, of a platform's service, to the first event or the whole response; 0 if unknown
	MeanTokenTime time.Duration // mean time between tokens; 0 if unknown
	Load          float64       // of the server, from 0 to 1
}

// With returns the summary with one more attempt. Latencies of failed attempts
// are ignored.
func (e Evidence) With(s Attempt) Evidence {
	e.Attempts++
	if s.Failed {
		e.Failed++
		return e
	}
	bin := min(loadBins-1, max(0, int(s.Load*loadBins)))
	if s.First > 0 {
		e.First[bin].add(s.First)
	}
	if s.MeanTokenTime > 0 {
		e.TokenTime[bin].add(s.MeanTokenTime)
	}
	return e
}

// Slowness returns the log-likelihood ratio of the latencies: a bad version against one
// that is as fast as the old version. It is zero if there are too few.
func Slowness(before, after Evidence) float64 {
	return max(slownessLLR(before.TokenTime, after.TokenTime), slownessLLR(before.First, after.First))
}

// Overdue returns the time from which an attempt without a result is late, judged by the
// latencies of a version. It returns false if there are too few.
func (e Evidence) Overdue() (time.Duration, bool) {
	var all LogDurations
	for _, bin := range e.First {
		all = all.plus(bin)
	}
	if all.Count < minOldSamples {
		return 0, false
	}
	return time.Duration(math.Exp(all.mean()+math.Sqrt(all.variance())) * badSlowdownFactor * float64(time.Second)), true
}

// Judge compares a new version with the old one. It returns the reason why the new
// one is bad, or an empty string if it was not found bad.
func Judge(before, after Evidence) string {
	switch {
	case FailureLLR(before, after) > badThreshold:
		return "it fails more often than the old version"
	case slownessLLR(before.TokenTime, after.TokenTime) > badThreshold:
		return "its tokens come slower than the old version's"
	case slownessLLR(before.First, after.First) > badThreshold:
		return "its first token comes later than the old version's"
	}
	return ""
}

// FailureLLR returns the log-likelihood ratio of the failures: a bad version
// against one that fails as often as the old version.
func FailureLLR(before, after Evidence) float64 {
	good := max(minFailureRate, (before.Failed+minFailureRate)/(before.Attempts+1))
	good = min(good, 0.5)
	bad := min(0.98, max(badFailureFactor*good, good+badFailureIncrease))
	succeeded := after.Attempts - after.Failed
	return after.Failed*math.Log(bad/good) + succeeded*math.Log((1-bad)/(1-good))
}

// slownessLLR returns the log-likelihood ratio of the latencies: a version that is
// slower by badSlowdownFactor against one that is as fast as the old version,
// summed over the load bins. As the old version's mean is only estimated, its variance
// is added to that of the samples.
func slownessLLR(before, after [loadBins]LogDurations) float64 {
	shift := math.Log(badSlowdownFactor)
	ratio, samples := 0.0, 0.0
	for bin := range loadBins {
		b, a := before[bin], after[bin]
		if b.Count < minOldSamples || a.Count == 0 {
			continue
		}
		variance := pooledVariance(b, a)
		weight := 1 / (1 + a.Count/b.Count)
		ratio += weight * a.Count * shift / variance * (a.mean() - b.mean() - shift/2)
		samples += a.Count
	}
	if samples < minNewSamples {
		return 0
	}
	return ratio
}

// pooledVariance returns the mean of two variances, weighted by sample count.
func pooledVariance(a, b LogDurations) float64 {
	return (a.variance()*a.Count + b.variance()*b.Count) / (a.Count + b.Count)
}
