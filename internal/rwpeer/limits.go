package rwpeer

import (
	"cmp"
	"slices"

	"ragwortwall/internal/rwlimit"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names of all instances, this one included, in the order of a hash of
// their names and the server.
func (x *Exchange) Rank(server string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	others := x.Members.Others()
	all := make([]ranked, 0, len(others)+1)
	add := func(name string) { all = append(all, ranked{name, xxhash.Sum64String("limit/" + server + "/" + name)}) }
	add(x.Self)
	for _, other := range others {
		add(other.Name)
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	names := make([]string, len(all))
	for n, r := range all {
		names[n] = r.name
	}
	return names
}

// Ask sends a question about a server's limit to an instance.
func (x *Exchange) Ask(instance string, a rwlimit.Ask) {
	if m, ok := x.Members.Get(instance); ok {
		x.send([]Member{m}, x.withSender(Notice{LimitAsk: &a}))
	}
}

// AnnounceLimits publishes findings on the limits of servers. Instances that miss them learn
// the limits from the servers.
func (x *Exchange) AnnounceLimits(findings []rwlimit.Finding) {
	x.broadcast(x.withSender(Notice{Limits: findings}))
}

// AskHeard asks all other instances which of the named ones they heard from lately.
func (x *Exchange) AskHeard(names []string) {
	x.broadcast(x.withSender(Notice{AskHeard: names}))
}

// handleLimits applies what a notice says of limits, and answers its question.
func (x *Exchange) handleLimits(n Notice) {
	if x.Limits == nil {
		return
	}
	x.Limits.Heard(n.From)
	for _, f := range n.Limits {
		x.Limits.Merge(f, n.From)
	}
	if n.LimitGrant != nil {
		x.Limits.HandleGrant(*n.LimitGrant)
	}
	x.Limits.HandleHeard(n.Heard)
	var answer Notice
	if len(n.AskHeard) > 0 {
		answer.Heard = x.Limits.HandleHeardQuestion(n.AskHeard)
	}
	if n.LimitAsk != nil {
		g := x.Limits.HandleAsk(n.From, *n.LimitAsk)
		answer.LimitGrant = &g
	}
	m, ok := x.Members.Get(n.From)
	if ok && (answer.LimitGrant != nil || len(answer.Heard) > 0) {
		x.send([]Member{m}, x.withSender(answer))
	}
}
