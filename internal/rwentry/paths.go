package rwentry

import (
	"math/rand/v2"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwpath"
)

// earlierLosses is how long before servers could not be reached losses are withdrawn as well:
// the connections of a lost path may have been reset before.
const earlierLosses = time.Second

// buildPaths sets up the connections to backend servers, and returns the relay that connects
// other instances to them.
func (i *Instance) buildPaths() *rwpath.Relay {
	toServer := func(e rwbackend.Entry) rwpath.Server {
		return rwpath.Server{ID: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Address}
	}
	d := i.Dialer
	d.Log, d.Count, d.Helpers = i.Log, i.counters.Increment, i.helpers
	d.Locate = func(address string) (rwpath.Server, bool) {
		e, ok := i.directory.AtAddress(address)
		return toServer(e), ok
	}
	d.Servers = func(service string) []rwpath.Server {
		var servers []rwpath.Server
		for _, e := range i.directory.Entries(service) {
			servers = append(servers, toServer(e))
		}
		return servers
	}
	d.Broken = func(service string, since time.Time) {
		i.directory.WithdrawLosses(service, since.Add(-earlierLosses))
		i.forwarder.WithdrawLosses(service, since.Add(-earlierLosses))
		for _, e := range i.directory.Entries(service) {
			i.pool.Drop(e.Address)
		}
	}
	i.pool.Dial, i.probe.Dial = d.Dial, d.Dial
	return &rwpath.Relay{
		Address: i.Settings.DatagramAddress, Dialer: d, Log: i.Log,
		MaxConns: i.shares.Relayed, MaxRelayed: i.shares.Relayed, CountClosed: func() { i.countCrowd("relay_closed") },
		Find: func(id string) (rwpath.Server, bool) {
			e, ok := i.directory.Entry(id)
			return toServer(e), ok
		},
		Control: func(s rwpath.Server) (rwpath.Server, bool) {
			e, ok := i.directory.AnotherServer(s.ID)
			return toServer(e), ok
		},
		Leaving: i.leaving.Load,
		Barred:  func(id string) bool { return !i.directory.Accepts(id) },
	}
}

// helpers returns the other instances that aren't passed over as unreachable, in random order,
// those of this zone first. Each relays connections at the address at which it gets notices.
func (i *Instance) helpers() []rwpath.Helper {
	var helpers []rwpath.Helper
	for _, m := range i.members.Reachable() {
		helpers = append(helpers, rwpath.Helper{Zone: m.Zone, Address: m.NoticeAddress})
	}
	rand.Shuffle(len(helpers), func(a, b int) { helpers[a], helpers[b] = helpers[b], helpers[a] })
	return rwpath.ByZone(helpers, i.Settings.Zone)
}
