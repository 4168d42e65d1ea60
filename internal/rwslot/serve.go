package rwslot

import (
	"context"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwwire"
)

// ServeAcquire handles another instance's request for a slot.
func (o *Owner) ServeAcquire(ctx context.Context, r *rwwire.AcquireRequest) *rwwire.AcquireReply {
	pool, ok := o.Pool(r.Server)
	if !ok {
		return &rwwire.AcquireReply{Fault: rwwire.NewFault(rwerror.As(noOwnerError(r.Server)))}
	}
	err := pool.Acquire(ctx, Request{
		Lease: r.Lease, Holder: r.Holder, Organisation: r.Organisation, Weight: int(r.Weight),
		Priority: int(r.Priority), Tokens: int(r.Tokens), MaxWait: time.Duration(r.Patience) * time.Millisecond,
		Resumed: r.Resume, Fingerprint: r.Fingerprint, Suspect: r.Suspect,
		UntilDeadline: time.Duration(r.Left) * time.Millisecond,
	})
	reply := &rwwire.AcquireReply{Granted: err == nil, Load: ToWire(r.Server, pool.Load())}
	if err != nil {
		reply.Fault = rwwire.NewFault(rwerror.As(err))
	}
	return reply
}

// ServeRenew handles another instance's renewals and releases. The reply has the
// load of each server that they concern.
func (o *Owner) ServeRenew(r *rwwire.RenewRequest) *rwwire.RenewReply {
	touched := map[string]bool{}
	for _, l := range r.Leases {
		pool, ok := o.Pool(l.Server)
		if !ok {
			continue
		}
		pool.Renew(r.Holder, Lease{ID: l.Id, Organisation: l.Organisation, Tokens: int(l.Tokens), Fingerprint: l.Fingerprint, Suspect: l.Suspect})
		touched[l.Server] = true
	}
	for _, l := range r.Releases {
		o.ReleaseLease(l.Server, l.Id, r.Holder, Outcome(l.Outcome), time.Duration(l.Token)*time.Microsecond)
		touched[l.Server] = true
	}
	reply := &rwwire.RenewReply{}
	for server := range touched {
		if pool, ok := o.Pool(server); ok {
			reply.Loads = append(reply.Loads, ToWire(server, pool.Load()))
		}
	}
	return reply
}
