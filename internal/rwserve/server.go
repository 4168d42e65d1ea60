package rwserve

import (
	"context"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwwire"
)

// server handles RPCs from other instances.
type server struct {
	rwwire.DRPCInstanceUnimplementedServer

	instance *Instance
}

const (
	findTimeout            = 300 * time.Millisecond
	membershipChangeWindow = 10 * time.Minute // after a change of members, a generation may still run at its former primary
	maxFindPeers           = 2
)

// Start streams the chunks of a generation.
func (s *server) Start(r *rwwire.StartRequest, out rwwire.DRPCInstance_StartStream) error {
	return s.instance.serveStart(r, out)
}

// Find reports whether this instance knows a generation as its primary.
func (s *server) Find(_ context.Context, r *rwwire.FindRequest) (*rwwire.FindReply, error) {
	var id rwcursor.GenerationID
	copy(id[:], r.Id)
	_, found := s.instance.primary.Find(id)
	return &rwwire.FindReply{Found: found}, nil
}

// Claim binds an Idempotency-Key to the hash of a body.
func (s *server) Claim(_ context.Context, r *rwwire.ClaimRequest) (*rwwire.ClaimReply, error) {
	return &rwwire.ClaimReply{Mismatch: !s.instance.claims.bind(r.Key, r.Body)}, nil
}

// Acquire grants a slot at a backend server that this instance owns.
func (s *server) Acquire(ctx context.Context, r *rwwire.AcquireRequest) (*rwwire.AcquireReply, error) {
	return s.instance.owner.ServeAcquire(ctx, r), nil
}

// Renew renews and releases leases of slots.
func (s *server) Renew(_ context.Context, r *rwwire.RenewRequest) (*rwwire.RenewReply, error) {
	return s.instance.owner.ServeRenew(r), nil
}

// Exchange applies a digest and returns this instance's own, with the revisions of
// its settings if the peer asked for a full one.
func (s *server) Exchange(ctx context.Context, d *rwwire.Digest) (*rwwire.Digest, error) {
	i := s.instance
	i.view.RecordCall(d.Instance, d.Incarnation, d.Leaving)
	i.applySuspicions(d)
	i.applyMoveState(d)
	if m, ok := i.view.Member(d.Instance); ok {
		go i.applyDigest(context.WithoutCancel(ctx), d, m.Address)
	}
	reply := i.digest()
	if d.Full {
		reply.Revisions = i.settings.Revisions()
		reply.Full = true
	}
	return reply, nil
}

// Update exchanges settings with another instance.
func (s *server) Update(_ context.Context, r *rwwire.UpdateRequest) (*rwwire.UpdateReply, error) {
	return s.instance.settings.ServeUpdate(r), nil
}

// chunkSender is the sending side of a stream of chunks.
type chunkSender interface {
	Context() context.Context
	Send(c *rwwire.Chunk) error
}

// serveStart redirects the gateway to the primary of a generation, or serves the
// generation here.
func (i *Instance) serveStart(r *rwwire.StartRequest, out chunkSender) error {
	var id rwcursor.GenerationID
	copy(id[:], r.Generation.GetId())
	if _, found := i.primary.Find(id); found {
		return i.primary.Serve(r, out)
	}
	if primary, ok := i.gateway.PrimaryOf(id); ok && i.shouldRedirect(id, r, primary) {
		return out.Send(&rwwire.Chunk{Primary: primary})
	}
	if r.Resume {
		return i.primary.Serve(r, out)
	}
	if i.view.Leaving() {
		return out.Send(faultChunk(rwerror.New(rwerror.KindNotFound, "send the request to another instance", "this instance is shutting down")))
	}
	if r.Lineage == nil && r.Generation.GetKeyed() {
		if primary, ok := i.findAtPeers(out.Context(), r); ok {
			return out.Send(&rwwire.Chunk{Primary: primary})
		}
	}
	if primary, remote := i.startLocally(id, r); remote {
		return out.Send(&rwwire.Chunk{Primary: primary})
	}
	return i.primary.Serve(r, out)
}

// startLocally begins a generation here unless this instance's own gateway has sent a
// copy of the request to another primary, which it then returns. It holds the same
// lock as trySetPrimary, so that concurrent copies share one primary.
func (i *Instance) startLocally(id rwcursor.GenerationID, r *rwwire.StartRequest) (primary string, remote bool) {
	i.placementMu.Lock()
	defer i.placementMu.Unlock()
	primary, ok := i.gateway.PrimaryOfCopy(id)
	if ok && i.shouldRedirect(id, r, primary) && !i.primary.HasRequest(id) {
		return primary, true
	}
	_ = i.primary.EnsureStarted(r) // Serve gets the same error and reports it
	return "", false
}

// shouldRedirect reports whether to redirect another gateway to the primary that this
// instance's own gateway uses. For a new generation only the instance that ranks first
// redirects: if two instances redirected to each other, copies of the request would
// not share a primary.
func (i *Instance) shouldRedirect(id rwcursor.GenerationID, r *rwwire.StartRequest, primary string) bool {
	if primary == i.Config.Name || r.Gateway == i.Config.Name {
		return false
	}
	return r.Resume || rwmember.First(rwmember.PlacementKey(id[:]), i.view.Live()) == i.Config.Name
}

// trySetPrimary records the primary to which this instance's gateway sends a request.
// It returns false, and records nothing, if the primary is another instance while a
// copy of the request runs here.
func (i *Instance) trySetPrimary(id rwcursor.GenerationID, primary string) bool {
	i.placementMu.Lock()
	defer i.placementMu.Unlock()
	if primary != i.Config.Name && i.primary.HasRequest(id) {
		return false
	}
	i.gateway.SetPrimary(id, primary)
	return true
}

// faultChunk returns a final chunk that reports an error.
func faultChunk(e *rwerror.Error) *rwwire.Chunk {
	return &rwwire.Chunk{Finish: &rwwire.Finish{Fault: rwwire.NewFault(e)}}
}

// findAtPeers looks for a generation with an Idempotency-Key at up to maxFindPeers
// instances that rank highest for it, because one of them may have been its primary
// before the members changed.
func (i *Instance) findAtPeers(ctx context.Context, r *rwwire.StartRequest) (string, bool) {
	if !i.view.ChangedWithin(membershipChangeWindow) {
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
		if asked++; asked > maxFindPeers {
			break
		}
		reply, err := i.peers.InstanceClient(m.Address).Find(ctx, &rwwire.FindRequest{Id: r.Generation.Id})
		if err == nil && reply.Found {
			return name, true
		}
	}
	return "", false
}
