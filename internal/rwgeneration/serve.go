package rwgeneration

import (
	"context"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtoken"
	"ragwortwall/internal/rwwire"
)

// ChunkSender is the stream of chunks to a gateway.
type ChunkSender interface {
	Context() context.Context
	Send(c *rwwire.Chunk) error
}

// Serve answers a gateway that starts, joins, resumes or hands over a
// generation, and streams it. Its errors are typed faults in the stream.
func (p *Primary) Serve(r *rwwire.StartRequest, out ChunkSender) error {
	g, err := p.find(out.Context(), r)
	if err != nil {
		return Refuse(err, out)
	}
	reader := g.attach(int(r.Offset), r.Gateway == p.Self)
	defer g.detach(reader)
	return p.stream(g, reader, int(r.Offset), out)
}

// find returns the generation that a gateway asks for and checks what it holds.
func (p *Primary) find(ctx context.Context, r *rwwire.StartRequest) (*Generation, error) {
	g, err := p.lookUp(r)
	if err != nil {
		return nil, err
	}
	return g, join(ctx, g.Journal, int(r.Offset), rwtoken.Digest(r.Digest))
}

// joinPatience is how long a reader that holds more than the journal waits for
// it: a new primary may still be reading the engine's stream up to there.
const joinPatience = 3 * time.Second

// join checks what a reader holds against the journal. A copy that differs, or
// that the journal does not reach, can't be gone on with.
func join(ctx context.Context, j *rwtoken.Journal, offset int, digest rwtoken.Digest) error {
	if offset == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinPatience)
	defer cancel()
	for {
		count, _, finish := j.State()
		if offset <= count {
			return j.Check(offset, digest)
		}
		if finish != nil {
			break
		}
		if _, _, err := j.Wait(ctx, count, 1); err != nil {
			break
		}
	}
	return rwerror.New(rwerror.KindAnswerLost, "ask anew under a new Idempotency-Key",
		"the rest of this answer is lost: the copy that survives is shorter").WithRan(rwerror.RanYes)
}

// Prepare begins the generation that a gateway asks for, unless it is here, so
// that from here on copies of the request find it.
func (p *Primary) Prepare(r *rwwire.StartRequest) error {
	_, err := p.lookUp(r)
	return err
}

// Refuse answers a gateway with an error.
func Refuse(err error, out ChunkSender) error {
	return out.Send(&rwwire.Chunk{Finish: &rwwire.Finish{Fault: rwwire.NewFault(rwerror.As(err))}})
}

func (p *Primary) lookUp(r *rwwire.StartRequest) (*Generation, error) {
	if r.Lineage != nil {
		tokens, err := rwwire.UnpackTokens(r.Journal)
		if err != nil {
			return nil, err
		}
		return p.Adopt(FromWire(r.Generation), rwtoken.Run(r.Lineage.Run), lineageFromWire(r.Lineage), tokens)
	}
	if !r.Resume {
		return p.Start(FromWire(r.Generation))
	}
	var id rwcursor.ID
	copy(id[:], r.Generation.GetId())
	g, ok := p.Find(id)
	if !ok || g.Spec.Organisation != r.Generation.GetOrganisation() {
		return nil, rwerror.New(rwerror.KindNotFound, "ask anew", "this instance does not know the generation")
	}
	return g, nil
}

func (p *Primary) stream(g *Generation, reader *reader, offset int, out ChunkSender) error {
	var sent Lineage
	first := true
	for {
		tokens, finish, err := waitBeat(out.Context(), g.Journal, offset)
		if err != nil {
			return err
		}
		caughtUp := len(tokens) < chunkTokens
		if reader.local && caughtUp && p.mustMove(g) {
			g.move()
		}
		// Read after the tokens, so that it is at least as new as they are.
		lineage, moved, _ := g.state()
		chunk := &rwwire.Chunk{Offset: int32(offset), Tokens: rwwire.PackTokens(tokens), Moved: moved && caughtUp && finish == nil}
		if first || changed(lineage, sent) {
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

// mustMove reports whether both copies of a running answer are at this instance.
// Its gateway then takes its own to another, which becomes the primary.
func (p *Primary) mustMove(g *Generation) bool {
	count, _, ended := g.Journal.State()
	return count > 0 && ended == nil && time.Since(g.begun) > settleTime && g.alone() && p.Others()
}

// settleTime is the least time that a generation stays where it was begun or
// taken over.
const settleTime = time.Second

func changed(a, b Lineage) bool {
	return a.Stream != b.Stream || len(a.Prompt) != len(b.Prompt)
}

// waitBeat waits for tokens or the end, but no longer than a heartbeat.
func waitBeat(ctx context.Context, j *rwtoken.Journal, offset int) ([]rwtoken.Token, *rwtoken.Finish, error) {
	beat, cancel := context.WithTimeout(ctx, heartbeat)
	defer cancel()
	tokens, finish, err := j.Wait(beat, offset, chunkTokens)
	if err != nil && ctx.Err() == nil {
		return nil, nil, nil
	}
	return tokens, finish, err
}
