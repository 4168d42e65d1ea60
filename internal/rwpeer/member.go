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
	Memory    int    `json:"memory,omitempty"`    // bytes that it may use: larger instances work for the others
}

// Members are the other instances.
type Members struct {
	Self   string
	Zone   string // of this instance
	Memory int    // bytes that this instance may use
	Log    logr.Logger

	mu    sync.Mutex
	known map[string]Member
	own   Member              // this instance as listed
	zones map[string][]Member // the known ones, the largest first, replaced whole; nil when out of date
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
// instances, the largest first: the same ones wherever the same instances are known.
func (m *Members) watchersLocked(zone string) []string {
	all := slices.Clone(m.zonesLocked()[zone])
	if zone == m.Zone {
		all = append(all, Member{Name: m.Self, Memory: m.Memory})
		slices.SortFunc(all, larger)
	}
	names := make([]string, (len(all)+followersMost-1)/followersMost)
	for n := range names {
		names[n] = all[n].Name
	}
	return names
}

// larger orders instances by size, and those of a size by rank.
func larger(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(rank(a.Name), rank(b.Name)))
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

// Zones returns the other instances by their availability zones, the largest first.
func (m *Members) Zones() map[string][]Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.zonesLocked()
}

func (m *Members) zonesLocked() map[string][]Member {
	if m.zones == nil {
		m.zones = map[string][]Member{}
		for _, member := range m.known {
			m.zones[member.Zone] = append(m.zones[member.Zone], member)
		}
		for _, members := range m.zones {
			slices.SortFunc(members, larger)
		}
	}
	return m.zones
}

// Relays returns those of a zone's instances, the largest first, that hand notices
// on within it: those that are larger than the smallest, if there are two, else all.
func Relays(members []Member) []Member {
	n := len(members)
	for n > 0 && members[n-1].Memory == members[len(members)-1].Memory {
		n--
	}
	if n < relaysLeast {
		return members
	}
	return members[:n]
}

// Large reports whether this instance is larger than the smallest of its zone: it
// hands its own notices on itself.
func (m *Members) Large() bool {
	zone := m.Zones()[m.Zone]
	return len(zone) > 0 && m.Memory > zone[len(zone)-1].Memory
}

// relaysLeast keeps one lost relay from keeping all news from its zone.
const relaysLeast = 2

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
