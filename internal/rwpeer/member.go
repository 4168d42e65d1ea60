package rwpeer

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwfeed"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// Member is the store's entry of an instance.
type Member struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"instances,omitempty"` // address on which peers follow this instance
	NoticeAddress string `json:"notices"`             // UDP address for notices
	MemoryBytes   int    `json:"memory,omitempty"`    // memory limit in bytes; larger instances watch the store and relay notices for others
	Renews        bool   `json:"renews,omitempty"`    // the instance writes the entry again when it is missing
}

// Members keeps the list of the other instances. Set the exported fields before first
// use.
type Members struct {
	Self   string
	Zone   string // availability zone of this instance
	Memory int    // memory limit of this instance, in bytes
	// Bootstrap reports that the whole system starts for the first time, so that the list
	// grows until all instances have registered.
	Bootstrap bool
	Log       logr.Logger

	mu          sync.Mutex
	known       map[string]Member
	positions   map[string]rwfeed.Position // of their entries
	unreachable map[string]time.Time       // when each of them last couldn't be reached, and hasn't been heard from since
	heardAt     map[string]time.Time       // when each of them was last heard from
	grownAt     time.Time                  // when the list last got another instance
	selfListed  Member                     // entry of this instance in the store
	byZone      map[string][]Member        // known members, the largest first; built on demand, never modified, nil when out of date
	watchers    watcherCache
}

// watcherCache holds the watchers of the zones that were asked for.
type watcherCache struct {
	byZone map[string][]watcher // never modified; nil when out of date
	until  time.Time            // when the next unreachable instance is tried again; zero if there is none
}

// Apply applies changes of the store's list of instances.
func (m *Members) Apply(b rwfeed.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil {
		m.known, m.positions = map[string]Member{}, map[string]rwfeed.Position{}
	}
	for _, c := range b.Changes {
		var member Member
		unreadable := c.Deleted || json.Unmarshal(c.Spec, &member) != nil
		switch {
		case c.Name == m.Self && (unreadable || b.Lost(c)):
			m.selfListed = Member{}
		case unreadable:
			delete(m.known, c.Name)
			delete(m.positions, c.Name)
			delete(m.unreachable, c.Name)
			delete(m.heardAt, c.Name)
		case c.Name == m.Self:
			m.selfListed = member
		default:
			if _, known := m.known[c.Name]; !known {
				m.grownAt = time.Now()
			}
			m.known[c.Name], m.positions[c.Name] = member, c.Position()
			delete(m.unreachable, c.Name)
		}
	}
	m.byZone, m.watchers = nil, watcherCache{}
	m.Log.Info("list of instances updated", "count", len(m.known), "revision", b.Revision)
}

const (
	// maxInstancesPerWatcher limits the instances of a zone for each watcher of the zone's
	// smallest size, itself included. Traffic to followers must leave a small instance enough
	// bandwidth for its callers.
	maxInstancesPerWatcher = 14
	// maxInstancesPerLargeWatcher limits them for a watcher of any size: the followers of a
	// watcher that is lost must find another one within Settings.SettingsBound.
	maxInstancesPerLargeWatcher = 3 * maxInstancesPerWatcher
	// minWatchers is the least number of watchers of a zone with more than
	// maxInstancesPerWatcher instances, so that the loss of one leaves another.
	minWatchers = 2
	// listSettleTime is how long the list must not have grown during the first start until
	// the watchers are chosen from it. The seeds read the list in batches of a second.
	listSettleTime = 1500 * time.Millisecond
	// seedHandover is how much longer the seeds watch the store, until the other instances
	// have found the watchers.
	seedHandover = 2 * time.Second
)

// IsWatcher reports whether this instance is a watcher: one that watches the store for
// its availability zone. During the first start there are none until the list is complete:
// on the first few entries most instances would take themselves for the largest of their
// zone.
func (m *Members) IsWatcher() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settledLocked(listSettleTime) && slices.ContainsFunc(m.watchersLocked(m.Zone), func(w watcher) bool { return w.name == m.Self })
}

// SeedsWatch reports whether the seeds watch the store in place of the watchers.
func (m *Members) SeedsWatch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) == 0 || !m.settledLocked(listSettleTime+seedHandover)
}

// settledLocked reports whether the list hasn't grown for a time, or isn't expected to.
func (m *Members) settledLocked(quiet time.Duration) bool {
	return !m.Bootstrap || len(m.known) > 0 && time.Since(m.grownAt) >= quiet
}

// unreachableTime is how long an instance that couldn't be reached is passed over, unless it is
// heard from. It is tried again after that: silence doesn't tell a lost path from an instance
// that left. It is long enough to find a few live ones among thousands that left.
const unreachableTime = 10 * time.Minute

// RecordReach records whether the instance at an address on which peers follow could be
// reached. The list says who may be there: the watchers are chosen from those that can be
// reached, as the largest listed ones may have left.
func (m *Members) RecordReach(peerAddress string, reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, member := range m.known {
		if member.PeerAddress != peerAddress {
			continue
		}
		if reached {
			m.clearUnreachableLocked(name)
			continue
		}
		if m.unreachable == nil {
			m.unreachable = map[string]time.Time{}
		}
		if m.reachableLocked(name) {
			m.Log.Info("instance passed over, as it cannot be reached", "instance", name, "zone", member.Zone, "address", peerAddress)
		}
		m.unreachable[name] = time.Now()
		m.watchers = watcherCache{}
	}
}

// RecordHeard records that an instance was heard from.
func (m *Members) RecordHeard(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clearUnreachableLocked(name)
	if m.heardAt == nil {
		m.heardAt = map[string]time.Time{}
	}
	m.heardAt[name] = time.Now()
}

// HeardAt returns when an instance was last heard from, or the zero time.
func (m *Members) HeardAt(name string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardAt[name]
}

// heardOf returns those of the members that were heard from within relayTime, in the same
// order.
func (m *Members) heardOf(members []Member) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return time.Since(m.heardAt[member.Name]) > relayTime })
}

func (m *Members) clearUnreachableLocked(name string) {
	if _, ok := m.unreachable[name]; ok {
		delete(m.unreachable, name)
		m.watchers = watcherCache{}
	}
}

func (m *Members) reachableLocked(name string) bool {
	at, ok := m.unreachable[name]
	return !ok || time.Since(at) >= unreachableTime
}

// reachableOf returns the members that aren't passed over, in the same order.
func (m *Members) reachableOf(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return !m.reachableLocked(member.Name) })
}

// watcher is an instance that watches the store for its availability zone.
type watcher struct {
	name     string
	capacity int // how many instances of the zone it serves, see watcherCapacity
}

// watchersLocked returns a zone's watchers: its largest instances, as many as can serve the
// zone. All instances that know the same list, and reach the same of it, get the same result;
// a follower asks whom it takes for a watcher.
func (m *Members) watchersLocked(zone string) []watcher {
	now := time.Now()
	if !m.watchers.until.IsZero() && !now.Before(m.watchers.until) {
		m.watchers = watcherCache{}
	}
	if m.watchers.byZone == nil {
		m.watchers.byZone = map[string][]watcher{}
		for _, at := range m.unreachable {
			if again := at.Add(unreachableTime); again.After(now) && (m.watchers.until.IsZero() || again.Before(m.watchers.until)) {
				m.watchers.until = again
			}
		}
	}
	watchers, ok := m.watchers.byZone[zone]
	if !ok {
		watchers = m.chooseWatchersLocked(zone)
		m.watchers.byZone[zone] = watchers
	}
	return watchers
}

func (m *Members) chooseWatchersLocked(zone string) []watcher {
	all := m.reachableOf(m.byZoneLocked()[zone])
	if zone == m.Zone {
		all = append(all, Member{Name: m.Self, MemoryBytes: m.Memory})
		slices.SortFunc(all, compareBySize)
	}
	least := 1
	if len(all) > maxInstancesPerWatcher {
		least = minWatchers
	}
	var watchers []watcher
	for served := 0; len(watchers) < len(all) && (served < len(all) || len(watchers) < least); {
		next := all[len(watchers)]
		w := watcher{next.Name, watcherCapacity(next.MemoryBytes, all[len(all)-1].MemoryBytes)}
		served += w.capacity
		watchers = append(watchers, w)
	}
	return watchers
}

// watcherCapacity returns how many instances of its zone a watcher serves. Larger instances
// also have faster links and processors.
func watcherCapacity(memoryBytes, smallestBytes int) int {
	if smallestBytes <= 0 {
		return maxInstancesPerWatcher
	}
	return min(maxInstancesPerLargeWatcher, maxInstancesPerWatcher*memoryBytes/smallestBytes)
}

// compareBySize orders instances by memory, the largest first, and those of equal memory
// by watchRank.
func compareBySize(a, b Member) int {
	return cmp.Or(cmp.Compare(b.MemoryBytes, a.MemoryBytes), cmp.Compare(watchRank(a.Name), watchRank(b.Name)))
}

// watchRank returns a hash of the name that orders instances of equal memory. A follower
// also uses it to choose the watcher that it tries first.
func watchRank(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

// WatcherAddresses returns the addresses of all watchers except this instance, those of its own
// zone first. Each zone's addresses are rotated by watchRank, so that followers spread
// over the watchers. It returns none while the list is incomplete.
func (m *Members) WatcherAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.settledLocked(listSettleTime) {
		return nil
	}
	zones := map[string]bool{}
	for _, member := range m.known {
		zones[member.Zone] = true
	}
	addresses := m.watcherAddressesLocked(m.Zone)
	delete(zones, m.Zone)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		addresses = append(addresses, m.watcherAddressesLocked(zone)...)
	}
	return addresses
}

// watcherAddressesLocked returns the rotated addresses of a zone's watchers, without
// this instance. Each watcher comes first for a share of the followers that goes by its
// capacity.
func (m *Members) watcherAddressesLocked(zone string) []string {
	watchers := m.watchersLocked(zone)
	total := 0
	for _, w := range watchers {
		total += w.capacity
	}
	if total == 0 {
		return nil
	}
	first := 0
	for place := int(watchRank(m.Self) % uint64(total)); place >= watchers[first].capacity; first++ {
		place -= watchers[first].capacity
	}
	addresses := make([]string, 0, len(watchers))
	for _, w := range slices.Concat(watchers[first:], watchers[:first]) {
		if member, ok := m.known[w.name]; ok {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}

// Reachable returns the other instances that aren't passed over as unreachable, in no
// particular order.
func (m *Members) Reachable() []Member {
	others := m.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachableOf(others)
}

// Others returns the other instances in no particular order.
func (m *Members) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]Member, 0, len(m.known))
	for _, member := range m.known {
		others = append(others, member)
	}
	return others
}

// Listed returns the entries of the other instances in no particular order.
func (m *Members) Listed() []Listed {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make([]Listed, 0, len(m.known))
	for name, member := range m.known {
		listed = append(listed, Listed{member, m.positions[name]})
	}
	return listed
}

// Get returns another instance by its name.
func (m *Members) Get(name string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.known[name]
	return member, ok
}

// ByZone returns the other instances by availability zone, the largest first. Callers
// must not modify the result.
func (m *Members) ByZone() map[string][]Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byZoneLocked()
}

func (m *Members) byZoneLocked() map[string][]Member {
	if m.byZone == nil {
		m.byZone = map[string][]Member{}
		for _, member := range m.known {
			m.byZone[member.Zone] = append(m.byZone[member.Zone], member)
		}
		for _, members := range m.byZone {
			slices.SortFunc(members, compareBySize)
		}
	}
	return m.byZone
}

// Relays returns the instances that relay notices within a zone: those with more memory
// than the smallest if there are at least minRelays, or else all. The members must be
// sorted by memory, the largest first.
func Relays(members []Member) []Member {
	n := len(members)
	for n > 0 && members[n-1].MemoryBytes == members[len(members)-1].MemoryBytes {
		n--
	}
	if n < minRelays {
		return members
	}
	return members[:n]
}

// Large reports whether this instance has more memory than the smallest other one of its
// zone. Large instances send their notices to the whole zone without a relay.
func (m *Members) Large() bool {
	zone := m.ByZone()[m.Zone]
	return len(zone) > 0 && m.Memory > zone[len(zone)-1].MemoryBytes
}

// relayTime is how recently an instance must have been heard from to relay notices, if any
// of its zone was: what a relay that left gets is lost for its zone.
const relayTime = 10 * time.Second

// minRelays is 2 so that the loss of one relay doesn't cut its zone off from notices.
const minRelays = 2

// IsListed reports whether the store has an entry of this instance. It doesn't if the store
// has lost it, another instance has removed it, or a foreign writer has replaced it.
func (m *Members) IsListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfListed != Member{}
}

// ListedAs reports whether the store's entry of this instance equals own.
func (m *Members) ListedAs(own Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfListed == own
}

// Count returns the number of instances, including this one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}
