package rwtoken

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token is one generated token: its number in the model's vocabulary and the
// bytes it stands for, which need not be whole UTF-8.
type Token struct {
	ID   uint32
	Text []byte
}

// Run identifies one generation's lineage of tokens. A generation that has to
// start over gets a new run.
type Run uint64

// Digest is a chained hash over a run and its first tokens.
type Digest uint64

// First is the digest of a run that has no tokens yet.
func (r Run) First() Digest {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r))
	return Digest(xxhash.Sum64(b[:]))
}

// Next is the digest after one more token.
func (d Digest) Next(t Token) Digest {
	var b [64]byte
	buf := binary.LittleEndian.AppendUint64(b[:0], uint64(d))
	buf = binary.LittleEndian.AppendUint32(buf, t.ID)
	buf = append(buf, t.Text...)
	return Digest(xxhash.Sum64(buf))
}
