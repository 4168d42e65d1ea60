package rwload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Options describes a load.
type Options struct {
	Targets           []string      // base URLs of the instances' HTTP API for callers
	APIKey            string        // sent as bearer token
	Model             string        // model name in the requests
	Rate              float64       // arrivals a second; zero sends all requests at once
	Requests          int           // total number of requests
	MaxTokens         int           // max_tokens of each request
	PromptBytes       int           // bytes in a prompt
	SharedPrefixShare float64       // length of the shared prefix, as a share of PromptBytes
	SharedPrefixes    int           // number of distinct shared prefixes, one of which each prompt begins with
	Seed              uint64        // of the random prompts and arrivals
	RetryAfterRefusal bool          // retry refused requests after the time in Retry-After
	IgnoreRetryAfter  bool          // retry refused requests after 50 ms, whatever Retry-After says
	Timeout           time.Duration // timeout of a request, retries included
	ReadDelay         time.Duration // delay of the reader after each event
	MinInterruption   time.Duration // gaps between events longer than this count as interruptions; zero counts none
	DirectToEngines   bool          // the targets are engines, and each request goes first to a random one
	SkipUnready       bool          // skip targets whose /readyz fails, as a load balancer does
	OrderShare        float64       // share of requests that are orders
	OrderPath         string        // URL path of orders
}

// Request is one request of the load.
type Request struct {
	Number int
	Key    string // idempotency key
	Prompt string
	Order  bool // an order instead of a generation
}

// requests generates the requests of the load. Equal options give equal requests.
func (o Options) requests() []Request {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	prefixes := make([]string, max(1, o.SharedPrefixes))
	for i := range prefixes {
		prefixes[i] = randomText(random, int(float64(o.PromptBytes)*o.SharedPrefixShare))
	}
	all := make([]Request, o.Requests)
	for i := range all {
		prefix := prefixes[random.IntN(len(prefixes))]
		all[i] = Request{
			Number: i,
			Key:    fmt.Sprintf("load-%d-%d", o.Seed, i),
			Prompt: prefix + randomText(random, max(8, o.PromptBytes-len(prefix))),
			Order:  random.Float64() < o.OrderShare,
		}
	}
	return all
}

// randomText returns size bytes of random hexadecimal words.
func randomText(random *rand.Rand, size int) string {
	var b strings.Builder
	for b.Len() < size {
		fmt.Fprintf(&b, "%x ", random.Uint32())
	}
	return b.String()[:size]
}

// interArrivalTimes returns the times between the arrivals of a Poisson process
// with the configured rate.
func (o Options) interArrivalTimes() []time.Duration {
	random := rand.New(rand.NewPCG(o.Seed, 2))
	all := make([]time.Duration, o.Requests)
	if o.Rate <= 0 {
		return all
	}
	for i := range all {
		all[i] = time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second))
	}
	return all
}
