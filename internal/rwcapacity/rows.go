package rwcapacity

import "math"

// Row is one line of the page's tables.
type Row struct {
	Role      string
	What      string
	Value     float64 // at the size
	Unit      string
	Budget    float64 // zero if there is none
	Mechanism string
	Basis     string // which slopes
}

// Holds reports whether the value is within the budget.
func (r Row) Holds() bool { return r.Budget == 0 || r.Value <= r.Budget }

const day = 24 * 60 * 60

// Control is what an instance spends when no request comes.
func Control(m Slopes, s Size) []Row {
	peers, owned := peersAt(s), s.Owned()
	core := m.PeersCore.Value(peers) + m.OwnedCore.Slope*owned + s.Changes/day*m.ApplyTime.Value(s.Organisations)
	bytes := m.PeersBytes.Value(peers) + m.OwnedBytes.Slope*owned
	memory := m.PeersMemory.Value(peers) + m.OwnedMemory.Slope*owned + m.TreeMemory.Value(s.Organisations)
	return []Row{
		{"all roles", "processor, control", core, "cores", Budget.Core, "digests with 5 random peers a round; a poll of each owned server", "peers, owned, apply"},
		{"all roles", "traffic, control", bytes, "bytes/s", Budget.Bytes, "digests carry changed loads, and rumours every second round", "peers, owned"},
		{"all roles", "messages, control", m.PeersMessages.Value(peers), "writes/s", 0, "one call a peer and round", "peers"},
		{"all roles", "memory, control", memory, "bytes", Budget.Memory, "members, loads and the settings tree", "peers, owned, tree"},
		{"settings", "time to apply a change", m.ApplyTime.Value(s.Organisations), "s", 3, "the whole tree is checked and indexed anew", "apply"},
	}
}

// Work is what an instance spends on requests.
func Work(m Slopes, s Size) []Row {
	streams := s.StreamsPerNode()
	return []Row{
		{"gateway, primary", "answers at once", streams, "answers", 0, "each counted at both", "Little's law"},
		{"gateway, primary", "processor, tokens", m.TokenCore * s.Tokens / s.Instances, "cores", 0, "one event a token and hop", "token"},
		{"gateway, primary", "memory, answers", m.StreamMemory / 2 * streams, "bytes", 0, "journals of token numbers and text", "stream"},
		{"gateway", "first token, p95", m.First, "s", Budget.First, "one call to the primary, one to the owner", "path, with the stand-in's prompt time"},
		{"gateway", "added between tokens, p95", m.AddedGap, "s", Budget.Gap, "two hops", "path"},
		{"primary", "resume after a kill, p95", m.ResumeKill, "s", Budget.Resume, "journal, suspects apart", "loss"},
		{"primary", "resume after a freeze, p95", m.ResumeFreeze, "s", Budget.Resume, "heartbeats and probes", "loss"},
		{"owner", "slot calls", 3 * s.Requests / s.Instances, "calls/s", 0, "acquire, renew, release", "arithmetic"},
	}
}

// Store is what the platform's API carries.
func Store(m Slopes, s Size) []Row {
	watchers := 2 * s.Zones
	reads := m.StoreCalls.Slope*s.Instances + watchers
	writes := m.OrderCalls*s.Orders + s.Changes/day + 1
	return []Row{
		{"store", "reads and waiting watches", reads, "calls/s", Budget.Reads, "each instance lists the instances every 2 s; two watchers a zone", "store"},
		{"store", "writes", writes, "calls/s", Budget.Writes, "group commit of orders, settings, one lease", "records"},
	}
}

// subtreeBytes is what one organisation adds to its team's subtree.
const subtreeBytes = 120

// Roles is what single instances carry beside the others.
func Roles(m Slopes, s Size) []Row {
	subtree := subtreeBytes * s.Organisations / s.Teams
	perSecond := s.Changes / day
	return []Row{
		{"watcher", "changes read", perSecond, "events/s", 0, "it pushes on only what the accepting instance's push missed", "arithmetic"},
		{"accepting instance", "pushes of one change", s.Instances - 1, "messages", 0, "one message an instance, at once", "arithmetic"},
		{"accepting instance", "traffic of one change", (s.Instances - 1) * subtree, "bytes", 0, "the changed subtree alone", "arithmetic"},
		{"all roles", "traffic of changes, sent and received, on average", 2 * perSecond * subtree, "bytes/s", Budget.Bytes, "each instance receives each change once", "arithmetic"},
		{"decider", "store calls", 2, "calls/s", 0, "one lease read and written each second while a move runs", "arithmetic"},
		{"decider", "evidence in memory", s.Instances * evidenceBytes, "bytes", Budget.Memory, "two versions an instance and move", "arithmetic"},
		{"holder of records", "keys in memory", keysHeld(s) * keyBytes / buckets, "bytes", Budget.Memory, "a key's place, for as long as its record is kept", "arithmetic"},
		{"holder of records", "commits", m.OrderCalls * s.Orders / buckets, "calls/s", 0, "groups of 125 ms, one bucket", "records"},
	}
}

const (
	evidenceBytes = 2 * 450 // of one instance and move
	keyBytes      = 100     // of one key in memory
	buckets       = 4       // of records
	bucketKeys    = 500_000 // kept at most, of one bucket
)

// keysHeld is how many keys of orders are known at once: those of a day, or as
// many as fit.
func keysHeld(s Size) float64 { return math.Min(s.Orders*day, buckets*bucketKeys) }

// Loss is what one kind of loss moves.
type Loss struct {
	What      string
	Instances float64 // lost
	Servers   float64 // lost
}

// Losses are the losses that the users' letter names.
func Losses(s Size) []Loss {
	return []Loss{
		{"an instance", 1, 0},
		{"a rack or switch (assumed 12 instances, 24 servers)", 12, 24},
		{"an availability zone", s.Instances / s.Zones, s.Servers / s.Zones},
		{"the other region (2 zones of 5)", s.Instances * 2 / s.Zones, s.Servers * 2 / s.Zones},
	}
}

// LossRow is a loss with what follows.
type LossRow struct {
	Loss

	Adopted    float64 // answers whose primary was lost
	Reconnects float64 // callers whose gateway was lost
	Resumed    float64 // answers whose engine was lost
	Recomputed float64 // prompt and answer tokens read again
	Peak       float64 // load of the survivors, as a multiple
	Both       float64 // answers that lose gateway and primary together
}

// After works out a loss. Gateways and primaries are spread evenly; the two of an
// answer are independent.
func After(s Size, l Loss) LossRow {
	streams := s.Streams()
	part := l.Instances / s.Instances
	engines := l.Servers / s.Servers
	half := s.Tokens / s.Requests / 2 // tokens of an answer so far, on average
	return LossRow{
		Loss:       l,
		Adopted:    streams * part,
		Reconnects: streams * part,
		Resumed:    streams * engines,
		Recomputed: streams * engines * (s.Prompt + half),
		Peak:       math.Max(1/(1-part), 1/(1-engines)),
		Both:       streams * part * part,
	}
}
