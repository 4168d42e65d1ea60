package rwmember

import (
	"slices"
	"sync"
	"time"
)

// The times of failure detection. An instance stops granting slots when it has
// not reached a majority for fenceAfter; another takes its place only after
// downAfter, which is longer, and a warm-up of its own.
const (
	ExchangeInterval = 400 * time.Millisecond
	ExchangeTimeout  = 600 * time.Millisecond
	FenceAfter       = 1200 * time.Millisecond
	DownAfter        = 1800 * time.Millisecond
)

// Peer is an instance as the platform's list or the process settings name it.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"` // for drpc
	Zone    string `json:"zone"`
}

// Member is what this instance knows of an instance.
type Member struct {
	Peer

	Incarnation uint64
	Leaving     bool
	Heard       time.Time // when this or another instance last heard from it
	Reached     time.Time // when the last answered call to it began
	listed      bool
	static      bool
	since       time.Time
}

// View is the set of members. It is safe for use by several goroutines.
type View struct {
	self Peer

	mu       sync.Mutex
	members  map[string]*Member
	leaving  bool
	informed bool // the platform's list or the own settings named the members
	changed  time.Time
	lastLive []string
}

// NewView returns the view of an instance that knows the given peers from its
// own settings. These are kept until the platform's list arrives.
func NewView(self Peer, peers []Peer) *View {
	v := &View{self: self, members: map[string]*Member{}, changed: time.Now()}
	for _, p := range peers {
		if p.Name != self.Name {
			v.members[p.Name] = &Member{Peer: p, static: true, since: time.Now()}
			v.informed = true
		}
	}
	v.lastLive = v.liveLocked(time.Now())
	return v
}

// Self is this instance.
func (v *View) Self() Peer { return v.self }

// List takes in the platform's list. An instance that is gone from it is
// forgotten once nobody hears from it any more.
func (v *View) List(peers []Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.informed = true
	for _, m := range v.members {
		m.listed = false
		m.static = false
	}
	for _, p := range peers {
		if p.Name == v.self.Name {
			continue
		}
		m, ok := v.members[p.Name]
		if !ok {
			m = &Member{since: time.Now()}
			v.members[p.Name] = m
		}
		m.Peer = p
		m.listed = true
	}
	for name, m := range v.members {
		if !m.listed && time.Since(m.Heard) > DownAfter {
			delete(v.members, name)
		}
	}
}

// Reached notes that a call which began at start was answered.
func (v *View) Reached(name string, incarnation uint64, leaving bool, start time.Time) {
	v.hear(name, incarnation, leaving, start, start)
}

// Called notes that an instance called this one just now.
func (v *View) Called(name string, incarnation uint64, leaving bool) {
	v.hear(name, incarnation, leaving, time.Now(), time.Time{})
}

// hear notes what an instance told of itself, when it was heard, and when the
// call that reached it began, if there was one.
func (v *View) hear(name string, incarnation uint64, leaving bool, heard, reached time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[name]
	if !ok {
		return
	}
	m.Incarnation = incarnation
	m.Leaving = leaving
	m.Heard = later(m.Heard, heard)
	m.Reached = later(m.Reached, reached)
}

// Rumour notes that another instance heard from a third one some time ago.
func (v *View) Rumour(name string, incarnation uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[name]
	if !ok || incarnation != m.Incarnation {
		return
	}
	m.Heard = later(m.Heard, time.Now().Add(-age))
}

// Unreachable notes that a connection was refused: the process is gone.
func (v *View) Unreachable(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m, ok := v.members[name]; ok {
		m.Heard = time.Time{}
		m.since = time.Time{}
	}
}

// Leave marks this instance as leaving.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
}

// Leaving reports whether this instance is leaving.
func (v *View) Leaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// liveLocked returns the names of members that take new work, sorted.
func (v *View) liveLocked(now time.Time) []string {
	var names []string
	if !v.leaving {
		names = append(names, v.self.Name)
	}
	for name, m := range v.members {
		if !m.Leaving && m.alive(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// alive gives a member that was never heard from the time to answer once.
func (m *Member) alive(now time.Time) bool {
	return now.Sub(later(m.Heard, m.since)) < DownAfter
}

// Live returns the names of members that take new work, sorted.
func (v *View) Live() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	live := v.liveLocked(time.Now())
	if !slices.Equal(live, v.lastLive) {
		v.lastLive = live
		v.changed = time.Now()
	}
	return live
}

// Reachable returns all members that answer, leaving ones among them, without
// this instance.
func (v *View) Reachable() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Member
	for _, m := range v.members {
		if m.alive(time.Now()) {
			out = append(out, *m)
		}
	}
	sortMembers(out)
	return out
}

// Members returns all known members without this instance.
func (v *View) Members() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Member
	for _, m := range v.members {
		out = append(out, *m)
	}
	sortMembers(out)
	return out
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// Member returns a member by name.
func (v *View) Member(name string) (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if name == v.self.Name {
		return Member{Peer: v.self, Leaving: v.leaving}, true
	}
	m, ok := v.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Alive reports whether a member answers.
func (v *View) Alive(name string) bool {
	m, ok := v.Member(name)
	return ok && (name == v.self.Name || m.alive(time.Now()))
}

// ChangedWithin reports whether the set of live members changed in the last d.
func (v *View) ChangedWithin(d time.Duration) bool {
	v.Live()
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.changed) < d
}

// Majority reports whether this instance reached a majority of the listed
// members, itself counted, by calls that began less than FenceAfter ago. An
// instance that was paused finds, when it wakes, that it did not; one that knows
// of no list yet has none.
func (v *View) Majority() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.informed {
		return false
	}
	all, reached := 1, 1
	now := time.Now()
	for _, m := range v.members {
		if !m.listed && !m.static {
			continue
		}
		all++
		if now.Sub(m.Reached) < FenceAfter {
			reached++
		}
	}
	return 2*reached > all
}

// Watchers returns the first n live members of this instance's zone in an order
// that all instances agree on.
func (v *View) Watchers(n int) []string {
	live := v.Live()
	v.mu.Lock()
	defer v.mu.Unlock()
	var zone []string
	for _, name := range live {
		if name == v.self.Name || v.members[name] != nil && v.members[name].Zone == v.self.Zone {
			zone = append(zone, name)
		}
	}
	ranked := Rank(Key("watch"), zone)
	return ranked[:min(n, len(ranked))]
}
