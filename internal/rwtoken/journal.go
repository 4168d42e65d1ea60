package rwtoken

import (
	"context"
	"encoding/binary"
	"sync"

	"ragwortwall/internal/rwerror"
)

// checkpointTokens is how many tokens lie between two stored digests. Digests
// in between are computed again from the checkpoint before.
const checkpointTokens = 64

// Finish says how a generation ended.
type Finish struct {
	Reason string         // OpenAI's finish_reason: "stop" or "length"
	Err    *rwerror.Error // set when the generation ended without a whole answer
}

// Journal holds the tokens of one run in a compact form: a few bytes a token.
// It is safe for several readers and one writer.
type Journal struct {
	run Run

	mu          sync.Mutex
	data        []byte   // per token: uvarint ID, uvarint text length, text
	marks       []uint32 // byte position of every checkpoint's first token
	checkpoints []Digest // digest before that token
	count       int
	last        Digest
	finish      *Finish
	changed     chan struct{}
}

// NewJournal returns the empty journal of a run.
func NewJournal(run Run) *Journal {
	return &Journal{run: run, last: run.First(), changed: make(chan struct{})}
}

// Run identifies the journal's lineage.
func (j *Journal) Run() Run { return j.run }

// Append adds tokens at an offset. Tokens that the journal holds already are
// passed over; a gap, or an offset past the end, is an error and adds nothing.
func (j *Journal) Append(offset int, tokens ...Token) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset > j.count {
		return rwerror.New(rwerror.KindInternal, "resume from the journal's end", "tokens at offset %d leave a gap after %d", offset, j.count)
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
		j.marks = append(j.marks, uint32(len(j.data)))
		j.checkpoints = append(j.checkpoints, j.last)
	}
	j.data = binary.AppendUvarint(j.data, uint64(t.ID))
	j.data = binary.AppendUvarint(j.data, uint64(len(t.Text)))
	j.data = append(j.data, t.Text...)
	j.last = j.last.Next(t)
	j.count++
}

func (j *Journal) signalLocked() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// End marks the run as ended. The first end stays; later ones are ignored.
func (j *Journal) End(f Finish) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finish != nil {
		return
	}
	j.finish = &f
	j.signalLocked()
}

// State returns the number of tokens, the digest after them, and how the run
// ended, or nil while it goes on.
func (j *Journal) State() (int, Digest, *Finish) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.count, j.last, j.finish
}

// Bytes is the memory that the journal's tokens take.
func (j *Journal) Bytes() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return cap(j.data) + 4*cap(j.marks) + 8*cap(j.checkpoints)
}

// Read returns at most limit tokens from an offset on, and the finish where the
// offset plus these tokens reaches the end of an ended run.
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

// walkLocked calls visit with each token from an offset on until visit returns
// false. The token's text is a view of the journal, which is never rewritten.
func (j *Journal) walkLocked(offset int, visit func(Token) bool) {
	mark := offset / checkpointTokens
	position := int(j.marks[mark])
	for i := mark * checkpointTokens; i < j.count; i++ {
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

// Wait returns as Read does, and waits for a token or the end when there is
// neither yet.
func (j *Journal) Wait(ctx context.Context, offset, limit int) ([]Token, *Finish, error) {
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

// DigestAt returns the digest after the first offset tokens, and false when the
// journal does not hold that many.
func (j *Journal) DigestAt(offset int) (Digest, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset < 0 || offset > j.count {
		return 0, false
	}
	if offset == j.count {
		return j.last, true
	}
	mark := offset / checkpointTokens
	digest := j.checkpoints[mark]
	at := mark * checkpointTokens
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

// Check returns nil when the journal agrees with another copy that had the
// given digest after offset tokens.
func (j *Journal) Check(offset int, digest Digest) error {
	have, ok := j.DigestAt(offset)
	if !ok {
		return rwerror.New(rwerror.KindCursor, "resume from the last event you received", "offset %d is past the end of the answer", offset)
	}
	if have != digest {
		return rwerror.New(rwerror.KindAnswerLost, "ask anew under a new Idempotency-Key", "the rest of this answer is lost: the copy that survives differs").WithRan(rwerror.RanYes)
	}
	return nil
}
