package rwtoken

import (
	"context"
	"encoding/binary"
	"sync"

	"ragwortwall/internal/rwerror"
)

// checkpointTokens is the number of tokens between two stored digests. Digests in
// between are recomputed from the preceding checkpoint.
const checkpointTokens = 64

// Finish is how a generation ended.
type Finish struct {
	Reason string         // OpenAI's finish_reason: "stop" or "length"
	Err    *rwerror.Error // set if the generation ended before its answer was complete
}

// Journal holds the tokens of one run in a compact encoding: a few bytes per token.
// It is safe for concurrent use by several readers and one writer.
type Journal struct {
	run RunID

	mu                  sync.Mutex
	data                []byte   // per token: uvarint ID, uvarint text length, text
	checkpointPositions []uint32 // offset in data of each checkpoint's first token
	checkpoints         []Digest // digest before each of these tokens
	count               int
	lastDigest          Digest
	finish              *Finish
	changed             chan struct{}
}

// NewJournal returns an empty journal for a run.
func NewJournal(run RunID) *Journal {
	return &Journal{run: run, lastDigest: run.InitialDigest(), changed: make(chan struct{})}
}

// Run returns the run whose tokens the journal holds.
func (j *Journal) Run() RunID { return j.run }

// Append adds tokens at an offset. Tokens that the journal already holds are skipped.
// An offset past the end is an error and adds nothing. An ended journal ignores all
// tokens.
func (j *Journal) Append(offset int, tokens ...Token) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset > j.count {
		return rwerror.New(rwerror.KindInternal, "append at the journal's end", "tokens at offset %d leave a gap after the first %d", offset, j.count)
	}
	if j.finish != nil {
		return nil
	}
	skip := min(j.count-offset, len(tokens))
	for _, t := range tokens[skip:] {
		j.appendLocked(t)
	}
	if skip < len(tokens) {
		j.signalLocked()
	}
	return nil
}

func (j *Journal) appendLocked(t Token) {
	if j.count%checkpointTokens == 0 {
		j.checkpointPositions = append(j.checkpointPositions, uint32(len(j.data)))
		j.checkpoints = append(j.checkpoints, j.lastDigest)
	}
	j.data = binary.AppendUvarint(j.data, uint64(t.ID))
	j.data = binary.AppendUvarint(j.data, uint64(len(t.Text)))
	j.data = append(j.data, t.Text...)
	j.lastDigest = j.lastDigest.Next(t)
	j.count++
}

func (j *Journal) signalLocked() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// End marks the run as ended. Calls after the first are ignored.
func (j *Journal) End(f Finish) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finish != nil {
		return
	}
	j.finish = &f
	j.signalLocked()
}

// State returns the number of tokens, the digest after the last one, and how the run
// ended, or nil if it has not ended.
func (j *Journal) State() (int, Digest, *Finish) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.count, j.lastDigest, j.finish
}

// MemoryBytes returns the memory allocated for the journal's tokens and checkpoints.
func (j *Journal) MemoryBytes() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return cap(j.data) + 4*cap(j.checkpointPositions) + 8*cap(j.checkpoints)
}

// Read returns at most limit tokens, starting at an offset. It also returns how the
// run ended if it has ended and no tokens follow these.
func (j *Journal) Read(offset, limit int) ([]Token, *Finish) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readLocked(offset, limit)
}

func (j *Journal) readLocked(offset, limit int) ([]Token, *Finish) {
	n := min(limit, j.count-offset)
	var tokens []Token
	if n > 0 {
		tokens = make([]Token, 0, n)
		j.walkLocked(offset, func(t Token) bool {
			tokens = append(tokens, t)
			return len(tokens) < n
		})
	}
	if offset+len(tokens) >= j.count {
		return tokens, j.finish
	}
	return tokens, nil
}

// walkLocked calls visit for each token, starting at an offset, until visit returns
// false. The token's text is a slice of the journal's data, which is append-only.
func (j *Journal) walkLocked(offset int, visit func(Token) bool) {
	checkpoint := offset / checkpointTokens
	position := int(j.checkpointPositions[checkpoint])
	for i := checkpoint * checkpointTokens; i < j.count; i++ {
		id, n := binary.Uvarint(j.data[position:])
		position += n
		length, n := binary.Uvarint(j.data[position:])
		position += n
		text := j.data[position : position+int(length) : position+int(length)]
		position += int(length)
		if i >= offset && !visit(Token{ID: uint32(id), Text: text}) {
			return
		}
	}
}

// ReadWait is like Read, but blocks until there is a token at the offset, the run has
// ended, or ctx is done. It returns ctx's error in the last case.
func (j *Journal) ReadWait(ctx context.Context, offset, limit int) ([]Token, *Finish, error) {
	for {
		j.mu.Lock()
		tokens, finish := j.readLocked(offset, limit)
		changed := j.changed
		j.mu.Unlock()
		if len(tokens) > 0 || finish != nil {
			return tokens, finish, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// DigestAt returns the digest after the first offset tokens, or false if the journal
// holds fewer tokens.
func (j *Journal) DigestAt(offset int) (Digest, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset < 0 || offset > j.count {
		return 0, false
	}
	if offset == j.count {
		return j.lastDigest, true
	}
	checkpoint := offset / checkpointTokens
	digest := j.checkpoints[checkpoint]
	at := checkpoint * checkpointTokens
	if at == offset {
		return digest, true
	}
	j.walkLocked(at, func(t Token) bool {
		digest = digest.Next(t)
		at++
		return at < offset
	})
	return digest, true
}

// VerifyDigest verifies that the journal matches another copy that has the given digest
// after offset tokens. The error has KindInvalidCursor if the journal holds fewer tokens,
// and KindAnswerLost if the digests differ.
func (j *Journal) VerifyDigest(offset int, digest Digest) error {
	have, ok := j.DigestAt(offset)
	if !ok {
		return rwerror.New(rwerror.KindInvalidCursor, "resume from the last event you received", "offset %d is past the end of the answer", offset)
	}
	if have != digest {
		return rwerror.New(rwerror.KindAnswerLost, "repeat the request with a new Idempotency-Key", "the rest of this answer is lost: the surviving copy differs").WithRan(rwerror.RanYes)
	}
	return nil
}
