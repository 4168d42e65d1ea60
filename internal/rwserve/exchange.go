package rwserve

import (
	"context"
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
	exchangePeers   = 5 // peers of one round
	heardMost       = 8
	suspicionsMost  = 64
	listInterval    = 2 * time.Second
	tellPeers       = 3
	tellTimeout     = 200 * time.Millisecond
	rumourWhenFewer = 2 // rumours are sent when there are this many peers or more
)

// exchangeLoop exchanges digests with peers.
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

func (i *Instance) exchangeRound(ctx context.Context) {
	members := i.view.Members()
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	var wait sync.WaitGroup
	for _, m := range members[:min(exchangePeers, len(members))] {
		wait.Go(func() { i.exchange(ctx, m) })
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(rwmember.ExchangeInterval):
	}
}

func (i *Instance) exchange(ctx context.Context, m rwmember.Member) {
	ctx, cancel := context.WithTimeout(ctx, rwmember.ExchangeTimeout)
	defer cancel()
	start := time.Now()
	reply, err := i.peers.Instance(m.Address).Exchange(ctx, i.digest())
	if stderrors.Is(err, syscall.ECONNREFUSED) {
		i.view.Unreachable(m.Name)
	}
	if err != nil || reply.Instance != m.Name {
		return
	}
	i.view.Reached(m.Name, reply.Incarnation, reply.Leaving, start)
	i.learn(ctx, reply, m.Address)
}

// digest is what this instance tells its peers.
func (i *Instance) digest() *rwwire.Digest {
	d := &rwwire.Digest{
		Instance:    i.Config.Name,
		Incarnation: i.incarnation,
		Leaving:     i.view.Leaving(),
		Settings:    i.settings.Tree().Digest(),
		Heard:       i.heard(),
	}
	d.Loads = i.fresh.loads(i.owner.Loads(), time.Now())
	for _, v := range i.mover.Verdicts() {
		d.Verdicts = append(d.Verdicts, verdictToWire(v))
	}
	d.Evidence = i.mover.Share()
	known := i.book.Known()
	for _, s := range known[:min(suspicionsMost, len(known))] {
		d.Suspicions = append(d.Suspicions, suspicionToWire(s))
	}
	return d
}

// tell hands a suspicion at once to the instances that rank first for copies of
// the request; the others learn it by their exchanges.
func (i *Instance) tell(id rwcursor.ID, s rwpoison.Suspicion) {
	if s.Quarantined {
		go i.saveQuarantine(s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	ranked := rwmember.Rank(rwmember.PlacementKey(id[:]), i.view.Live())
	d := i.digest()
	d.Suspicions = append(d.Suspicions, suspicionToWire(s))
	var wait sync.WaitGroup
	for _, name := range ranked[:min(tellPeers, len(ranked))] {
		if m, ok := i.view.Member(name); ok && name != i.Config.Name {
			wait.Go(func() { _, _ = i.peers.Instance(m.Address).Exchange(ctx, d) })
		}
	}
	wait.Wait()
}

func suspicionToWire(s rwpoison.Suspicion) *rwwire.Suspicion {
	return &rwwire.Suspicion{Fingerprint: uint64(s.Fingerprint), Servers: s.Servers, Cleared: s.Cleared, Quarantined: s.Quarantined}
}

// heard lists when this instance heard from some of the others.
func (i *Instance) heard() []*rwwire.Heard {
	members := i.view.Reachable()
	if len(members) < rumourWhenFewer || !inWindow(time.Now(), heardEvery, heardWindow) {
		return nil
	}
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	var all []*rwwire.Heard
	for _, m := range members[:min(heardMost, len(members))] {
		if m.Heard.IsZero() {
			continue
		}
		all = append(all, &rwwire.Heard{Instance: m.Name, Incarnation: m.Incarnation, Age: time.Since(m.Heard).Milliseconds()})
	}
	return all
}

// learn takes in a peer's digest.
func (i *Instance) learn(ctx context.Context, d *rwwire.Digest, address string) {
	i.slots.Learn(d.Loads)
	for _, h := range d.Heard {
		i.view.Rumour(h.Instance, h.Incarnation, time.Duration(h.Age)*time.Millisecond)
	}
	i.learnSuspicions(d)
	i.learnMoves(d)
	if d.Settings != i.settings.Tree().Digest() {
		_ = i.settings.Fetch(ctx, address) // tried again at the next exchange
	}
}

func (i *Instance) learnMoves(d *rwwire.Digest) {
	for _, v := range d.Verdicts {
		i.mover.Learn(rwmove.Verdict{Move: v.Move, Begun: time.Unix(0, v.Begun).UTC(), Reason: v.Reason})
	}
	i.mover.Take(d.Instance, d.Incarnation, d.Evidence)
}

func verdictToWire(v rwmove.Verdict) *rwwire.Verdict {
	return &rwwire.Verdict{Move: v.Move, Begun: v.Begun.UnixNano(), Reason: v.Reason}
}

// tellVerdict hands a verdict at once to all instances that answer.
func (i *Instance) tellVerdict(v rwmove.Verdict) {
	d := i.digest()
	d.Verdicts = append(d.Verdicts, verdictToWire(v))
	ctx, cancel := context.WithTimeout(context.Background(), rwmember.ExchangeTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range i.view.Reachable() {
		wait.Go(func() { _, _ = i.peers.Instance(m.Address).Exchange(ctx, d) })
	}
	wait.Wait()
}

func (i *Instance) learnSuspicions(d *rwwire.Digest) {
	for _, s := range d.Suspicions {
		i.book.Merge(rwpoison.Suspicion{Fingerprint: rwpoison.Fingerprint(s.Fingerprint), Servers: s.Servers, Cleared: s.Cleared, Quarantined: s.Quarantined})
	}
}

// listed is the spec of an entry of the platform's list of instances.
type listed struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// listLoop reads the platform's list of instances.
func (i *Instance) listLoop(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		objects, _, err := i.platform.List(ctx, rwobject.KindInstances)
		if err == nil && len(objects) > 0 {
			i.view.List(peersOf(objects))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func peersOf(objects []rwobject.Object) []rwmember.Peer {
	var peers []rwmember.Peer
	for _, o := range objects {
		var entry listed
		if json.Unmarshal(o.Spec, &entry) == nil && entry.Address != "" {
			peers = append(peers, rwmember.Peer{Name: o.Metadata.Name, Address: entry.Address, Zone: entry.Zone})
		}
	}
	return peers
}
