package rwserve

import (
	"context"
	"encoding/binary"
	"encoding/json"
	stderrors "errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwmove"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwwire"
)

const (
	exchangeFanout         = 5 // peers contacted per round
	maxHeardPerDigest      = 8
	maxSuspicionsPerDigest = 64
	listInterval           = 2 * time.Second
	suspicionFanout        = 3
	suspicionTimeout       = 200 * time.Millisecond
	minPeersForHeard       = 2 // reachable peers; with fewer, digests carry no Heard entries
)

// exchangeLoop starts a round of exchanges every rwmember.ExchangeInterval.
func (i *Instance) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(rwmember.ExchangeInterval)
	defer ticker.Stop()
	for {
		i.exchangeRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchangeRound exchanges digests with up to exchangeFanout random members. It
// stops waiting for slow peers after rwmember.ExchangeInterval.
func (i *Instance) exchangeRound(ctx context.Context) {
	members := i.view.Members()
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	var wg sync.WaitGroup
	for _, m := range members[:min(exchangeFanout, len(members))] {
		wg.Go(func() { i.exchange(ctx, m) })
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(rwmember.ExchangeInterval):
	}
}

// exchange sends this instance's digest to a member and applies the reply. A reply
// from an instance with another name is ignored.
func (i *Instance) exchange(ctx context.Context, m rwmember.Member) {
	ctx, cancel := context.WithTimeout(ctx, rwmember.ExchangeTimeout)
	defer cancel()
	start := time.Now()
	reply, err := i.peers.InstanceClient(m.Address).Exchange(ctx, i.digest())
	if stderrors.Is(err, syscall.ECONNREFUSED) {
		i.view.MarkDown(m.Name)
	}
	if err != nil || reply.Instance != m.Name {
		return
	}
	i.view.RecordAnswer(m.Name, reply.Incarnation, reply.Leaving, start)
	i.applyDigest(ctx, reply, m.Address)
}

// digest returns the state that this instance sends to its peers: the digest of its
// settings, loads, verdicts and evidence about version moves, suspicions, and when
// it last heard from other members.
func (i *Instance) digest() *rwwire.Digest {
	d := &rwwire.Digest{
		Instance:    i.Config.Name,
		Incarnation: i.incarnation,
		Leaving:     i.view.Leaving(),
		Away:        i.view.Away(),
		Settings:    i.settings.Tree().Digest(),
		Heard:       i.heardEntries(),
	}
	d.Loads = i.loadChanges.toSend(i.owner.Loads(), time.Now())
	for _, v := range i.mover.Verdicts() {
		d.Verdicts = append(d.Verdicts, verdictToWire(v))
	}
	d.Evidence = i.mover.EncodeOwnEvidence()
	known := i.suspicions.Known()
	for _, s := range known[:min(maxSuspicionsPerDigest, len(known))] {
		d.Suspicions = append(d.Suspicions, suspicionToWire(s))
	}
	return d
}

// sendSuspicion sends a suspicion at once to the instances that rank first as
// primary of copies of the request. The others receive it with their regular
// exchanges. A quarantine is also written to the platform.
func (i *Instance) sendSuspicion(id rwcursor.GenerationID, s rwpoison.Suspicion) {
	if s.Rejected() {
		go i.saveQuarantine(s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspicionTimeout)
	defer cancel()
	ranked := rwmember.Rank(rwmember.PlacementKey(id[:]), i.view.Live())
	d := i.digest()
	d.Suspicions = append(d.Suspicions, suspicionToWire(s))
	var wg sync.WaitGroup
	for _, name := range ranked[:min(suspicionFanout, len(ranked))] {
		if m, ok := i.view.Member(name); ok && name != i.Config.Name {
			wg.Go(func() { _, _ = i.peers.InstanceClient(m.Address).Exchange(ctx, d) })
		}
	}
	wg.Wait()
}

// sendServiceSuspicion is sendSuspicion for a call of a service. Any instance may run its
// repeats, so the instances are chosen by its fingerprint.
func (i *Instance) sendServiceSuspicion(s rwpoison.Suspicion) {
	var id rwcursor.GenerationID
	binary.BigEndian.PutUint64(id[:], uint64(s.Fingerprint))
	i.sendSuspicion(id, s)
}

func suspicionToWire(s rwpoison.Suspicion) *rwwire.Suspicion {
	return &rwwire.Suspicion{
		Fingerprint: uint64(s.Fingerprint), Servers: s.Servers, Losses: s.Losses, Cleared: s.Cleared, Completed: s.Completed, Quarantined: s.Quarantined,
	}
}

// heardEntries returns how long ago this instance heard from up to
// maxHeardPerDigest random reachable members. It returns nil outside the periodic
// heardWindow and while fewer than minPeersForHeard members are reachable.
func (i *Instance) heardEntries() []*rwwire.Heard {
	members := i.view.Reachable()
	if len(members) < minPeersForHeard || !inWindow(time.Now(), heardInterval, heardWindow) {
		return nil
	}
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	var all []*rwwire.Heard
	for _, m := range members[:min(maxHeardPerDigest, len(members))] {
		if m.Heard.IsZero() {
			continue
		}
		all = append(all, &rwwire.Heard{Instance: m.Name, Incarnation: m.Incarnation, Age: time.Since(m.Heard).Milliseconds()})
	}
	return all
}

// applyDigest applies a peer's digest. It fetches the settings from the peer's
// address if they differ.
func (i *Instance) applyDigest(ctx context.Context, d *rwwire.Digest, address string) {
	i.view.RecordAway(d.Instance, d.Away)
	i.slots.UpdateLoads(d.Loads)
	for _, h := range d.Heard {
		i.view.RecordIndirect(h.Instance, h.Incarnation, time.Duration(h.Age)*time.Millisecond)
	}
	i.applySuspicions(d)
	i.applyMoveState(d)
	if d.Settings != i.settings.Tree().Digest() {
		_ = i.settings.Fetch(ctx, address) // retried at the next exchange
	}
}

// applyMoveState applies the verdicts and the evidence about version moves.
func (i *Instance) applyMoveState(d *rwwire.Digest) {
	for _, v := range d.Verdicts {
		i.mover.AddVerdict(rwmove.Verdict{Move: v.Move, Begun: time.Unix(0, v.Begun).UTC(), Reason: v.Reason})
	}
	i.mover.SetPeerEvidence(d.Instance, d.Incarnation, d.Evidence)
}

func verdictToWire(v rwmove.Verdict) *rwwire.Verdict {
	return &rwwire.Verdict{Move: v.Move, Begun: v.Begun.UnixNano(), Reason: v.Reason}
}

// announceAway tells the other instances of the zone at once whether the platform answers
// this one, as that decides which of them watch the settings.
func (i *Instance) announceAway() {
	ctx, cancel := context.WithTimeout(context.Background(), rwmember.ExchangeTimeout)
	d := i.digest()
	var wg sync.WaitGroup
	for _, m := range i.view.Reachable() {
		if m.Zone == i.Config.Zone {
			wg.Go(func() { _, _ = i.peers.InstanceClient(m.Address).Exchange(ctx, d) })
		}
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}

// sendVerdict sends a verdict about a version move at once to all reachable
// instances.
func (i *Instance) sendVerdict(v rwmove.Verdict) {
	d := i.digest()
	d.Verdicts = append(d.Verdicts, verdictToWire(v))
	ctx, cancel := context.WithTimeout(context.Background(), rwmember.ExchangeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range i.view.Reachable() {
		wg.Go(func() { _, _ = i.peers.InstanceClient(m.Address).Exchange(ctx, d) })
	}
	wg.Wait()
}

func (i *Instance) applySuspicions(d *rwwire.Digest) {
	for _, s := range d.Suspicions {
		i.suspicions.Merge(rwpoison.Suspicion{
			Fingerprint: rwpoison.Fingerprint(s.Fingerprint), Servers: s.Servers, Losses: s.Losses, Cleared: s.Cleared, Completed: s.Completed, Quarantined: s.Quarantined,
		})
	}
}

// instanceSpec is the spec of an object of kind rwobject.KindInstances, by which
// the platform lists an instance.
type instanceSpec struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// instanceListLoop polls the platform's list of instances. An empty list is ignored.
func (i *Instance) instanceListLoop(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		objects, _, err := i.platform.List(ctx, rwobject.KindInstances)
		if err == nil && len(objects) > 0 {
			i.view.SetListed(peersOf(objects))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// peersOf returns the instances that the objects describe. It leaves out objects whose
// spec has no address or can't be parsed.
func peersOf(objects []rwobject.Object) []rwmember.Peer {
	var peers []rwmember.Peer
	for _, o := range objects {
		var entry instanceSpec
		if json.Unmarshal(o.Spec, &entry) == nil && entry.Address != "" {
			peers = append(peers, rwmember.Peer{Name: o.Metadata.Name, Address: entry.Address, Zone: entry.Zone})
		}
	}
	return peers
}
