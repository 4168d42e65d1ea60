package rwmember

import (
	"slices"
	"sync"
	"time"
)

// Failure detection timing. An instance stops granting slots when it has not
// reached a majority for FenceAfter. Another instance takes over only after
// DownAfter, which is longer, plus its own warm-up, so that two never act as owner
// at the same time.
const (
	ExchangeInterval = 400 * time.Millisecond
	ExchangeTimeout  = 600 * time.Millisecond
	FenceAfter       = 1200 * time.Millisecond
	DownAfter        = 1800 * time.Millisecond
)

// Peer is an instance as listed by the platform or in the process settings.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port for DRPC
	Zone    string `json:"zone"`
}

// Member is the state of another instance as this instance knows it.
type Member struct {
	Peer

	Incarnation uint64
	Leaving     bool
	Away        bool      // the platform does not answer it
	Heard       time.Time // when this or another instance last heard from it
	Reached     time.Time // start of the last call to it that was answered
	listed      bool      // in the platform's list
	configured  bool      // in the process settings, before the platform's list arrived
	added       time.Time // zero after MarkDown
}

// View is the set of members. It is safe for use by several goroutines.
type View struct {
	self Peer

	mu           sync.Mutex
	members      map[string]*Member
	leaving      bool
	away         bool
	membersKnown bool      // the platform's list has arrived, or the process settings name peers
	liveChanged  time.Time // when lastLive was set
	lastLive     []string  // last result of Live
}

// NewView returns the view of instance self, with the peers from its process
// settings. They count as members until the platform's list arrives.
func NewView(self Peer, peers []Peer) *View {
	v := &View{self: self, members: map[string]*Member{}, liveChanged: time.Now()}
	for _, p := range peers {
		if p.Name != self.Name {
			v.members[p.Name] = &Member{Peer: p, configured: true, added: time.Now()}
			v.membersKnown = true
		}
	}
	v.lastLive = v.liveLocked(time.Now())
	return v
}

// Self returns this instance.
func (v *View) Self() Peer { return v.self }

// SetListed replaces the listed members by the platform's list. It deletes the
// unlisted members that no instance has heard from for DownAfter.
func (v *View) SetListed(peers []Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.membersKnown = true
	for _, m := range v.members {
		m.listed = false
		m.configured = false
	}
	for _, p := range peers {
		if p.Name == v.self.Name {
			continue
		}
		m, ok := v.members[p.Name]
		if !ok {
			m = &Member{added: time.Now()}
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

// RecordAnswer records that a member answered a call of this instance that began at
// start.
func (v *View) RecordAnswer(name string, incarnation uint64, leaving bool, start time.Time) {
	v.recordContact(name, incarnation, leaving, start, start)
}

// RecordCall records that a member has just called this instance.
func (v *View) RecordCall(name string, incarnation uint64, leaving bool) {
	v.recordContact(name, incarnation, leaving, time.Now(), time.Time{})
}

// recordContact records what a member reported about itself, when it was last
// heard from, and when the call that reached it began; reached is zero if there
// was no such call.
func (v *View) recordContact(name string, incarnation uint64, leaving bool, heard, reached time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[name]
	if !ok {
		return
	}
	m.Incarnation = incarnation
	m.Leaving = leaving
	m.Heard = latest(m.Heard, heard)
	m.Reached = latest(m.Reached, reached)
}

// RecordIndirect records that another instance heard from this member age ago. A report
// about another incarnation is ignored.
func (v *View) RecordIndirect(name string, incarnation uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[name]
	if !ok || incarnation != m.Incarnation {
		return
	}
	m.Heard = latest(m.Heard, time.Now().Add(-age))
}

// MarkDown marks a member as down at once after a refused connection, which
// shows that its process is gone.
func (v *View) MarkDown(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m, ok := v.members[name]; ok {
		m.Heard = time.Time{}
		m.added = time.Time{}
	}
}

// MarkLeaving marks this instance as leaving, so that it takes no new work.
func (v *View) MarkLeaving() {
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

// MarkAway records whether the platform does not answer this instance. It reports whether
// that has changed.
func (v *View) MarkAway(away bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.away != away
	v.away = away
	return changed
}

// Away reports whether the platform does not answer this instance.
func (v *View) Away() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.away
}

// RecordAway records whether the platform does not answer a member, by its own word.
func (v *View) RecordAway(name string, away bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m, ok := v.members[name]; ok {
		m.Away = away
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// liveLocked is Live for callers that hold mu. It doesn't update lastLive.
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

// alive reports whether a member was heard from in the last DownAfter. A new member
// counts as alive for that long, so that it has time to answer.
func (m *Member) alive(now time.Time) bool {
	return now.Sub(latest(m.Heard, m.added)) < DownAfter
}

// Live returns the sorted names of members that take new work, with this instance
// unless it is leaving.
func (v *View) Live() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	live := v.liveLocked(time.Now())
	if !slices.Equal(live, v.lastLive) {
		v.lastLive = live
		v.liveChanged = time.Now()
	}
	return live
}

// Reachable returns all members that are alive, including leaving ones, without
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

// Alive reports whether a member is alive. This instance always is.
func (v *View) Alive(name string) bool {
	m, ok := v.Member(name)
	return ok && (name == v.self.Name || m.alive(time.Now()))
}

// ChangedWithin reports whether the result of Live changed in the last d.
func (v *View) ChangedWithin(d time.Duration) bool {
	v.Live() // updates liveChanged
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.liveChanged) < d
}

// HasMajority reports whether this instance, itself included, reached a majority of
// the members in the platform's list, or in the process settings before that list
// arrives, with calls that began less than FenceAfter ago. It is false for an instance
// that resumes after a pause, and for one that knows no members yet.
func (v *View) HasMajority() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.membersKnown {
		return false
	}
	total, reached := 1, 1
	now := time.Now()
	for _, m := range v.members {
		if !m.listed && !m.configured {
			continue
		}
		total++
		if now.Sub(m.Reached) < FenceAfter {
			reached++
		}
	}
	return 2*reached > total
}

// Watchers returns up to n live members of this instance's zone that watch the
// settings in the store. They are chosen by rendezvous hash, so all instances of the
// zone choose the same ones. Members that the platform does not answer are not chosen,
// unless it answers none.
func (v *View) Watchers(n int) []string {
	live := v.Live()
	v.mu.Lock()
	defer v.mu.Unlock()
	var zone, answered []string
	for _, name := range live {
		m := v.members[name]
		if name != v.self.Name && (m == nil || m.Zone != v.self.Zone) {
			continue
		}
		zone = append(zone, name)
		if name == v.self.Name && !v.away || m != nil && !m.Away {
			answered = append(answered, name)
		}
	}
	if len(answered) > 0 {
		zone = answered
	}
	ranked := Rank(Key("watch"), zone)
	return ranked[:min(n, len(ranked))]
}
