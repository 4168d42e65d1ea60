package rwscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ragwortwall/internal/rwroute"
)

// Sample is what is known of a service's load at a time.
type Sample struct {
	At      time.Time
	Tokens  float64 // prompt tokens that were placed since the sample before, a second
	Streams float64 // streams that were placed, a second
	Held    int     // KV cache tokens that streams and copies take at most
	Running int     // streams placed that have not ended
	Backlog int     // prompt tokens still to prefill
}

// Zone is what is known of a service's servers in an availability zone.
type Zone struct {
	Name    string
	Listed  int // servers that are not leaving
	Suspect int // of these, in back-off after a loss or refusal
	Leaving int
	Pending int // servers that an order under way will lead to; zero if there is none
}

// inPlace returns the servers that are there, or will be when an order under way is carried out.
func (z Zone) inPlace() int {
	if z.Pending > 0 {
		return z.Pending
	}
	return z.Listed
}

// Situation is all that a plan is made from.
type Situation struct {
	Now     time.Time
	Samples []Sample // oldest first, one a second, the first one with demand
	Zones   []Zone   // that have or had servers, sorted by name
	Server  Server
	Scale   rwroute.Scale
	Target  time.Duration // target latency of the first event

	Moving   bool          // a version move runs, or servers of several versions are listed
	ListAge  time.Duration // age of the list of servers
	ListOK   bool          // the list is known
	Heard    int           // other instances that were heard from in the last seconds
	Known    int           // other instances that are listed
	Hold     time.Duration // for which demand must have been lower before servers are given up
	Unshrink time.Time     // before which none are given up: an order is under way or was just carried out
}

// Plan is what is wanted.
type Plan struct {
	Orders []Wanted // only what differs from what is in place
	Reason string   // for the orders, or for none
	Load   Load     // that it was made for; zero if unknown
	Need   int      // servers wanted in each zone; zero if unknown
}

// Wanted is a number of servers in a zone.
type Wanted struct {
	Zone          string
	Count, Before int
}

// Reasons of plans.
const (
	ReasonGrow      = "demand needs more"
	ReasonShrink    = "demand has been lower"
	ReasonKeep      = "enough"
	ReasonStale     = "list of servers is old or unknown"
	ReasonUnknown   = "demand is unknown"
	ReasonUnmeasure = "prefill rate is unknown"
	ReasonWait      = "an order is under way, or demand was not lower for long enough"
	ReasonMoving    = "a version moves"
	ReasonLeaving   = "servers leave"
	ReasonZoneLost  = "servers of a zone are lost"
	ReasonUnheard   = "too few instances are heard from"
	ReasonUneven    = "zones differ too much"
)

const (
	// averaged is how many samples one figure of demand is averaged over. Callers come at random:
	// the demand of one second of 30 streams is off by a fifth.
	averaged = 3
	// headroom is by how much what servers are ordered for exceeds what calls for more of them.
	// Demand has to differ by this much to cause an order.
	headroom = 1.12
	// surge is by how much demand may rise before servers that are ordered then could serve. What
	// is left when servers are given up carries it, also with a zone lost: one that is lost is
	// often what makes callers come at once.
	surge = 1.5
	// maxStep is the part of a zone's servers that is given up at once.
	maxStep = 0.25
	// minStep is the part below which giving up servers isn't worth their streams' moves.
	minStep = 0.1
	// rampTime is what must be known beyond Hold: after the first stream, memory fills for as long
	// as streams last.
	rampTime = 4 * time.Second
	// maxRamp bounds by how much memory is taken to follow a jump of demand.
	maxRamp = 2
	// maxListAge is how old the list of servers may be: twice what it is at an instance that
	// follows a watcher, whose waiting calls last some seconds.
	maxListAge = 7 * time.Second
	// maxSampleAge is how old the newest sample may be, and how far apart two may be.
	maxSampleAge = 3 * time.Second
	// minHeard is the part of the other instances that must be heard from before servers are
	// given up: the demand that the others place isn't known.
	minHeard = 0.75
	// lostShare is the part of a zone's servers from which on the zone counts as lost.
	lostShare = 0.34
)

// Make returns the plan for a situation. With anything it needs unknown, nothing changes.
func Make(s Situation) Plan {
	switch {
	case !s.ListOK || s.ListAge > maxListAge || len(s.Zones) == 0:
		return Plan{Reason: ReasonStale}
	case s.Server.Prefill <= 0:
		return Plan{Reason: ReasonUnmeasure}
	}
	recent, ok := s.recent()
	if !ok {
		return Plan{Reason: ReasonUnknown}
	}
	if p, short := s.grow(recent); short {
		return p
	}
	return s.shrink(recent)
}

// recent returns the load of the last samples.
func (s Situation) recent() (Load, bool) {
	n := len(s.Samples)
	if n < averaged || s.Now.Sub(s.Samples[n-1].At) > maxSampleAge {
		return Load{}, false
	}
	return s.loadOf(s.Samples[n-averaged:]), true
}

// loadOf returns the load of consecutive samples. A backlog beyond what is being read has to be
// worked off within the target latency, besides what comes.
func (s Situation) loadOf(samples []Sample) Load {
	load := Load{Target: s.Target}
	streams, backlog := 0.0, 0.0
	for _, sample := range samples {
		load.Tokens += sample.Tokens / float64(len(samples))
		streams += sample.Streams / float64(len(samples))
		backlog += float64(sample.Backlog) / float64(len(samples))
		load.Held, load.Streams = max(load.Held, sample.Held), max(load.Streams, sample.Running)
	}
	if streams > 0 {
		load.Prompt = load.Tokens / streams
	}
	reading := load.Tokens / max(1, s.Server.Prefill) * load.Prompt
	if excess := backlog - reading; excess > 0 && s.Target > 0 {
		load.Tokens += excess / s.Target.Seconds()
	}
	return load
}

// grow returns orders for more servers if those in place don't carry the load.
func (s Situation) grow(load Load) (Plan, bool) {
	if sizeFor(load.pressing(), s.Server).fits(s.inPlace()) {
		return Plan{}, false
	}
	need := s.wanted(s.ramped(load).rising())
	p := Plan{Load: load, Need: need, Reason: ReasonGrow}
	for _, z := range s.Zones {
		if need > s.least(z) {
			p.Orders = append(p.Orders, Wanted{Zone: z.Name, Count: need, Before: z.Listed})
		}
	}
	// The order may be the last for a while.
	slices.SortStableFunc(p.Orders, func(a, b Wanted) int { return cmp.Compare(a.Before, b.Before) })
	return p, len(p.Orders) > 0
}

// least returns the number that an order for more servers in a zone must exceed.
func (s Situation) least(z Zone) int {
	least := z.inPlace()
	if z.Pending > z.Listed {
		// As demand rises, so does what is needed, and each order has its price.
		least += int(minStep * float64(z.Pending))
	}
	if s.Moving {
		// A smaller number would take servers of one of the versions away.
		least = max(least, z.Listed)
	}
	return least
}

// ramped returns a load with the memory and streams that it leads to. They follow a jump of
// demand only as fast as streams last.
func (s Situation) ramped(load Load) Load {
	before := 0.0
	n := 0
	for _, sample := range s.Samples {
		if s.Now.Sub(sample.At) <= s.Hold {
			before, n = before+sample.Tokens, n+1
		}
	}
	if before <= 0 {
		return load
	}
	ratio := min(maxRamp, max(1, load.Tokens/(before/float64(n))))
	tokens := load.Tokens
	load = load.times(ratio)
	load.Tokens = tokens
	return load
}

// wanted returns the number of servers of each zone that carry a load, within the bounds.
func (s Situation) wanted(load Load) int {
	return max(s.Scale.Min, min(s.Scale.Max, sizeFor(load, s.Server).perZone(len(s.Zones))))
}

func (s Situation) inPlace() []int {
	counts := make([]int, len(s.Zones))
	for i, z := range s.Zones {
		counts[i] = z.inPlace()
	}
	return counts
}

// shrink returns orders for fewer servers if the peak of the load has been lower for long enough
// and nothing else is under way.
func (s Situation) shrink(recent Load) Plan {
	p := Plan{Load: recent, Need: s.wanted(recent.surging())}
	if p.Reason = s.obstacle(); p.Reason != "" {
		return p
	}
	peak, ok := s.peak()
	if !ok {
		p.Reason = ReasonWait
		return p
	}
	// What the instances that are not heard place is taken as what the others do.
	unheard := float64(s.Known+1) / float64(max(1, min(s.Heard, s.Known)+1))
	p.Load = peak.times(unheard)
	p.Need = s.wanted(p.Load.surging())
	left := s.inPlace()
	for i, z := range s.Zones {
		count := max(p.Need, z.Listed-int(maxStep*float64(z.Listed)))
		if z.Listed-count < max(1, int(math.Ceil(minStep*float64(z.Listed)))) {
			continue
		}
		left[i] = count
		p.Orders = append(p.Orders, Wanted{Zone: z.Name, Count: count, Before: z.Listed})
	}
	switch {
	case len(p.Orders) == 0:
		p.Reason = ReasonKeep
	case !sizeFor(p.Load.surging(), s.Server).fits(left):
		p.Orders, p.Reason = nil, ReasonUneven
	default:
		p.Reason = ReasonShrink
	}
	return p
}

// obstacle returns why no servers may be given up now; empty if they may.
func (s Situation) obstacle() string {
	for _, z := range s.Zones {
		switch {
		case z.Pending > 0:
			return ReasonWait
		case z.Leaving > 0:
			return ReasonLeaving
		case z.Listed == 0 || float64(z.Suspect) >= lostShare*float64(z.Listed):
			return ReasonZoneLost
		}
	}
	switch {
	case s.Moving:
		return ReasonMoving
	case s.Now.Before(s.Unshrink):
		return ReasonWait
	case float64(min(s.Heard, s.Known)) < minHeard*float64(s.Known):
		return ReasonUnheard
	}
	return ""
}

// peak returns the highest load of Hold, and false if it isn't known for all of that time.
func (s Situation) peak() (Load, bool) {
	var peak Load
	last := s.Now
	for end := len(s.Samples); end >= averaged; end-- {
		part := s.Samples[end-averaged : end]
		if last.Sub(part[averaged-1].At) > maxSampleAge {
			return peak, false
		}
		last = part[averaged-1].At
		load := s.loadOf(part)
		load.Prompt = max(load.Prompt, peak.Prompt)
		peak = load.peak(peak)
		if s.Now.Sub(part[0].At) >= s.Hold+rampTime {
			return peak, peak.Tokens > 0
		}
	}
	return peak, false
}
