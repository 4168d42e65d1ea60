package rwserve

import (
	"context"
	"fmt"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwonce"
	"ragwortwall/internal/rwwire"
)

const recordTimeout = 4 * time.Second

// routedLedger leads each bucket's records to one instance, which commits them
// in groups.
type routedLedger struct {
	instance *Instance
	here     *rwonce.Ledger
}

func (l *routedLedger) holder(key string) (rwmember.Member, bool) {
	view := l.instance.view
	name := rwmember.First(rwmember.Key(fmt.Sprintf("bucket-%d", rwonce.BucketOf(key))), view.Live())
	if name == view.Self().Name {
		return rwmember.Member{}, false
	}
	return view.Member(name)
}

// Begin writes the record of a call before it is sent. A nonce is used for one
// try only: when the holder's answer is lost, the call is not sent.
func (l *routedLedger) Begin(ctx context.Context, c rwonce.Call, nonce string) (bool, *rwonce.Outcome, error) {
	holder, remote := l.holder(c.Key)
	if !remote {
		return l.here.Begin(ctx, c, nonce)
	}
	reply, err := l.ask(ctx, holder, &rwwire.RecordRequest{Key: c.Key, Body: c.Body, Nonce: nonce, State: string(rwonce.StateSent)})
	if err != nil {
		if rwerror.Is(err, rwerror.KindUnavailable) {
			// The record may have been written: say that nobody will send the call.
			go func() { _ = l.End(context.WithoutCancel(ctx), c, nonce, rwonce.StateNotRun, rwonce.Outcome{}) }()
		}
		return false, nil, err
	}
	if reply.Status != 0 {
		return false, &rwonce.Outcome{Status: int(reply.Status), Type: reply.Type, Payload: reply.Payload}, nil
	}
	return reply.Ticket, nil, nil
}

// End writes how a call ended.
func (l *routedLedger) End(ctx context.Context, c rwonce.Call, nonce string, state rwonce.State, outcome rwonce.Outcome) error {
	holder, remote := l.holder(c.Key)
	if !remote {
		return l.here.End(ctx, c, nonce, state, outcome)
	}
	if len(outcome.Payload) > rwonce.PayloadMost {
		outcome.Payload = nil
	}
	_, err := l.ask(ctx, holder, &rwwire.RecordRequest{
		Key: c.Key, Body: c.Body, Nonce: nonce, State: string(state),
		Status: int32(outcome.Status), Type: outcome.Type, Payload: outcome.Payload,
	})
	return err
}

func (l *routedLedger) ask(ctx context.Context, holder rwmember.Member, r *rwwire.RecordRequest) (*rwwire.RecordReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	reply, err := l.instance.peers.Instance(holder.Address).Record(ctx, r)
	if err != nil {
		return nil, rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"the call was not run: instance %s, which keeps its record, did not answer", holder.Name).WithRetryAfter(time.Second).WithCause(err)
	}
	if e := reply.Fault.Typed(); e != nil {
		return nil, e
	}
	return reply, nil
}

// Record answers another instance for the records that are led here.
func (s *server) Record(ctx context.Context, r *rwwire.RecordRequest) (*rwwire.RecordReply, error) {
	call := rwonce.Call{Key: r.Key, Body: r.Body}
	ledger := s.instance.ledger.here
	if rwonce.State(r.State) != rwonce.StateSent {
		err := ledger.End(ctx, call, r.Nonce, rwonce.State(r.State), rwonce.Outcome{Status: int(r.Status), Type: r.Type, Payload: r.Payload})
		return &rwwire.RecordReply{Fault: faultOf(err)}, nil
	}
	ticket, outcome, err := ledger.Begin(ctx, call, r.Nonce)
	reply := &rwwire.RecordReply{Ticket: ticket, Fault: faultOf(err)}
	if outcome != nil {
		reply.Status = int32(outcome.Status)
		reply.Type = outcome.Type
		reply.Payload = outcome.Payload
	}
	return reply, nil
}

func faultOf(err error) *rwwire.Fault {
	if err == nil {
		return nil
	}
	return rwwire.NewFault(rwerror.As(err))
}
