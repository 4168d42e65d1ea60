package rwlimit

import (
	"math"
	"time"
)

const (
	// trialRate is the rate at which tokens are granted for a server that takes no requests,
	// per second: its next response tells whether that still holds.
	trialRate = 0.2
	// deputyShare is the part of the rate that an instance grants which is not the owner.
	deputyShare = 0.35
	// burstTokens and burstTime bound the tokens that an idle bucket saves up.
	burstTokens = 3
	burstTime   = 100 * time.Millisecond
	// tokenLife is how long granted tokens are valid. Within a few seconds it adds little
	// to what the rate allows.
	tokenLife = 300 * time.Millisecond
	// askerMemory is how long an instance counts as one of those that share a limit after
	// it asked.
	askerMemory = 2 * time.Second
	// maxAskRate bounds the questions about one server, per second, when many instances
	// share its limit.
	maxAskRate = 80
	minAskWait = 20 * time.Millisecond
	maxAskWait = 5 * time.Second
)

// bucket is the token bucket of a server's limit at its owner.
type bucket struct {
	balance float64
	at      time.Time            // of the balance; zero before the first question
	askers  map[string]time.Time // when each instance last asked
}

// grant takes up to want tokens from the bucket for an instance that asks. reserve tokens are
// left for more urgent requests. wait is when to ask again if there are none.
func (b *bucket) grant(from string, want int, rate, reserve float64, now time.Time) (tokens int, wait time.Duration) {
	rate = max(rate, trialRate)
	sharers := b.countAskers(from, now)
	most := burstTokens + rate*burstTime.Seconds()
	if !b.at.IsZero() {
		b.balance = min(most, b.balance+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if want <= 0 {
		return 0, 0
	}
	share := max(1, math.Ceil(rate*tokenLife.Seconds()/float64(sharers)))
	tokens = int(min(float64(want), share, b.balance-reserve))
	if tokens >= 1 {
		b.balance -= float64(tokens)
		return tokens, 0
	}
	seconds := max(float64(sharers)/(2*rate), float64(sharers)/maxAskRate)
	return 0, min(maxAskWait, max(minAskWait, time.Duration(seconds*float64(time.Second))))
}

// countAskers records a question and returns how many instances asked lately.
func (b *bucket) countAskers(from string, now time.Time) int {
	if b.askers == nil {
		b.askers = map[string]time.Time{}
	}
	b.askers[from] = now
	for name, at := range b.askers {
		if now.Sub(at) > askerMemory {
			delete(b.askers, name)
		}
	}
	return len(b.askers)
}
