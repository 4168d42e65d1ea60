package rwcursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"sync"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtoken"
)

const (
	idBytes   = 16
	bodyBytes = idBytes + 8 + 4 + 8
	macBytes  = 12
	allBytes  = bodyBytes + macBytes
)

// ID is the identity of a generation.
type ID [idBytes]byte

// Cursor is a place in an answer.
type Cursor struct {
	ID     ID
	Run    rwtoken.Run
	Offset int // tokens
	Digest rwtoken.Digest
}

// Signer makes and checks cursors with a key shared by all instances. Earlier
// keys are still accepted. It is safe for use by several goroutines.
type Signer struct {
	pools []*sync.Pool
}

// NewSigner returns a signer that signs with the first key and accepts all.
func NewSigner(keys ...[]byte) *Signer {
	s := &Signer{}
	for _, key := range keys {
		s.pools = append(s.pools, &sync.Pool{New: func() any { return hmac.New(sha256.New, key) }})
	}
	return s
}

// Sign returns the text form of a cursor for an organisation.
func (s *Signer) Sign(organisation string, c Cursor) string {
	var b [allBytes]byte
	copy(b[:], c.ID[:])
	binary.LittleEndian.PutUint64(b[idBytes:], uint64(c.Run))
	binary.LittleEndian.PutUint32(b[idBytes+8:], uint32(c.Offset))
	binary.LittleEndian.PutUint64(b[idBytes+12:], uint64(c.Digest))
	sum := mac(s.pools[0], organisation, b[:bodyBytes])
	copy(b[bodyBytes:], sum[:macBytes])
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// Parse checks a cursor's text for an organisation.
func (s *Signer) Parse(organisation, text string) (Cursor, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) != allBytes {
		return Cursor{}, errForged
	}
	for _, pool := range s.pools {
		sum := mac(pool, organisation, b[:bodyBytes])
		if hmac.Equal(sum[:macBytes], b[bodyBytes:]) {
			return decode(b), nil
		}
	}
	return Cursor{}, errForged
}

func decode(b []byte) Cursor {
	c := Cursor{
		Run:    rwtoken.Run(binary.LittleEndian.Uint64(b[idBytes:])),
		Offset: int(binary.LittleEndian.Uint32(b[idBytes+8:])),
		Digest: rwtoken.Digest(binary.LittleEndian.Uint64(b[idBytes+12:])),
	}
	copy(c.ID[:], b)
	return c
}

func mac(pool *sync.Pool, organisation string, body []byte) [sha256.Size]byte {
	h := pool.Get().(hash.Hash)
	defer pool.Put(h)
	h.Reset()
	h.Write(body)
	h.Write([]byte(organisation))
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

var errForged = rwerror.New(rwerror.KindCursor,
	"send the id of the last event you received, with the API key that asked for the answer",
	"the cursor was not made for this organisation")
