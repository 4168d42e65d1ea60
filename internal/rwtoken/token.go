package rwtoken

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token is a generated token: its ID in the model's vocabulary and its bytes, which
// may end within a UTF-8 character.
type Token struct {
	ID   uint32
	Text []byte
}

// RunID identifies one sequence of generated tokens. A generation that has to start
// over gets a new run.
type RunID uint64

// Digest is a hash chain over a run and a prefix of its tokens. It is not
// cryptographic.
type Digest uint64

// InitialDigest returns the digest of a run before its first token.
func (r RunID) InitialDigest() Digest {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r))
	return Digest(xxhash.Sum64(b[:]))
}

// Next returns the digest after one more token.
func (d Digest) Next(t Token) Digest {
	var b [64]byte
	buf := binary.LittleEndian.AppendUint64(b[:0], uint64(d))
	buf = binary.LittleEndian.AppendUint32(buf, t.ID)
	buf = append(buf, t.Text...)
	return Digest(xxhash.Sum64(buf))
}
