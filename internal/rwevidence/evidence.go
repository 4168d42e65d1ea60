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

func (t LogDurations) minus(o LogDurations) LogDurations {
	return t.plus(LogDurations{Count: -o.Count, Sum: -o.Sum, Square: -o.Square})
}

func (t LogDurations) mean() float64 { return t.Sum / t.Count }

// squares returns the sum of the squared distances from the mean.
func (t LogDurations) squares() float64 {
	if t.Count < 2 {
		return 0
	}
	return max(0, t.Square-t.Sum*t.Sum/t.Count)
}

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
	Later     Later                  `json:"later,omitzero"`
}

// Plus returns the sum of two summaries.
func (e Evidence) Plus(o Evidence) Evidence { return e.combine(o, LogDurations.plus, 1) }

// Minus returns the summary without what another one is the summary of.
func (e Evidence) Minus(o Evidence) Evidence { return e.combine(o, LogDurations.minus, -1) }

// combine returns a summary whose counts are those of e plus sign times those of o.
func (e Evidence) combine(o Evidence, durations func(a, b LogDurations) LogDurations, sign float64) Evidence {
	e.Attempts += sign * o.Attempts
	e.Failed += sign * o.Failed
	for bin := range loadBins {
		e.First[bin] = durations(e.First[bin], o.First[bin])
		e.TokenTime[bin] = durations(e.TokenTime[bin], o.TokenTime[bin])
		for period := range Periods - 1 {
			e.Later.First[period][bin] = durations(e.Later.First[period][bin], o.Later.First[period][bin])
			e.Later.TokenTime[period][bin] = durations(e.Later.TokenTime[period][bin], o.Later.TokenTime[period][bin])
		}
	}
	return e
}

// Attempt is the result of one attempt.
type Attempt struct {
	Failed        bool
	First         time.Duration // time to the first token or, of a platform's service, to the first event or the whole response; 0 if unknown
	MeanTokenTime time.Duration // mean time between tokens; 0 if unknown
	Load          float64       // of the server, from 0 to 1
	Period        int           // in which it began, from 0 to Periods-1
}

// WithPeriod returns the attempt as one that began in a period.
func (s Attempt) WithPeriod(period int) Attempt {
	s.Period = period
	return s
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
	later := min(Periods-1, s.Period) - 1
	if s.First > 0 {
		e.First[bin].add(s.First)
		if later >= 0 {
			e.Later.First[later][bin].add(s.First)
		}
	}
	if s.MeanTokenTime > 0 {
		e.TokenTime[bin].add(s.MeanTokenTime)
		if later >= 0 {
			e.Later.TokenTime[later][bin].add(s.MeanTokenTime)
		}
	}
	return e
}

// Slowness returns the log-likelihood ratio of the latencies: a bad version against one
// that is as fast as the old version. It is zero if there are too few.
func Slowness(before, after Evidence) float64 {
	return max(slownessLLR(before.tokenTimes(), after.tokenTimes()), slownessLLR(before.firsts(), after.firsts()))
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
	case slownessLLR(before.tokenTimes(), after.tokenTimes()) > badThreshold:
		return "its tokens come slower than the old version's"
	case slownessLLR(before.firsts(), after.firsts()) > badThreshold:
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
// summed over the periods and load bins. As the old version's mean is only estimated, its
// variance is added to that of the samples.
func slownessLLR(before, after byPeriod) float64 {
	shift := math.Log(badSlowdownFactor)
	ratio, samples := 0.0, 0.0
	for bin := range loadBins {
		variance, ok := varianceWithin(before, after, bin)
		if !ok {
			continue
		}
		for period := range Periods {
			b, a := before[period][bin], after[period][bin]
			if b.Count < 1 || a.Count < 1 {
				continue
			}
			weight := 1 / (1 + a.Count/b.Count)
			ratio += weight * a.Count * shift / variance * (a.mean() - b.mean() - shift/2)
			samples += a.Count
		}
	}
	if samples < minNewSamples {
		return 0
	}
	return ratio
}

// varianceWithin returns the variance of both versions within the periods at one load. It
// returns false if the old version has too few samples.
func varianceWithin(before, after byPeriod, bin int) (float64, bool) {
	squares, freedom, old := 0.0, 0.0, 0.0
	for period := range Periods {
		b, a := before[period][bin], after[period][bin]
		squares += b.squares() + a.squares()
		freedom += max(0, b.Count-1) + max(0, a.Count-1)
		old += b.Count
	}
	return max(MinSpread*MinSpread, squares/max(1, freedom)), old >= minOldSamples
}
