package rwpeer

import (
	"slices"

	"ragwortwall/internal/rwusage"
)

// UsageReceiver handles what other instances say of usage; rwusage.Duty does.
type UsageReceiver interface {
	Receive(from string, life int64, m rwusage.Message)
	ReceiveAnswer(from string, a rwusage.Answer)
}

// SendUsage sends sums of requests to some instances.
func (x *Exchange) SendUsage(to []string, m rwusage.Message) {
	var members []Member
	for _, name := range to {
		if member, ok := x.Members.Get(name); ok {
			members = append(members, member)
		}
	}
	x.send(members, x.withSender(Notice{Usage: &m}))
}

// AnswerUsage answers an instance that sent sums.
func (x *Exchange) AnswerUsage(to string, a rwusage.Answer) {
	if member, ok := x.Members.Get(to); ok {
		x.send([]Member{member}, x.withSender(Notice{UsageAnswer: &a}))
	}
}

// UsageRank returns all instances, this one included, the largest first and those of equal
// memory by a hash of their names.
func (x *Exchange) UsageRank() []rwusage.Peer {
	all := append(x.Members.Others(), Member{Name: x.Self, Zone: x.Members.Zone, MemoryBytes: x.Members.Memory})
	slices.SortFunc(all, compareBySize)
	peers := make([]rwusage.Peer, len(all))
	for n, m := range all {
		peers[n] = rwusage.Peer{Name: m.Name, Zone: m.Zone}
	}
	return peers
}

// handleUsage hands on what a notice says of usage.
func (x *Exchange) handleUsage(n Notice) {
	if x.Usage == nil {
		return
	}
	if n.Usage != nil {
		x.Usage.Receive(n.From, n.Incarnation, *n.Usage)
	}
	if n.UsageAnswer != nil {
		x.Usage.ReceiveAnswer(n.From, *n.UsageAnswer)
	}
}
