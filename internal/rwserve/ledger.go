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

// routedLedger routes the records of each bucket to one instance, chosen by
// rendezvous hashing, which commits them in groups.
type routedLedger struct {
	instance *Instance
	local    *rwonce.Ledger
}

// holder returns the instance that keeps the record of a key. It returns false if
// that is this instance or an unknown one.
func (l *routedLedger) holder(key string) (rwmember.Member, bool) {
	view := l.instance.view
	name := rwmember.First(rwmember.Key(fmt.Sprintf("bucket-%d", rwonce.BucketOf(key))), view.Live())
	if name == view.Self().Name {
		return rwmember.Member{}, false
	}
	return view.Member(name)
}

// Begin writes the record of a call before the call is sent. It reports whether the
// caller may send the call, or returns the recorded outcome of an earlier one. A
// nonce is valid for one attempt only: if the holder's reply is lost, the call is not
// sent.
func (l *routedLedger) Begin(ctx context.Context, c rwonce.Call, nonce string) (bool, *rwonce.Outcome, error) {
	holder, remote := l.holder(c.Key)
	if !remote {
		return l.local.Begin(ctx, c, nonce)
	}
	reply, err := l.sendRecord(ctx, holder, &rwwire.RecordRequest{Key: c.Key, Body: c.RequestDigest, Nonce: nonce, State: string(rwonce.StateSent)})
	if err != nil {
		if rwerror.Is(err, rwerror.KindUnavailable) {
			// The record may have been written, so record that the call was not sent.
			go func() { _ = l.End(context.WithoutCancel(ctx), c, nonce, rwonce.StateNotRun, rwonce.Outcome{}) }()
		}
		return false, nil, err
	}
	if reply.Status != 0 {
		return false, &rwonce.Outcome{Status: int(reply.Status), Type: reply.Type, Payload: reply.Payload}, nil
	}
	return reply.Ticket, nil, nil
}

// End records the state and the outcome of a call. Payloads above
// rwonce.MaxPayloadBytes are not sent to the holder.
func (l *routedLedger) End(ctx context.Context, c rwonce.Call, nonce string, state rwonce.State, outcome rwonce.Outcome) error {
	holder, remote := l.holder(c.Key)
	if !remote {
		return l.local.End(ctx, c, nonce, state, outcome)
	}
	if len(outcome.Payload) > rwonce.MaxPayloadBytes {
		outcome.Payload = nil
	}
	_, err := l.sendRecord(ctx, holder, &rwwire.RecordRequest{
		Key: c.Key, Body: c.RequestDigest, Nonce: nonce, State: string(state),
		Status: int32(outcome.Status), Type: outcome.Type, Payload: outcome.Payload,
	})
	return err
}

// sendRecord sends a record to its holder. It returns an error of KindUnavailable if
// the holder does not answer.
func (l *routedLedger) sendRecord(ctx context.Context, holder rwmember.Member, r *rwwire.RecordRequest) (*rwwire.RecordReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	reply, err := l.instance.peers.InstanceClient(holder.Address).Record(ctx, r)
	if err != nil {
		return nil, rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
			"the call was not run: instance %s, which stores its record, did not answer", holder.Name).WithRetryAfter(time.Second).WithCause(err)
	}
	if e := reply.Fault.ToError(); e != nil {
		return nil, e
	}
	return reply, nil
}

// Record handles a record that another instance routed to this one.
func (s *server) Record(ctx context.Context, r *rwwire.RecordRequest) (*rwwire.RecordReply, error) {
	call := rwonce.Call{Key: r.Key, RequestDigest: r.Body}
	ledger := s.instance.ledger.local
	if rwonce.State(r.State) != rwonce.StateSent {
		err := ledger.End(ctx, call, r.Nonce, rwonce.State(r.State), rwonce.Outcome{Status: int(r.Status), Type: r.Type, Payload: r.Payload})
		return &rwwire.RecordReply{Fault: wireFault(err)}, nil
	}
	ticket, outcome, err := ledger.Begin(ctx, call, r.Nonce)
	reply := &rwwire.RecordReply{Ticket: ticket, Fault: wireFault(err)}
	if outcome != nil {
		reply.Status = int32(outcome.Status)
		reply.Type = outcome.Type
		reply.Payload = outcome.Payload
	}
	return reply, nil
}

// wireFault converts an error for the reply, nil to nil.
func wireFault(err error) *rwwire.Fault {
	if err == nil {
		return nil
	}
	return rwwire.NewFault(rwerror.As(err))
}
