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

// Sizes in bytes.
const (
	idSize     = 16
	bodySize   = idSize + 8 + 4 + 8 // ID, run, offset, digest
	macSize    = 12                 // the HMAC is truncated
	cursorSize = bodySize + macSize
)

// GenerationID identifies a generation.
type GenerationID [idSize]byte

// Cursor is a position in an answer.
type Cursor struct {
	ID     GenerationID
	Run    rwtoken.RunID
	Offset int // number of tokens before the position
	Digest rwtoken.Digest
}

// Signer signs and verifies cursors with keys shared by all instances. It is safe for
// concurrent use.
type Signer struct {
	macPools []*sync.Pool // HMACs, one pool per key
}

// NewSigner returns a signer that signs with the first key and accepts signatures
// made with any key, so that keys can be rotated. At least one key is required to
// sign.
func NewSigner(keys ...[]byte) *Signer {
	s := &Signer{}
	for _, key := range keys {
		s.macPools = append(s.macPools, &sync.Pool{New: func() any { return hmac.New(sha256.New, key) }})
	}
	return s
}

// Sign returns the signed text form of a cursor for an organisation.
func (s *Signer) Sign(organisation string, c Cursor) string {
	var b [cursorSize]byte
	copy(b[:], c.ID[:])
	binary.LittleEndian.PutUint64(b[idSize:], uint64(c.Run))
	binary.LittleEndian.PutUint32(b[idSize+8:], uint32(c.Offset))
	binary.LittleEndian.PutUint64(b[idSize+12:], uint64(c.Digest))
	sum := computeMAC(s.macPools[0], organisation, b[:bodySize])
	copy(b[bodySize:], sum[:macSize])
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// Parse verifies the text form of a cursor for an organisation and decodes it. The
// error has KindInvalidCursor if the text is malformed or its signature doesn't match.
func (s *Signer) Parse(organisation, text string) (Cursor, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) != cursorSize {
		return Cursor{}, errInvalidCursor
	}
	for _, pool := range s.macPools {
		sum := computeMAC(pool, organisation, b[:bodySize])
		if hmac.Equal(sum[:macSize], b[bodySize:]) {
			return decode(b), nil
		}
	}
	return Cursor{}, errInvalidCursor
}

func decode(b []byte) Cursor {
	c := Cursor{
		Run:    rwtoken.RunID(binary.LittleEndian.Uint64(b[idSize:])),
		Offset: int(binary.LittleEndian.Uint32(b[idSize+8:])),
		Digest: rwtoken.Digest(binary.LittleEndian.Uint64(b[idSize+12:])),
	}
	copy(c.ID[:], b)
	return c
}

// computeMAC returns the HMAC of a cursor's body and of its organisation, which is not
// part of the cursor.
func computeMAC(pool *sync.Pool, organisation string, body []byte) [sha256.Size]byte {
	h := pool.Get().(hash.Hash)
	defer pool.Put(h)
	h.Reset()
	h.Write(body)
	h.Write([]byte(organisation))
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

var errInvalidCursor = rwerror.New(rwerror.KindInvalidCursor,
	"send the id of the last event you received, with the API key of the original request",
	"the cursor is malformed or was not issued to this organisation")
