package rwsoak

import (
	"slices"
	"time"

	"ragwortwall/platform/standin"
)

// Terms of the ordinary events.
const (
	maxSilence       = 1500 * time.Millisecond
	unframedShare    = 0.5
	settingsInterval = 300 * time.Millisecond // between two changes of a series
)

// ordinaryEvents lists what sound servers and operators do. The targets are distinct from
// those that disturb and interrupted know, so no check excuses anything by these events.
var ordinaryEvents = []fault{
	{name: "silence", target: "silence", maxDuration: maxSilence, inject: func(s *Soak, index int) func() {
		return silence(s.modelServers.At(index))
	}},
	{name: "zone-silence", target: "silence", maxDuration: maxSilence, inject: func(s *Soak, index int) func() {
		zone := standin.Zone(index % zones)
		var servers []*standin.Server
		for _, server := range s.servers() {
			if server.Zone == zone {
				servers = append(servers, server)
			}
		}
		return silence(servers...)
	}},
	{name: "models-silence", target: "silence", maxDuration: maxSilence, inject: func(s *Soak, _ int) func() {
		return silence(serversOf(&s.modelServers)...)
	}},
	{name: "orders-silence", target: "silence", maxDuration: maxSilence, inject: func(s *Soak, _ int) func() {
		return silence(serversOf(&s.orderServers)...)
	}},
	{name: "unframed", target: "unframed", inject: unframedEvent(standin.BreakNone)},
	{name: "unframed-breaks", target: "unframed", inject: unframedEvent(standin.BreakNone, standin.BreakInsideEvent, standin.BreakReset)},
	{name: "settings", target: "settings", inject: (*Soak).changeSettings},
}

// ordinaryEvents returns the events of this run. With series of stops servers are never silent:
// whether a stream ends within the grace period is known only of servers that go on.
func (s *Soak) ordinaryEvents() []fault {
	if !s.Stops {
		return ordinaryEvents
	}
	return slices.DeleteFunc(slices.Clone(ordinaryEvents), func(f fault) bool { return f.target == "silence" })
}

func serversOf(group *standin.Group) []*standin.Server {
	var servers []*standin.Server
	for n := range group.Servers {
		servers = append(servers, group.At(n))
	}
	return servers
}

func (s *Soak) servers() []*standin.Server {
	return append(serversOf(&s.modelServers), serversOf(&s.orderServers)...)
}

// silence makes servers silent and returns the function that lets them continue.
func silence(servers ...*standin.Server) func() {
	for _, server := range servers {
		server.Mute(true)
	}
	return func() {
		for _, server := range servers {
			server.Mute(false)
		}
	}
}

// unframedEvent returns the inject function of an event in which all servers send a share
// of their responses without a length.
func unframedEvent(breaks ...standin.Break) func(*Soak, int) func() {
	return func(s *Soak, index int) func() {
		servers := s.servers()
		for _, server := range servers {
			server.SetUnframed(standin.Unframed{Share: unframedShare, Breaks: breaks, Seed: s.Seed + uint64(index)})
		}
		return func() {
			for _, server := range servers {
				server.SetUnframed(standin.Unframed{})
			}
		}
	}
}

// configure changes the desired state.
func (s *Soak) configure(change func(c *standin.Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.configuration)
	s.configuration.Version++
	s.store.Configure(s.configuration)
}

// changeSettings changes limits and timeouts up and down until the returned function is
// called, which restores the defaults.
func (s *Soak) changeSettings(index int) func() {
	idleTimeouts := []time.Duration{time.Second, 300 * time.Millisecond, 15 * time.Second, 500 * time.Millisecond, 5 * time.Second}
	orderTimeouts := []time.Duration{standin.MinOrderTimeout, 2 * standin.MinOrderTimeout}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := index; ; n++ {
			s.configure(func(c *standin.Configuration) {
				c.IdleTimeout, c.OrderTimeout = idleTimeouts[n%len(idleTimeouts)], orderTimeouts[n%len(orderTimeouts)]
			})
			select {
			case <-stop:
				return
			case <-time.After(settingsInterval):
			}
		}
	}()
	return func() {
		close(stop)
		<-ended
		s.configure(func(c *standin.Configuration) { c.IdleTimeout, c.OrderTimeout = 0, 0 })
	}
}
