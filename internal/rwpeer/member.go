package rwpeer

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"ragwortwall/internal/rwfeed"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// Member is an instance as the store lists it.
type Member struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Instances string `json:"instances,omitempty"` // address for calls of other instances
	Notices   string `json:"notices"`             // address for datagrams
}

// Members are the other instances.
type Members struct {
	Self string
	Zone string // of this instance
	Log  logr.Logger

	mu    sync.Mutex
	known map[string]Member
	own   Member              // this instance as listed
	zones map[string][]Member // the known ones, replaced whole; nil when out of date
}

// Apply takes in changes of the list.
func (m *Members) Apply(b rwfeed.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil {
		m.known = map[string]Member{}
	}
	for _, c := range b.Changes {
		var member Member
		switch {
		case c.Gone || json.Unmarshal(c.Spec, &member) != nil:
			delete(m.known, c.Name)
		case c.Name == m.Self:
			m.own = member
		default:
			m.known[c.Name] = member
		}
	}
	m.zones = nil
	m.Log.Info("instances known", "count", len(m.known), "revision", b.Revision)
}

// followersMost is how many instances a watcher serves: what it sends them must
// leave room on a small instance's link for its callers.
const followersMost = 14

// Watches reports whether this instance is a watcher of the store.
func (m *Members) Watches() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.watchersLocked(m.Zone), m.Self)
}

// watchersLocked returns the watchers of a zone, one for each followersMost of its
// instances: the same ones wherever the same instances are known.
func (m *Members) watchersLocked(zone string) []string {
	var names []string
	if zone == m.Zone {
		names = append(names, m.Self)
	}
	for _, member := range m.known {
		if member.Zone == zone {
			names = append(names, member.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return names[:(len(names)+followersMost-1)/followersMost]
}

// rank orders the instances for watching.
func rank(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

// Watchers returns the addresses of the watchers but this instance: those of the
// own zone first, each follower beginning at another one.
func (m *Members) Watchers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := map[string]bool{}
	for _, member := range m.known {
		zones[member.Zone] = true
	}
	addresses := m.addressesLocked(m.Zone)
	delete(zones, m.Zone)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		addresses = append(addresses, m.addressesLocked(zone)...)
	}
	return addresses
}

func (m *Members) addressesLocked(zone string) []string {
	names := m.watchersLocked(zone)
	addresses := make([]string, 0, len(names))
	for n := range names {
		at := (uint64(n) + rank(m.Self)) % uint64(len(names))
		if member, ok := m.known[names[at]]; ok {
			addresses = append(addresses, member.Instances)
		}
	}
	return addresses
}

// Others returns the other instances.
func (m *Members) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]Member, 0, len(m.known))
	for _, member := range m.known {
		others = append(others, member)
	}
	return others
}

// Zones returns the other instances by their availability zones.
func (m *Members) Zones() map[string][]Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.zones == nil {
		m.zones = map[string][]Member{}
		for _, member := range m.known {
			m.zones[member.Zone] = append(m.zones[member.Zone], member)
		}
	}
	return m.zones
}

// Listed reports whether this instance is listed as given.
func (m *Members) Listed(own Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own == own
}

// Count is the number of instances, this one counted.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}
