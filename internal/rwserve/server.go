package rwserve

import (
	"context"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwwire"
)

// server answers other instances.
type server struct {
	rwwire.DRPCInstanceUnimplementedServer

	instance *Instance
}

const (
	findTimeout = 300 * time.Millisecond
	joinWindow  = 10 * time.Minute // after a change of the members, a running generation may be elsewhere
	findPeers   = 2
)

// Start streams a generation.
func (s *server) Start(r *rwwire.StartRequest, out rwwire.DRPCInstance_StartStream) error {
	return s.instance.serveStart(r, out)
}

// Find tells whether a generation is known here.
func (s *server) Find(_ context.Context, r *rwwire.FindRequest) (*rwwire.FindReply, error) {
	var id rwcursor.ID
	copy(id[:], r.Id)
	_, found := s.instance.primary.Find(id)
	return &rwwire.FindReply{Found: found}, nil
}

// Claim binds a key to a body.
func (s *server) Claim(_ context.Context, r *rwwire.ClaimRequest) (*rwwire.ClaimReply, error) {
	return &rwwire.ClaimReply{Mismatch: !s.instance.claims.take(r.Key, r.Body)}, nil
}

// Acquire gives out a slot.
func (s *server) Acquire(ctx context.Context, r *rwwire.AcquireRequest) (*rwwire.AcquireReply, error) {
	return s.instance.owner.ServeAcquire(ctx, r), nil
}

// Renew keeps leases and takes slots back.
func (s *server) Renew(_ context.Context, r *rwwire.RenewRequest) (*rwwire.RenewReply, error) {
	return s.instance.owner.ServeRenew(r), nil
}

// Exchange answers a digest with this instance's own.
func (s *server) Exchange(ctx context.Context, d *rwwire.Digest) (*rwwire.Digest, error) {
	i := s.instance
	i.view.Called(d.Instance, d.Incarnation, d.Leaving)
	i.learnSuspicions(d)
	i.learnMoves(d)
	if m, ok := i.view.Member(d.Instance); ok {
		go i.learn(context.WithoutCancel(ctx), d, m.Address)
	}
	reply := i.digest()
	if d.Full {
		reply.Revisions = i.settings.Revisions()
		reply.Full = true
	}
	return reply, nil
}

// Update takes in and gives out settings.
func (s *server) Update(_ context.Context, r *rwwire.UpdateRequest) (*rwwire.UpdateReply, error) {
	return s.instance.settings.ServeUpdate(r), nil
}

type chunkSender interface {
	Context() context.Context
	Send(c *rwwire.Chunk) error
}

// serveStart sends the gateway on to where the generation is, or serves it.
func (i *Instance) serveStart(r *rwwire.StartRequest, out chunkSender) error {
	var id rwcursor.ID
	copy(id[:], r.Generation.GetId())
	if _, here := i.primary.Find(id); here {
		return i.primary.Serve(r, out)
	}
	if primary, ok := i.gateway.PrimaryOf(id); ok && i.leadsOn(id, r, primary) {
		return out.Send(&rwwire.Chunk{Primary: primary})
	}
	if r.Resume {
		return i.primary.Serve(r, out)
	}
	if i.view.Leaving() {
		return out.Send(fault(rwerror.New(rwerror.KindNotFound, "ask another instance", "this instance is leaving")))
	}
	if r.Lineage == nil && r.Generation.GetKeyed() {
		if primary, ok := i.findElsewhere(out.Context(), r); ok {
			return out.Send(&rwwire.Chunk{Primary: primary})
		}
	}
	if primary, elsewhere := i.takeHere(id, r); elsewhere {
		return out.Send(&rwwire.Chunk{Primary: primary})
	}
	return i.primary.Serve(r, out)
}

// takeHere begins a generation here, unless this instance's own gateway has sent
// a copy of the request elsewhere. Both decisions are made under one lock: copies
// that arrive together meet at one primary.
func (i *Instance) takeHere(id rwcursor.ID, r *rwwire.StartRequest) (primary string, elsewhere bool) {
	i.route.Lock()
	defer i.route.Unlock()
	primary, ok := i.gateway.PrimaryOfCopy(id)
	if ok && i.leadsOn(id, r, primary) && !i.primary.Runs(id) {
		return primary, true
	}
	_ = i.primary.Prepare(r) // a refusal is found, and answered, by Serve
	return "", false
}

// leadsOn reports whether a gateway is to be sent on to the primary that this
// instance's own gateway uses. For a new generation only the instance that ranks
// first does so: were two to lead on to each other, copies would not meet.
func (i *Instance) leadsOn(id rwcursor.ID, r *rwwire.StartRequest, primary string) bool {
	if primary == i.Config.Name || r.Gateway == i.Config.Name {
		return false
	}
	return r.Resume || rwmember.First(rwmember.PlacementKey(id[:]), i.view.Live()) == i.Config.Name
}

// sendAway notes that this instance's gateway sends a request to another
// primary, unless a copy of it runs here.
func (i *Instance) sendAway(id rwcursor.ID, primary string) bool {
	i.route.Lock()
	defer i.route.Unlock()
	if primary != i.Config.Name && i.primary.Runs(id) {
		return false
	}
	i.gateway.NoticePrimary(id, primary)
	return true
}

func fault(e *rwerror.Error) *rwwire.Chunk {
	return &rwwire.Chunk{Finish: &rwwire.Finish{Fault: rwwire.NewFault(e)}}
}

// findElsewhere looks for a keyed generation at the instances that would have
// been its primary before the members changed.
func (i *Instance) findElsewhere(ctx context.Context, r *rwwire.StartRequest) (string, bool) {
	if !i.view.ChangedWithin(joinWindow) {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	asked := 0
	for _, name := range rwmember.Rank(rwmember.PlacementKey(r.Generation.Id), i.view.Live()) {
		m, ok := i.view.Member(name)
		if name == i.Config.Name || name == r.Gateway || !ok {
			continue
		}
		if asked++; asked > findPeers {
			break
		}
		reply, err := i.peers.Instance(m.Address).Find(ctx, &rwwire.FindRequest{Id: r.Generation.Id})
		if err == nil && reply.Found {
			return name, true
		}
	}
	return "", false
}
