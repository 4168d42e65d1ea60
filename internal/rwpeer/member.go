package rwpeer

import (
	"encoding/json"
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

// Watches reports whether this instance is its zone's watcher of the store.
func (m *Members) Watches() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watcherLocked(m.Zone) == m.Self
}

// watcherLocked is the watcher of a zone: the same one wherever the same
// instances are known.
func (m *Members) watcherLocked(zone string) string {
	best, rank := "", uint64(0)
	consider := func(name string) {
		if r := xxhash.Sum64String(watchKey + name); best == "" || r > rank {
			best, rank = name, r
		}
	}
	if zone == m.Zone {
		consider(m.Self)
	}
	for _, member := range m.known {
		if member.Zone == zone {
			consider(member.Name)
		}
	}
	return best
}

// watchKey ranks the instances for watching.
const watchKey = "watch/"

// Watchers returns the addresses of the watchers of all zones, the own zone's
// first, but this instance's.
func (m *Members) Watchers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := map[string]bool{}
	for _, member := range m.known {
		zones[member.Zone] = true
	}
	var near, far []string
	for zone := range zones {
		name := m.watcherLocked(zone)
		member, ok := m.known[name]
		switch {
		case name == m.Self || !ok:
		case zone == m.Zone:
			near = append(near, member.Instances)
		default:
			far = append(far, member.Instances)
		}
	}
	return append(near, far...)
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
