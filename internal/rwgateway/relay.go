package rwgateway

import (
	"context"
	"io"
	"slices"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwtoken"
	"ragwortwall/internal/rwwire"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Limits of a relay. The primary sends a heartbeat every 300 ms.
const (
	primaryStallTimeout = 1200 * time.Millisecond
	targetRetryInterval = 100 * time.Millisecond
	handOverTimeout     = 8 * time.Second
	findTimeout         = 2500 * time.Millisecond
	maxRedirects        = 3
	maxTargets          = 5
)

// ChunkStream is a stream of chunks from a primary.
type ChunkStream interface {
	Recv() (*rwwire.Chunk, error)
	Close() error
}

// Primaries starts or joins generations at an instance, which may be this one.
type Primaries interface {
	Start(ctx context.Context, instance string, r *rwwire.StartRequest) (ChunkStream, error)
}

// relay receives one answer from its primary, keeps a copy and passes it to a handler.
type relay struct {
	spec      rwgeneration.Spec
	view      *rwmember.View
	primaries Primaries
	log       logr.Logger
	counters  *rwgeneration.Counters

	journal       *rwtoken.Journal // copy of the answer; nil until the primary has sent the run
	lineage       *rwwire.Lineage
	primary       string
	suspected     suspects
	setPrimary    func(primary string)
	isPrimaryHere func(id rwcursor.GenerationID) bool
	trySetPrimary func(primary string) bool
}

// handler receives what a relay reads. Its methods may block: the relay does not read
// meanwhile, so a slow caller causes backpressure at the primary.
type handler interface {
	// onAdmitted is called once a backend server has a slot for the generation.
	onAdmitted() error
	// onTokens is called with each piece of the answer, after it was added to the copy.
	onTokens(offset int, tokens []rwtoken.Token) error
	// onHeartbeat is called with each heartbeat.
	onHeartbeat() error
}

// callerError wraps an error of a handler: an error of the connection to the caller, or
// an rwerror.Error to be sent to the caller.
type callerError struct{ error }

// Unwrap returns the error of the handler.
func (e callerError) Unwrap() error { return e.error }

// run relays the answer to its end and returns how it ended. With resume the
// generation must already exist.
func (r *relay) run(ctx context.Context, resume bool, h handler) (rwtoken.Finish, error) {
	finish, err := r.start(ctx, resume, h)
	for err != nil {
		var caller callerError
		if errors.As(err, &caller) || ctx.Err() != nil {
			return rwtoken.Finish{}, err
		}
		if r.journal == nil {
			return rwtoken.Finish{Err: rwerror.As(err)}, nil
		}
		r.log.Info("primary lost", "primary", r.primary, "cause", err.Error())
		finish, err = r.recoverPrimary(ctx, h)
	}
	return *finish, nil
}

// start finds the primary and starts or joins the generation there.
func (r *relay) start(ctx context.Context, resume bool, h handler) (*rwtoken.Finish, error) {
	until := time.Now().Add(findTimeout)
	var last error
	for {
		for _, target := range r.targets(resume) {
			if !resume && !r.trySetPrimary(target) {
				target = r.view.Self().Name
			}
			finish, err := r.follow(ctx, target, r.request(resume), h)
			if err == nil && !isNotFound(finish) {
				return finish, nil
			}
			if err != nil && (r.journal != nil || ctx.Err() != nil) {
				return nil, err
			}
			last = firstError(finish, err)
			if err != nil {
				r.suspected.add(target)
			}
		}
		if !time.Now().Before(until) || last == nil {
			return nil, r.notFoundError(resume, last)
		}
		clear(r.suspected)
		if !rwtime.Sleep(ctx, targetRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// firstError returns err or, if it is nil, the error in finish, which must have one.
func firstError(finish *rwtoken.Finish, err error) error {
	if err != nil {
		return err
	}
	return finish.Err
}

// isNotFound reports whether the instance does not know the generation.
func isNotFound(finish *rwtoken.Finish) bool {
	return finish.Err != nil && finish.Err.Kind == rwerror.KindNotFound
}

// notFoundError returns the error for a caller whose generation no instance could start
// or, with resume, no instance has. last is the error of the last attempt, nil if none was
// made; it is ignored with resume.
func (r *relay) notFoundError(resume bool, last error) *rwerror.Error {
	if !resume {
		if last == nil {
			last = errors.New("no instance is available")
		}
		return rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
			"no instance could start the generation: %v", last).WithRetryAfter(time.Second)
	}
	return rwerror.New(rwerror.KindAnswerLost, "send the request again",
		"the answer is no longer stored: it ended some time ago, or all its copies were lost").WithRan(rwerror.RanYes)
}

// targets returns the instances to try, the most likely primary first. This instance
// comes first if it is the primary. Otherwise it comes last, and only for a resume or if
// there is no other, so that the primary's and the gateway's copy of an answer are at two
// instances.
func (r *relay) targets(resume bool) []string {
	self := r.view.Self().Name
	ranked := rwmember.Rank(placementKey(r.spec.ID), r.view.Live())
	ranked = slices.DeleteFunc(ranked, func(name string) bool { return name == self || r.suspected.has(name) })
	ranked = ranked[:min(maxTargets, len(ranked))]
	if r.journal == nil && r.isPrimaryHere(r.spec.ID) {
		return append([]string{self}, ranked...)
	}
	if len(ranked) == 0 || resume {
		ranked = append(ranked, self)
	}
	return ranked
}

// request returns a request for the answer from its start, or from the end of the copy.
func (r *relay) request(resume bool) *rwwire.StartRequest {
	q := &rwwire.StartRequest{Generation: r.spec.ToWire(), Resume: resume, Gateway: r.view.Self().Name}
	if r.journal != nil {
		count, digest, _ := r.journal.State()
		q.Offset = int32(count)
		q.Digest = uint64(digest)
	}
	return q
}

// recoverPrimary continues after the connection to the primary was lost: it reconnects
// once if the primary may be alive, then hands the copy over to another instance.
func (r *relay) recoverPrimary(ctx context.Context, h handler) (*rwtoken.Finish, error) {
	r.counters.Add("primarylost", 1)
	if !r.suspected.has(r.primary) && r.view.Alive(r.primary) {
		finish, err := r.follow(ctx, r.primary, r.request(true), h)
		if err == nil && !isNotFound(finish) {
			return finish, nil
		}
	}
	r.suspected.add(r.primary)
	return r.handOver(ctx, h)
}

// handOver sends the copy to a new primary. If that one already has the generation from
// another gateway, the two copies must match.
func (r *relay) handOver(ctx context.Context, h handler) (*rwtoken.Finish, error) {
	until := time.Now().Add(handOverTimeout)
	for {
		for _, target := range r.targets(false) {
			count, _, _ := r.journal.State()
			finish, err := r.follow(ctx, target, r.adoptionRequest(), h)
			if err == nil && !isNotFound(finish) {
				return finish, nil
			}
			if after, _, _ := r.journal.State(); err != nil && (after > count || ctx.Err() != nil) {
				return nil, err
			}
			if err != nil {
				var caller callerError
				if errors.As(err, &caller) {
					return nil, err
				}
				r.suspected.add(target)
			}
		}
		if !time.Now().Before(until) || !rwtime.Sleep(ctx, targetRetryInterval) {
			return &rwtoken.Finish{Err: r.notFoundError(true, nil)}, nil
		}
		clear(r.suspected)
	}
}

// adoptionRequest returns a request with the whole copy and its lineage, from which an
// instance can continue the generation as its new primary.
func (r *relay) adoptionRequest() *rwwire.StartRequest {
	q := r.request(false)
	count, _, _ := r.journal.State()
	tokens, _ := r.journal.Read(0, count)
	q.Lineage = r.lineage
	q.Journal = rwwire.PackTokens(tokens)
	return q
}

// follow reads the stream of an instance to its end and follows redirects to other
// instances. An error means that the instance or the caller was lost, or that the
// generation moves to another instance.
func (r *relay) follow(ctx context.Context, target string, q *rwwire.StartRequest, h handler) (*rwtoken.Finish, error) {
	for range maxRedirects {
		finish, next, err := r.followOnce(ctx, target, q, h)
		if err != nil || next == "" {
			return finish, err
		}
		target = next
	}
	return nil, errors.Errorf("too many redirects between instances")
}

// followOnce reads the stream of one instance to its end. If the instance redirects to
// another primary, it returns the name of that one as the second result and no finish.
func (r *relay) followOnce(ctx context.Context, target string, q *rwwire.StartRequest, h handler) (*rwtoken.Finish, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := time.AfterFunc(primaryStallTimeout, cancel)
	defer guard.Stop()
	r.setPrimary(target)
	stream, err := r.primaries.Start(ctx, target, q)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	defer stream.Close()
	for {
		guard.Reset(primaryStallTimeout)
		chunk, err := stream.Recv()
		guard.Stop()
		if err != nil {
			return nil, "", errors.Annotate(streamError(err), "the stream from the primary failed")
		}
		if chunk.Primary != "" {
			return nil, chunk.Primary, nil
		}
		finish, err := r.handleChunk(target, chunk, h)
		if finish != nil || err != nil {
			return finish, "", err
		}
		if chunk.Moved {
			r.suspected.add(target)
			return nil, "", errors.Errorf("the primary asked to move the generation to another instance")
		}
	}
}

// streamError replaces io.EOF with io.ErrUnexpectedEOF: a stream that ends before a
// chunk with Finish was cut.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// handleChunk appends the tokens of a chunk to the relay's copy of the answer, then
// passes them to the handler. It returns nil, nil while the answer continues.
func (r *relay) handleChunk(target string, chunk *rwwire.Chunk, h handler) (*rwtoken.Finish, error) {
	// The target refused the request or does not have the generation.
	if chunk.Finish != nil && chunk.Finish.Fault != nil && chunk.Lineage == nil && r.journal == nil {
		return &rwtoken.Finish{Err: chunk.Finish.Fault.ToError()}, nil
	}
	if chunk.Lineage != nil {
		if err := r.adoptLineage(target, chunk.Lineage, h); err != nil {
			return nil, err
		}
	}
	tokens, err := rwwire.UnpackTokens(chunk.Tokens)
	if err != nil {
		return nil, err
	}
	if len(tokens) > 0 {
		if err := r.appendTokens(int(chunk.Offset), tokens, h); err != nil {
			return nil, err
		}
	} else if err := h.onHeartbeat(); err != nil {
		return nil, callerError{err}
	}
	if chunk.Finish == nil {
		return nil, nil //nolint:nilnil // neither an end nor an error: the stream continues
	}
	finish := rwtoken.Finish{Reason: chunk.Finish.Reason, Err: chunk.Finish.Fault.ToError()}
	if r.journal != nil && finish.Err == nil {
		r.journal.End(finish)
	}
	return &finish, nil
}

// adoptLineage records the lineage and the primary that sent it, and creates the copy if
// there is none. It fails if the copy belongs to another run. Once the lineage names a
// backend server, the generation is admitted.
func (r *relay) adoptLineage(target string, lineage *rwwire.Lineage, h handler) error {
	r.lineage = lineage
	if r.journal == nil {
		r.journal = rwtoken.NewJournal(rwtoken.RunID(lineage.Run))
	}
	if r.journal.Run() != rwtoken.RunID(lineage.Run) {
		return rwerror.New(rwerror.KindAnswerLost, "send the request again with a new Idempotency-Key", "the primary runs another generation of this request")
	}
	r.primary = target
	if lineage.Server == "" {
		return nil
	}
	if err := h.onAdmitted(); err != nil {
		return callerError{err}
	}
	return nil
}

// appendTokens adds tokens to the copy, then passes them to the handler. offset must be
// the number of tokens in the copy.
func (r *relay) appendTokens(offset int, tokens []rwtoken.Token, h handler) error {
	if r.journal == nil {
		return errors.Errorf("received tokens before the lineage")
	}
	count, _, _ := r.journal.State()
	if offset != count {
		return errors.Errorf("received tokens at offset %d, expected offset %d", offset, count)
	}
	if err := r.journal.Append(offset, tokens...); err != nil {
		return err
	}
	if err := h.onTokens(offset, tokens); err != nil {
		return callerError{err}
	}
	return nil
}

// newCursor returns the cursor after the first offset tokens of an answer.
func newCursor(id rwcursor.GenerationID, run rwtoken.RunID, offset int, digest rwtoken.Digest) rwcursor.Cursor {
	return rwcursor.Cursor{ID: id, Run: run, Offset: offset, Digest: digest}
}
