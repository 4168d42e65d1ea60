package rwscale

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwduty"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

const (
	// callTimeout is the timeout of one order, well below the length of a lease.
	callTimeout = time.Second
	// Pauses after an order that the platform didn't take, so that its rate is left to others.
	minPause = time.Second
	maxPause = 8 * time.Second
)

// Lease grants the duty.
type Lease interface {
	// Current returns the grant in force, and false while this instance doesn't hold the duty.
	Current() (rwduty.Grant, bool)
	// Call makes a call under the grant in force. Its context ends before the grant does. An error
	// of KindConflict ends the grant. Without a grant it returns one of KindUnavailable.
	Call(ctx context.Context, do func(ctx context.Context, g rwduty.Grant) error) error
}

// Platform carries out orders.
type Platform interface {
	// OrderServers orders the number of a service's servers in an availability zone. Its errors
	// are of KindConflict if the fencing number is outdated, KindOverloaded if there were too many
	// calls, KindUnavailable if the platform is down, each not carried out unless Ran is unknown.
	OrderServers(ctx context.Context, g rwduty.Grant, service, zone string, count int) error
}

// Orderer orders servers while this instance holds the duty. Set the exported fields before Run.
type Orderer struct {
	Collector *Collector
	Table     func() *rwroute.Table // nil until the settings are known
	Lease     Lease
	Platform  Platform
	ListAge   func() (age time.Duration, known bool) // of the list of servers
	Moving    func(service string) bool              // a version move of the service runs; may be nil
	Heard     func() (heard, known int)              // other instances heard from in the last HeardWithin, and all others that are listed
	Count     func(counter string)
	Log       logr.Logger

	mu       sync.Mutex
	services map[string]*orderedService
	grant    rwduty.Grant
	pause    time.Duration // after the last order that was not taken; zero if it was
	pausedTo time.Time
}

// HeardWithin is how recently an instance must have been heard from for its demand to be known.
// It is below the shortest time for which demand must have been lower.
const HeardWithin = 5 * time.Second

// orderedService is what the holder knows of a service beyond the samples.
type orderedService struct {
	orders Orders
	plan   Plan          // the last one
	hold   time.Duration // see Orders.Hold
}

// Run orders servers until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	rwtime.Every(ctx, SampleInterval, func() { o.Step(ctx, time.Now()) })
}

// Step makes a plan for each service and sends its orders, if this instance holds the duty.
func (o *Orderer) Step(ctx context.Context, now time.Time) {
	grant, ok := o.Lease.Current()
	table := o.Table()
	if !ok || table == nil {
		o.forget()
		return
	}
	o.setGrant(grant)
	for _, service := range table.OrderedServices() {
		if !service.Model() {
			continue // only the demand for model servers is known to all instances
		}
		s := o.service(service)
		plan := o.plan(service, s, now)
		for _, w := range plan.Orders {
			if !o.send(ctx, service.Name, s, w, plan, now) {
				break
			}
		}
	}
}

// forget forgets what was ordered: when the duty comes back, others will have ordered.
func (o *Orderer) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services, o.grant, o.pause, o.pausedTo = nil, rwduty.Grant{}, 0, time.Time{}
}

func (o *Orderer) setGrant(g rwduty.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grant = g
}

func (o *Orderer) service(service rwroute.Service) *orderedService {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.services[service.Name]
	if !ok {
		s = &orderedService{}
		if o.services == nil {
			o.services = map[string]*orderedService{}
		}
		o.services[service.Name] = s
	}
	s.orders.Boot = service.Scale.BootTime
	return s
}

// plan makes and logs the plan for a service.
func (o *Orderer) plan(service rwroute.Service, s *orderedService, now time.Time) Plan {
	situation := o.Collector.Situation(service)
	situation.Now, situation.Hold, situation.Unshrink = now, s.orders.Hold(), s.orders.Unshrink()
	for i, z := range situation.Zones {
		situation.Zones[i].Pending = s.orders.Pending(z, now)
	}
	situation.ListAge, situation.ListOK = o.ListAge()
	situation.Heard, situation.Known = o.Heard()
	situation.Moving = situation.Moving || o.Moving != nil && o.Moving(service.Name)
	plan := Make(situation)
	o.mu.Lock()
	changed := s.plan.Reason != plan.Reason
	s.plan, s.hold = plan, situation.Hold
	o.mu.Unlock()
	if changed {
		o.Log.Info("plan of servers", "service", service.Name, "reason", plan.Reason, "need", plan.Need, "tokens", plan.Load.Tokens, "held", plan.Load.Held, "streams", plan.Load.Streams,
			"rate", situation.Server.Prefill, "heard", situation.Heard, "known", situation.Known, "zones", situation.Zones, "hold", situation.Hold.Seconds())
	}
	return plan
}

// send sends an order, unless the duty has ended or the platform wants a pause. It reports
// whether further orders may be sent.
func (o *Orderer) send(ctx context.Context, service string, s *orderedService, w Wanted, plan Plan, now time.Time) bool {
	grant, ok := o.Lease.Current()
	if !ok || grant != o.grant || now.Before(o.pausedTo) || ctx.Err() != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.Count("servers_ordered")
	err := o.Lease.Call(callCtx, func(ctx context.Context, g rwduty.Grant) error {
		return o.Platform.OrderServers(ctx, g, service, w.Zone, w.Count)
	})
	o.Log.Info("servers ordered", "service", service, "zone", w.Zone, "count", w.Count, "listed", w.Before, "reason", plan.Reason, "fence", grant.Fence, "cause", causeOf(err))
	if err == nil {
		s.orders.Sent(w, now)
		o.pause = 0
		return true
	}
	o.Count("servers_ordered_failed")
	if rwerror.Is(err, rwerror.KindConflict) {
		return false // the lease has ended this grant
	}
	if rwerror.As(err).Ran != rwerror.RanNo {
		s.orders.Sent(w, now)
	}
	o.pause = min(maxPause, max(minPause, 2*o.pause))
	o.pausedTo = now.Add(max(o.pause, rwerror.As(err).RetryAfter))
	return false
}

func causeOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// ServiceDump is a service whose servers are ordered, as shown in the state dump of the holder.
type ServiceDump struct {
	Service string  `json:"service"`
	Reason  string  `json:"reason"`
	Need    int     `json:"need"`   // in each zone; zero if unknown
	Tokens  float64 `json:"tokens"` // demand in prompt tokens a second
	Held    int     `json:"held"`   // tokens
	Hold    float64 `json:"hold"`   // seconds for which demand must be lower before servers are given up
}

// Dump returns the last plans; none if this instance doesn't hold the duty.
func (o *Orderer) Dump() []ServiceDump {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []ServiceDump
	for name, s := range o.services {
		all = append(all, ServiceDump{Service: name, Reason: s.plan.Reason, Need: s.plan.Need, Tokens: s.plan.Load.Tokens, Held: s.plan.Load.Held, Hold: s.hold.Seconds()})
	}
	return all
}
