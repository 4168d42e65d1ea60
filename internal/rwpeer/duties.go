package rwpeer

import (
	"cmp"

	"ragwortwall/internal/rwduty"

	"github.com/cespare/xxhash/v2"
)

// AnnounceDuty tells the other instances who holds the lease of the duties. It implements
// rwduty.Announcer.
func (x *Exchange) AnnounceDuty(a rwduty.Announcement) {
	x.broadcast(x.withSender(Notice{Duty: &a}))
}

// handleDuty hands the announcement in a notice on. Only the holder itself announces.
func (x *Exchange) handleDuty(n Notice) {
	if x.HeardDuty != nil && n.Duty != nil && n.Duty.Holder == n.From {
		x.HeardDuty(*n.Duty)
	}
}

// DutyRank returns how many instances claim the duties before this one, of all that it knows
// but the named one: large instances come first, those of one size in the order of a hash.
func (m *Members) DutyRank(without string) int {
	self := Member{Name: m.Self, MemoryBytes: m.Memory}
	rank := 0
	for _, other := range m.Others() {
		if other.Name != without && compareForDuty(other, self) < 0 {
			rank++
		}
	}
	return rank
}

func compareForDuty(a, b Member) int {
	hash := func(m Member) uint64 { return xxhash.Sum64String("duty/" + m.Name) }
	return cmp.Or(cmp.Compare(b.MemoryBytes, a.MemoryBytes), cmp.Compare(hash(a), hash(b)))
}
