package rwcapacity

import "math"

// Row is one row of the page's tables.
type Row struct {
	Role      string
	Quantity  string
	Value     float64 // at the size that the table is for
	Unit      string
	Budget    float64 // upper limit of Value; zero if there is none
	Mechanism string
	Basis     string // the measurements that Value is computed from
}

// WithinBudget reports whether the value is within the budget. It is true if
// there is no budget.
func (r Row) WithinBudget() bool { return r.Budget == 0 || r.Value <= r.Budget }

const secondsPerDay = 24 * 60 * 60

// ControlRows returns what an instance uses without requests.
func ControlRows(m Measurements, s Size) []Row {
	peers, owned := peersPerRound(s), s.ServersPerInstance()
	core := m.PeersCore.Value(peers) + m.OwnedCore.Slope*owned + s.ChangesPerDay/secondsPerDay*m.ApplyTime.Value(s.Organisations)
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

// RequestRows returns what an instance uses for requests, and their latencies.
func RequestRows(m Measurements, s Size) []Row {
	streams := s.StreamsPerInstance()
	return []Row{
		{"gateway, primary", "answers at once", streams, "answers", 0, "each counted at both", "Little's law"},
		{"gateway, primary", "processor, tokens", m.TokenCoreSeconds * s.TokensPerSecond / s.Instances, "cores", 0, "one event a token and hop", "token"},
		{"gateway, primary", "memory, answers", m.StreamMemory / 2 * streams, "bytes", 0, "journals of token numbers and text", "stream"},
		{"gateway", "first token, p95", m.FirstTokenP95, "s", Budget.First, "one call to the primary, one to the owner", "path, with the stand-in's prompt time"},
		{"gateway", "added between tokens, p95", m.AddedGapP95, "s", Budget.Gap, "two hops", "path"},
		{"primary", "resume after a kill, p95", m.ResumeAfterKillP95, "s", Budget.Resume, "journal, suspects apart", "loss"},
		{"primary", "resume after a freeze, p95", m.ResumeAfterFreezeP95, "s", Budget.Resume, "heartbeats and probes", "loss"},
		{"owner", "slot calls", 3 * s.RequestsPerSecond / s.Instances, "calls/s", 0, "acquire, renew, release", "arithmetic"},
	}
}

// StoreRows returns the calls to the platform's API, which is the store.
func StoreRows(m Measurements, s Size) []Row {
	watchers := 2 * s.Zones
	reads := m.StoreCalls.Slope*s.Instances + watchers
	writes := m.OrderCalls*s.OrdersPerSecond + s.ChangesPerDay/secondsPerDay + 1
	return []Row{
		{"store", "reads and waiting watches", reads, "calls/s", Budget.Reads, "each instance lists the instances every 2 s; two watchers a zone", "store"},
		{"store", "writes", writes, "calls/s", Budget.Writes, "group commit of orders, settings, one lease", "records"},
	}
}

// subtreeBytes is the size that one organisation adds to its team's subtree of
// settings.
const subtreeBytes = 120

// RoleRows returns the load of roles that only some instances have.
func RoleRows(m Measurements, s Size) []Row {
	subtree := subtreeBytes * s.Organisations / s.Teams
	changesPerSecond := s.ChangesPerDay / secondsPerDay
	return []Row{
		{"watcher", "changes read", changesPerSecond, "events/s", 0, "it pushes on only what the accepting instance's push missed", "arithmetic"},
		{"accepting instance", "pushes of one change", s.Instances - 1, "messages", 0, "one message an instance, at once", "arithmetic"},
		{"accepting instance", "traffic of one change", (s.Instances - 1) * subtree, "bytes", 0, "the changed subtree alone", "arithmetic"},
		{"all roles", "traffic of changes, sent and received, on average", 2 * changesPerSecond * subtree, "bytes/s", Budget.Bytes, "each instance receives each change once", "arithmetic"},
		{"decider", "store calls", 2, "calls/s", 0, "one lease read and written each second while a move runs", "arithmetic"},
		{"decider", "evidence in memory", s.Instances * evidenceBytes, "bytes", Budget.Memory, "two versions an instance and move", "arithmetic"},
		{"holder of records", "keys in memory", keysInMemory(s) * keyBytes / recordBuckets, "bytes", Budget.Memory, "a key's place, for as long as its record is kept", "arithmetic"},
		{"holder of records", "commits", m.OrderCalls * s.OrdersPerSecond / recordBuckets, "calls/s", 0, "groups of 125 ms, one bucket", "records"},
	}
}

const (
	evidenceBytes = 2 * 450 // two versions of one instance, for one move
	keyBytes      = 100     // of one order's key in memory
	recordBuckets = 4       // of order records
	maxBucketKeys = 500_000 // in one bucket
)

// keysInMemory returns how many order keys are kept at once: those of one day, but
// at most as many as all buckets hold.
func keysInMemory(s Size) float64 {
	return math.Min(s.OrdersPerSecond*secondsPerDay, recordBuckets*maxBucketKeys)
}

// Loss is a simultaneous loss of instances and backend servers.
type Loss struct {
	Description string
	Instances   float64 // number lost
	Servers     float64 // number lost
}

// Losses returns the losses that the users' requirements name.
func Losses(s Size) []Loss {
	return []Loss{
		{"an instance", 1, 0},
		{"a rack or switch (assumed 12 instances, 24 servers)", 12, 24},
		{"an availability zone", s.Instances / s.Zones, s.Servers / s.Zones},
		{"the other region (2 zones of 5)", s.Instances * 2 / s.Zones, s.Servers * 2 / s.Zones},
	}
}

// LossEffect is a loss and its effect on the answers that run at the time.
type LossEffect struct {
	Loss

	Adopted          float64 // answers whose primary was lost
	Reconnects       float64 // callers whose gateway was lost
	Resumed          float64 // answers whose engine was lost
	RecomputedTokens float64 // prompt and answer tokens that engines prefill again
	SurvivorLoad     float64 // load of the remaining instances or servers, as a multiple of the load before
	LostBoth         float64 // answers that lose their gateway and their primary
}

// EffectOf computes the effect of a loss. It assumes that gateways and primaries
// are spread evenly and that the two of an answer are chosen independently.
func EffectOf(s Size, l Loss) LossEffect {
	streams := s.Streams()
	instanceShare := l.Instances / s.Instances
	serverShare := l.Servers / s.Servers
	generated := s.TokensPerSecond / s.RequestsPerSecond / 2 // tokens of an answer so far: half of it, on average
	return LossEffect{
		Loss:             l,
		Adopted:          streams * instanceShare,
		Reconnects:       streams * instanceShare,
		Resumed:          streams * serverShare,
		RecomputedTokens: streams * serverShare * (s.PromptTokens + generated),
		SurvivorLoad:     math.Max(1/(1-instanceShare), 1/(1-serverShare)),
		LostBoth:         streams * instanceShare * instanceShare,
	}
}
