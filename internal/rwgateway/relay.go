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

// The times of a relay. The primary sends a heartbeat each 300 ms.
const (
	primaryStall  = 1200 * time.Millisecond
	adoptPause    = 100 * time.Millisecond
	adoptPatience = 8 * time.Second
	findPatience  = 2500 * time.Millisecond
	redirectsMost = 3
	targetsMost   = 5
)

// ChunkStream is a stream of chunks from a primary.
type ChunkStream interface {
	Recv() (*rwwire.Chunk, error)
	Close() error
}

// Primaries reaches the primary at an instance, this one among them.
type Primaries interface {
	Start(ctx context.Context, instance string, r *rwwire.StartRequest) (ChunkStream, error)
}

// relay carries one answer from its primary to a caller and keeps a copy.
type relay struct {
	spec      rwgeneration.Spec
	view      *rwmember.View
	primaries Primaries
	log       logr.Logger
	counters  *rwgeneration.Counters

	journal   *rwtoken.Journal // nil until the primary has told the run
	lineage   *rwwire.Lineage
	primary   string
	suspected suspects
	noticed   func(primary string)
	here      func(id rwcursor.ID) bool
	sendAway  func(primary string) bool
}

// handler takes in what a relay receives. It may block: the relay reads no
// further meanwhile, and the primary notices that the caller reads slowly.
type handler interface {
	// admitted is called once a backend server has a slot for the generation.
	admitted() error
	// tokens is called with each piece, after it is in the copy.
	tokens(offset int, tokens []rwtoken.Token) error
	// idle is called with each heartbeat.
	idle() error
}

// errCaller wraps an error of the caller's own connection.
type errCaller struct{ error }

// Unwrap returns the error of the connection, or the refusal to the caller.
func (e errCaller) Unwrap() error { return e.error }

// run carries the answer until its end and returns how it ended. resume says
// that the generation must exist already.
func (r *relay) run(ctx context.Context, resume bool, h handler) (rwtoken.Finish, error) {
	finish, err := r.first(ctx, resume, h)
	for err != nil {
		var caller errCaller
		if errors.As(err, &caller) || ctx.Err() != nil {
			return rwtoken.Finish{}, err
		}
		if r.journal == nil {
			return rwtoken.Finish{Err: rwerror.As(err)}, nil
		}
		r.log.Info("primary lost", "primary", r.primary, "cause", err.Error())
		finish, err = r.again(ctx, h)
	}
	return *finish, nil
}

// first looks for the primary and begins, or only joins, the generation there.
func (r *relay) first(ctx context.Context, resume bool, h handler) (*rwtoken.Finish, error) {
	until := time.Now().Add(findPatience)
	var last error
	for {
		for _, target := range r.targets(resume) {
			if !resume && !r.sendAway(target) {
				target = r.view.Self().Name
			}
			finish, err := r.follow(ctx, target, r.request(resume), h)
			if err == nil && !notHere(finish) {
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
			return nil, r.notFound(resume, last)
		}
		clear(r.suspected)
		if !rwtime.Sleep(ctx, adoptPause) {
			return nil, ctx.Err()
		}
	}
}

func firstError(finish *rwtoken.Finish, err error) error {
	if err != nil {
		return err
	}
	return finish.Err
}

// notHere reports that the instance asked has nothing to do with the generation.
func notHere(finish *rwtoken.Finish) bool {
	return finish.Err != nil && finish.Err.Kind == rwerror.KindNotFound
}

func (r *relay) notFound(resume bool, last error) *rwerror.Error {
	if !resume {
		if last == nil {
			last = errors.New("no instance can run the generation")
		}
		return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"no instance could begin the generation: %v", last).WithRetryAfter(time.Second)
	}
	return rwerror.New(rwerror.KindAnswerLost, "ask anew",
		"the answer is no longer kept: it ended a while ago, or all its copies were lost").WithRan(rwerror.RanYes)
}

// targets lists the instances to ask, the likeliest first. This instance comes
// last, so that the two copies of an answer are at two instances, unless it is
// the primary already.
func (r *relay) targets(resume bool) []string {
	self := r.view.Self().Name
	ranked := rwmember.Rank(placement(r.spec.ID), r.view.Live())
	ranked = slices.DeleteFunc(ranked, func(name string) bool { return name == self || r.suspected.has(name) })
	ranked = ranked[:min(targetsMost, len(ranked))]
	if r.journal == nil && r.here(r.spec.ID) {
		return append([]string{self}, ranked...)
	}
	if len(ranked) == 0 || resume {
		ranked = append(ranked, self)
	}
	return ranked
}

// request asks for the answer from its beginning, or from the copy's end.
func (r *relay) request(resume bool) *rwwire.StartRequest {
	q := &rwwire.StartRequest{Generation: r.spec.ToWire(), Resume: resume, Gateway: r.view.Self().Name}
	if r.journal != nil {
		count, digest, _ := r.journal.State()
		q.Offset = int32(count)
		q.Digest = uint64(digest)
	}
	return q
}

// again goes on after the primary was lost: once more there if it may live, then
// by handing the copy to another instance.
func (r *relay) again(ctx context.Context, h handler) (*rwtoken.Finish, error) {
	r.counters.Add("primarylost", 1)
	if !r.suspected.has(r.primary) && r.view.Alive(r.primary) {
		finish, err := r.follow(ctx, r.primary, r.request(true), h)
		if err == nil && !notHere(finish) {
			return finish, nil
		}
	}
	r.suspected.add(r.primary)
	return r.handOver(ctx, h)
}

// handOver gives the copy to a new primary. Where that one has the generation
// already, from another gateway, the two copies must agree.
func (r *relay) handOver(ctx context.Context, h handler) (*rwtoken.Finish, error) {
	until := time.Now().Add(adoptPatience)
	for {
		for _, target := range r.targets(false) {
			count, _, _ := r.journal.State()
			finish, err := r.follow(ctx, target, r.adoption(), h)
			if err == nil && !notHere(finish) {
				return finish, nil
			}
			if after, _, _ := r.journal.State(); err != nil && (after > count || ctx.Err() != nil) {
				return nil, err
			}
			if err != nil {
				var caller errCaller
				if errors.As(err, &caller) {
					return nil, err
				}
				r.suspected.add(target)
			}
		}
		if !time.Now().Before(until) || !rwtime.Sleep(ctx, adoptPause) {
			return &rwtoken.Finish{Err: r.notFound(true, nil)}, nil
		}
		clear(r.suspected)
	}
}

func (r *relay) adoption() *rwwire.StartRequest {
	q := r.request(false)
	count, _, _ := r.journal.State()
	tokens, _ := r.journal.Read(0, count)
	q.Lineage = r.lineage
	q.Journal = rwwire.PackTokens(tokens)
	return q
}

// follow reads the stream of one instance to its end. Its error says that the
// instance, or the caller, was lost.
func (r *relay) follow(ctx context.Context, target string, q *rwwire.StartRequest, h handler) (*rwtoken.Finish, error) {
	for range redirectsMost {
		finish, next, err := r.followOnce(ctx, target, q, h)
		if err != nil || next == "" {
			return finish, err
		}
		target = next
	}
	return nil, errors.Errorf("instances send the generation to each other")
}

func (r *relay) followOnce(ctx context.Context, target string, q *rwwire.StartRequest, h handler) (*rwtoken.Finish, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := time.AfterFunc(primaryStall, cancel)
	defer guard.Stop()
	r.noticed(target)
	stream, err := r.primaries.Start(ctx, target, q)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	defer stream.Close()
	for {
		guard.Reset(primaryStall)
		chunk, err := stream.Recv()
		guard.Stop()
		if err != nil {
			return nil, "", errors.Annotate(lostCause(err), "the primary's stream broke")
		}
		if chunk.Primary != "" {
			return nil, chunk.Primary, nil
		}
		finish, err := r.take(target, chunk, h)
		if finish != nil || err != nil {
			return finish, "", err
		}
		if chunk.Moved {
			r.suspected.add(target)
			return nil, "", errors.Errorf("the primary is leaving")
		}
	}
}

func lostCause(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// take puts a chunk into the copy, then hands it on.
func (r *relay) take(target string, chunk *rwwire.Chunk, h handler) (*rwtoken.Finish, error) {
	if chunk.Finish != nil && chunk.Finish.Fault != nil && chunk.Lineage == nil && r.journal == nil {
		return &rwtoken.Finish{Err: chunk.Finish.Fault.Typed()}, nil
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
		if err := r.append(int(chunk.Offset), tokens, h); err != nil {
			return nil, err
		}
	} else if err := h.idle(); err != nil {
		return nil, errCaller{err}
	}
	if chunk.Finish == nil {
		return nil, nil //nolint:nilnil // neither an end nor an error: the stream goes on
	}
	finish := rwtoken.Finish{Reason: chunk.Finish.Reason, Err: chunk.Finish.Fault.Typed()}
	if r.journal != nil && finish.Err == nil {
		r.journal.End(finish)
	}
	return &finish, nil
}

func (r *relay) adoptLineage(target string, lineage *rwwire.Lineage, h handler) error {
	r.lineage = lineage
	if r.journal == nil {
		r.journal = rwtoken.NewJournal(rwtoken.Run(lineage.Run))
	}
	if r.journal.Run() != rwtoken.Run(lineage.Run) {
		return rwerror.New(rwerror.KindAnswerLost, "ask anew under a new Idempotency-Key", "the primary runs another generation of this request")
	}
	r.primary = target
	if lineage.Server == "" {
		return nil
	}
	if err := h.admitted(); err != nil {
		return errCaller{err}
	}
	return nil
}

func (r *relay) append(offset int, tokens []rwtoken.Token, h handler) error {
	if r.journal == nil {
		return errors.Errorf("tokens came before their lineage")
	}
	count, _, _ := r.journal.State()
	if offset != count {
		return errors.Errorf("tokens at offset %d where %d were due", offset, count)
	}
	if err := r.journal.Append(offset, tokens...); err != nil {
		return err
	}
	if err := h.tokens(offset, tokens); err != nil {
		return errCaller{err}
	}
	return nil
}

// cursorOf is the place after offset tokens of an answer.
func cursorOf(id rwcursor.ID, run rwtoken.Run, offset int, digest rwtoken.Digest) rwcursor.Cursor {
	return rwcursor.Cursor{ID: id, Run: run, Offset: offset, Digest: digest}
}
