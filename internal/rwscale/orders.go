package rwscale

import "time"

const (
	// minHold is the shortest time for which demand must have been lower, some averages long.
	minHold = 6 * time.Second
	// maxDoublings bounds how often that time doubles.
	maxDoublings = 4
	// listDelay is what a server may take to be listed besides its boot time, or to be listed as
	// leaving after an order, also one without an answer.
	listDelay = 4 * time.Second
)

// Orders remembers the orders for a service that the list of servers doesn't show yet. A new
// holder of the duty begins with none. It isn't safe for concurrent use.
type Orders struct {
	Boot time.Duration // from an order until the new servers serve

	byZone     map[string]order
	lastAt     time.Time // of the last order
	lastShrink time.Time // of the last order for fewer servers
	regrets    int       // how often servers were ordered soon after others had been given up
}

type order struct {
	count  int
	before int // servers listed when it was sent
	at     time.Time
	tries  int // how often in a row more were ordered and none came
}

// Hold returns for how long demand must have been lower before servers are given up. It doubles
// each time that more were needed soon afterwards, so that no pattern of demand causes many orders.
func (o *Orders) Hold() time.Duration {
	return max(o.Boot, minHold) << min(o.regrets, maxDoublings)
}

// Unshrink returns the time before which no servers are given up, as the last order shows its
// effect only now.
func (o *Orders) Unshrink() time.Time {
	if o.lastAt.IsZero() {
		return time.Time{}
	}
	return o.lastAt.Add(max(o.Boot, minHold))
}

// Sent records an order that may have been carried out.
func (o *Orders) Sent(w Wanted, now time.Time) {
	if o.byZone == nil {
		o.byZone = map[string]order{}
	}
	tries := 0
	old, ok := o.byZone[w.Zone]
	if ok && w.Count > w.Before && old.count > old.before && w.Before <= old.before && now.Sub(old.at) > o.Boot {
		tries = min(old.tries+1, maxDoublings)
	}
	o.byZone[w.Zone] = order{count: w.Count, before: w.Before, at: now, tries: tries}
	o.lastAt = now
	switch {
	case w.Count < w.Before:
		o.lastShrink = now
	case !o.lastShrink.IsZero() && now.Sub(o.lastShrink) < 4*o.Hold():
		o.regrets, o.lastShrink = o.regrets+1, time.Time{}
	}
}

// Pending returns how many servers of a zone an order that is under way will lead to, or zero if
// none is: it was carried out, or has had its time and the list is the truth.
func (o *Orders) Pending(z Zone, now time.Time) int {
	p, ok := o.byZone[z.Name]
	if !ok {
		return 0
	}
	age := now.Sub(p.at)
	if p.count < p.before {
		if z.Listed <= p.count || age > listDelay {
			return 0
		}
		return p.count
	}
	// An earlier order without an answer may be carried out late, after a newer one.
	overtaken := z.Listed < p.before
	if z.Listed >= p.count || overtaken || age > (o.Boot+listDelay)<<p.tries {
		return 0
	}
	return p.count
}
