// Package rwmodel is the deterministic model that the stand-in engine runs and
// that the load tool checks answers against. The next token is a function of
// the version's name and of all tokens so far, so a continuation from a prefix
// gives the same rest, and two versions give different answers.
package rwmodel

import (
	"encoding/binary"
	"fmt"

	"ragwortwall/internal/rwtoken"

	"github.com/cespare/xxhash/v2"
)

// The vocabulary: whole words first, then the two halves of Arabic letters,
// each half a token of its own, so that letters span tokens.
const (
	words      = 4096
	letters    = 36
	leadStart  = words
	trailStart = words + letters
	// Vocabulary is the number of tokens.
	Vocabulary = words + 2*letters
	// promptBytes is how much text one prompt token stands for.
	promptBytes = 4
	// endOdds is the inverse chance that a token is followed by the end.
	endOdds = 4096
)

// Tokenize returns the prompt tokens of a text.
func Tokenize(text string) []uint32 {
	var ids []uint32
	for len(text) > 0 {
		n := min(promptBytes, len(text))
		ids = append(ids, uint32(xxhash.Sum64String(text[:n])%Vocabulary))
		text = text[n:]
	}
	return ids
}

// Text returns the bytes that a token stands for.
func Text(id uint32) []byte {
	switch {
	case id >= trailStart:
		return []byte{arabic(id - trailStart)[1]}
	case id >= leadStart:
		return []byte{arabic(id - leadStart)[0]}
	default:
		return fmt.Appendf(nil, " w%x", id)
	}
}

// arabic returns the two bytes of a letter of the Arabic alphabet.
func arabic(letter uint32) []byte {
	return []byte(string(rune(0x0621 + letter)))
}

// Chain generates tokens one by one.
type Chain struct {
	state uint64
	last  uint32
}

// NewChain returns the chain of a version after the given tokens.
func NewChain(version string, tokens []uint32) *Chain {
	c := &Chain{state: xxhash.Sum64String(version)}
	for _, id := range tokens {
		c.push(id)
	}
	return c
}

func (c *Chain) push(id uint32) {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], c.state)
	binary.LittleEndian.PutUint32(b[8:], id)
	c.state = xxhash.Sum64(b[:])
	c.last = id
}

// Ended reports whether the text so far is followed by the end.
func (c *Chain) Ended() bool {
	return !isLead(c.last) && c.state>>32%endOdds == 0
}

// Next generates the next token.
func (c *Chain) Next() rwtoken.Token {
	id := uint32(c.state % (words + letters))
	if isLead(c.last) {
		id = c.last - leadStart + trailStart
	}
	c.push(id)
	return rwtoken.Token{ID: id, Text: Text(id)}
}

func isLead(id uint32) bool { return id >= leadStart && id < trailStart }

// Answer returns the whole answer to a prompt: at most limit tokens, and the
// finish reason.
func Answer(version string, prompt []uint32, limit int) ([]rwtoken.Token, string) {
	chain := NewChain(version, prompt)
	var tokens []rwtoken.Token
	for len(tokens) < limit {
		if chain.Ended() {
			return tokens, "stop"
		}
		tokens = append(tokens, chain.Next())
	}
	return tokens, "length"
}
