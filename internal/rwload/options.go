package rwload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Options says what load to offer.
type Options struct {
	Targets  []string      // URLs of the instances' callers' interfaces
	Key      string        // API key
	Model    string        // the model's name
	Rate     float64       // arrivals a second; zero offers all at once
	Requests int           // how many requests in all
	Tokens   int           // most tokens of an answer
	Prompt   int           // bytes of a prompt
	Shared   float64       // share of a prompt's bytes that its house style makes up
	Styles   int           // number of house styles
	Seed     uint64        // of prompts and arrivals
	Repeat   bool          // refused requests are sent again after Retry-After
	Storm    bool          // refused requests are sent again at once
	Patience time.Duration // a caller gives up after this
	Slow     time.Duration // pause of the reader after each event
	Break    time.Duration // a longer gap between two events counts as an interruption
	Direct   bool          // the targets are engines, chosen at random
	Balanced bool          // leave out targets that are not ready, as a balancer does
	Orders   float64       // share of requests that are orders
	Path     string        // of orders
}

// Request is one request of the load.
type Request struct {
	Number int
	Key    string
	Prompt string
	Order  bool
}

// requests makes the load's requests. The same options give the same requests.
func (o Options) requests() []Request {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	styles := make([]string, max(1, o.Styles))
	for i := range styles {
		styles[i] = text(random, int(float64(o.Prompt)*o.Shared))
	}
	all := make([]Request, o.Requests)
	for i := range all {
		style := styles[random.IntN(len(styles))]
		all[i] = Request{
			Number: i,
			Key:    fmt.Sprintf("load-%d-%d", o.Seed, i),
			Prompt: style + text(random, max(8, o.Prompt-len(style))),
			Order:  random.Float64() < o.Orders,
		}
	}
	return all
}

func text(random *rand.Rand, size int) string {
	var b strings.Builder
	for b.Len() < size {
		fmt.Fprintf(&b, "%x ", random.Uint32())
	}
	return b.String()[:size]
}

// pauses returns the times between arrivals of a Poisson process.
func (o Options) pauses() []time.Duration {
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
