package rwscale

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"
)

const (
	// SampleInterval is how often an instance samples demand.
	SampleInterval = time.Second
	// maxSamples is how many samples are kept, enough for the longest Hold of usual boot times.
	maxSamples = 180
	// zoneMemory is how long a zone without servers counts as lost, rather than as given up.
	zoneMemory = 5 * time.Minute
)

// Source is what an instance knows of runs and servers.
type Source interface {
	All() []rwbackend.View
	Demand(service string) rwbackend.Demand
	MeasuredPrefillRate() (perSecond float64, known bool)
}

// Collector samples the demand for the services whose servers are ordered. Every instance has
// one, so that a new holder of the duty knows the last seconds. Set the exported fields before Run.
type Collector struct {
	Source Source
	Table  func() *rwroute.Table // nil until the settings are known

	mu       sync.Mutex
	services map[string]*history
}

// history is what was sampled of a service.
type history struct {
	samples []Sample
	zones   map[string]Zone      // by name, also those whose servers are all gone for now
	seen    map[string]time.Time // when a zone last had servers
	mixed   bool                 // servers of several versions are listed
	total   rwbackend.Demand
	at      time.Time // of total; zero before the first sample
}

// Run samples until ctx ends.
func (c *Collector) Run(ctx context.Context) {
	rwtime.Every(ctx, SampleInterval, func() { c.Sample(time.Now()) })
}

// Sample takes one sample of each service.
func (c *Collector) Sample(now time.Time) {
	table := c.Table()
	if table == nil {
		return
	}
	ordered := table.OrderedServices()
	if len(ordered) == 0 {
		return
	}
	views := c.Source.All()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*history{}
	}
	for _, service := range ordered {
		h, ok := c.services[service.Name]
		if !ok {
			h = &history{zones: map[string]Zone{}, seen: map[string]time.Time{}}
			c.services[service.Name] = h
		}
		h.add(now, c.Source.Demand(service.Name), views, service.Name)
	}
}

// add adds a sample. Before the first stream nothing is known of the demand.
func (h *history) add(now time.Time, total rwbackend.Demand, views []rwbackend.View, service string) {
	sample := h.count(now, views, service)
	sample.At = now
	elapsed := now.Sub(h.at).Seconds()
	known := !h.at.IsZero() && elapsed > 0
	if known {
		sample.Tokens = float64(total.Tokens-h.total.Tokens) / elapsed
		sample.Streams = float64(total.Streams-h.total.Streams) / elapsed
	}
	h.total, h.at = total, now
	if !known || len(h.samples) == 0 && sample.Streams <= 0 {
		return
	}
	h.samples = append(h.samples, sample)
	if excess := len(h.samples) - maxSamples; excess > 0 {
		h.samples = slices.Delete(h.samples, 0, excess)
	}
}

// count counts what the servers of a service hold, and the servers of each zone.
func (h *history) count(now time.Time, views []rwbackend.View, service string) Sample {
	var sample Sample
	for name := range h.zones {
		h.zones[name] = Zone{Name: name}
		if now.Sub(h.seen[name]) > zoneMemory {
			delete(h.zones, name)
			delete(h.seen, name)
		}
	}
	versions := map[string]bool{}
	for _, v := range views {
		if v.Service != service {
			continue
		}
		sample.Held += v.Committed
		sample.Running += v.Runs
		sample.Backlog += v.Backlog
		z := h.zones[v.Zone]
		z.Name = v.Zone
		switch {
		case v.Leaving || v.SaidLeaving:
			z.Leaving++
		default:
			z.Listed++
			versions[v.Version] = true
			if v.Suspect {
				z.Suspect++
			}
		}
		h.zones[v.Zone], h.seen[v.Zone] = z, now
	}
	h.mixed = len(versions) > 1
	return sample
}

// Situation returns what was sampled of a service; the rest of the situation is for the caller to
// set. It is empty if nothing was sampled.
func (c *Collector) Situation(service rwroute.Service) Situation {
	rate, known := c.Source.MeasuredPrefillRate()
	if !known {
		rate = 0
	}
	s := Situation{
		Server: Server{Prefill: rate, Memory: service.Engine.Memory, Slots: service.Engine.Slots},
		Scale:  service.Scale,
	}
	if table := c.Table(); table != nil {
		s.Target = table.TargetLatency(service.Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.services[service.Name]
	if !ok {
		return s
	}
	s.Samples, s.Moving = slices.Clone(h.samples), h.mixed
	for _, z := range h.zones {
		s.Zones = append(s.Zones, z)
	}
	slices.SortFunc(s.Zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return s
}
