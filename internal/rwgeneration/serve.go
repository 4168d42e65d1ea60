package rwgeneration

import (
	"context"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtoken"
	"ragwortwall/internal/rwwire"
)

// ChunkSender sends chunks to a gateway.
type ChunkSender interface {
	Context() context.Context
	Send(c *rwwire.Chunk) error
}

// Serve handles the request of a gateway to start, join, resume or take over a
// generation, and streams the generation to it. Errors are sent in the stream, as
// typed faults.
func (p *Primary) Serve(r *rwwire.StartRequest, out ChunkSender) error {
	g, err := p.findAndCheck(out.Context(), r)
	if err != nil {
		return SendError(err, out)
	}
	reader := g.addReader(int(r.Offset), r.Gateway == p.Self)
	defer g.removeReader(reader)
	return p.stream(g, reader, int(r.Offset), out)
}

// findAndCheck returns the generation that a gateway requests, after checking the
// gateway's copy against its journal.
func (p *Primary) findAndCheck(ctx context.Context, r *rwwire.StartRequest) (*Generation, error) {
	g, err := p.findOrStart(r)
	if err != nil {
		return nil, err
	}
	return g, checkCopy(ctx, g.Journal, int(r.Offset), rwtoken.Digest(r.Digest))
}

// maxJoinWait is how long a reader whose copy is longer than the journal waits for it
// to catch up: a new primary may still be reading the engine's stream up to there.
const maxJoinWait = 3 * time.Second

// checkCopy checks a reader's copy against the journal. It returns an error if the
// copy differs, or if the journal does not reach the copy's end within maxJoinWait.
func checkCopy(ctx context.Context, j *rwtoken.Journal, offset int, digest rwtoken.Digest) error {
	if offset == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxJoinWait)
	defer cancel()
	for {
		count, _, finish := j.State()
		if offset <= count {
			return j.VerifyDigest(offset, digest)
		}
		if finish != nil {
			break
		}
		if _, _, err := j.ReadWait(ctx, count, 1); err != nil {
			break
		}
	}
	return rwerror.New(rwerror.KindAnswerLost, "send the request again with a new Idempotency-Key",
		"the rest of this answer is lost: the surviving copy is shorter").WithRan(rwerror.RanYes)
}

// EnsureStarted starts the generation that a gateway requests, unless it is here already,
// so that later copies of the request join it.
func (p *Primary) EnsureStarted(r *rwwire.StartRequest) error {
	_, err := p.findOrStart(r)
	return err
}

// SendError sends err to a gateway.
func SendError(err error, out ChunkSender) error {
	return out.Send(&rwwire.Chunk{Finish: &rwwire.Finish{Fault: rwwire.NewFault(rwerror.As(err))}})
}

// findOrStart takes over the generation if the request carries a gateway's copy. Else it
// finds the generation, and starts it if there is none and the request is not a resume.
func (p *Primary) findOrStart(r *rwwire.StartRequest) (*Generation, error) {
	if r.Lineage != nil {
		tokens, err := rwwire.UnpackTokens(r.Journal)
		if err != nil {
			return nil, err
		}
		return p.Adopt(SpecFromWire(r.Generation), rwtoken.RunID(r.Lineage.Run), lineageFromWire(r.Lineage), tokens)
	}
	if !r.Resume {
		return p.Start(SpecFromWire(r.Generation))
	}
	var id rwcursor.GenerationID
	copy(id[:], r.Generation.GetId())
	g, ok := p.Find(id)
	if !ok || g.Spec.Organisation != r.Generation.GetOrganisation() {
		return nil, rwerror.New(rwerror.KindNotFound, "send the request again", "the generation is not at this instance")
	}
	return g, nil
}

// stream sends tokens from offset on until the generation ends or moves. After
// heartbeatInterval without tokens it sends an empty chunk.
func (p *Primary) stream(g *Generation, reader *reader, offset int, out ChunkSender) error {
	var sent Lineage
	first := true
	for {
		tokens, finish, err := waitForTokens(out.Context(), g.Journal, offset)
		if err != nil {
			return err
		}
		caughtUp := len(tokens) < maxChunkTokens
		if reader.local && caughtUp && p.shouldMove(g) {
			g.startMove()
		}
		// Read after the tokens, so that it is at least as recent as they are.
		lineage, moved, _ := g.state()
		chunk := &rwwire.Chunk{Offset: int32(offset), Tokens: rwwire.PackTokens(tokens), Moved: moved && caughtUp && finish == nil}
		if first || lineageChanged(lineage, sent) {
			chunk.Lineage = lineage.toWire(uint64(g.Journal.Run()))
			sent = lineage
			first = false
		}
		if finish != nil {
			chunk.Finish = &rwwire.Finish{Reason: finish.Reason, Fault: rwwire.NewFault(finish.Err)}
		}
		if err := out.Send(chunk); err != nil {
			return err
		}
		offset += len(tokens)
		g.advance(reader, offset)
		if finish != nil || chunk.Moved {
			return nil
		}
	}
}

// shouldMove reports whether a running generation should move to another instance,
// because the primary's copy and all gateways' copies of it are at this one and would be
// lost together. The gateway then sends its copy to the new primary.
func (p *Primary) shouldMove(g *Generation) bool {
	count, _, ended := g.Journal.State()
	return count > 0 && ended == nil && time.Since(g.startedAt) > minTimeBeforeMove && g.onlyLocalReaders() && p.HasOtherInstances()
}

// minTimeBeforeMove is the minimum time that a generation stays at the instance that
// started it or took it over.
const minTimeBeforeMove = time.Second

func lineageChanged(a, b Lineage) bool {
	return a.Stream != b.Stream || len(a.Prompt) != len(b.Prompt)
}

// waitForTokens waits for tokens or the end of the journal, for at most
// heartbeatInterval.
func waitForTokens(ctx context.Context, j *rwtoken.Journal, offset int) ([]rwtoken.Token, *rwtoken.Finish, error) {
	waitCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	tokens, finish, err := j.ReadWait(waitCtx, offset, maxChunkTokens)
	if err != nil && ctx.Err() == nil {
		return nil, nil, nil
	}
	return tokens, finish, err
}
