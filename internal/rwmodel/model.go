// Package rwmodel implements a deterministic model. The stand-in engine runs it, and
// the load tool checks answers against it. The next token depends only on the name of
// the version and on all tokens so far. A generation that is continued from a prefix
// therefore gives the same tokens, and two versions give different answers.
package rwmodel

import (
	"encoding/binary"
	"fmt"

	"ragwortwall/internal/rwtoken"

	"github.com/cespare/xxhash/v2"
)

// Token IDs are in this order: whole words, the first UTF-8 byte of each Arabic letter,
// the second byte of each letter. A letter therefore spans two tokens.
const (
	wordCount    = 4096
	letterCount  = 36
	firstLeadID  = wordCount
	firstTrailID = wordCount + letterCount
	// Vocabulary is the number of tokens.
	Vocabulary = wordCount + 2*letterCount
	// bytesPerPromptToken is the number of bytes of text that a prompt token represents.
	bytesPerPromptToken = 4
	// meanTokensToEnd is the inverse of the probability that the answer ends after a token.
	meanTokensToEnd = 4096
)

// Tokenize returns the prompt tokens of a text.
func Tokenize(text string) []uint32 {
	var ids []uint32
	for len(text) > 0 {
		n := min(bytesPerPromptToken, len(text))
		ids = append(ids, uint32(xxhash.Sum64String(text[:n])%Vocabulary))
		text = text[n:]
	}
	return ids
}

// Text returns the bytes that a token represents.
func Text(id uint32) []byte {
	switch {
	case id >= firstTrailID:
		return []byte{arabicLetter(id - firstTrailID)[1]}
	case id >= firstLeadID:
		return []byte{arabicLetter(id - firstLeadID)[0]}
	default:
		return fmt.Appendf(nil, " w%x", id)
	}
}

// arabicLetter returns the two bytes in UTF-8 of a letter of the Arabic alphabet.
func arabicLetter(letter uint32) []byte {
	return []byte(string(rune(0x0621 + letter)))
}

// Generator generates tokens one by one. Its state is a hash of the version and all
// tokens so far.
type Generator struct {
	state uint64
	last  uint32
}

// NewGenerator returns a generator of a version's tokens that continues the given
// tokens.
func NewGenerator(version string, tokens []uint32) *Generator {
	g := &Generator{state: xxhash.Sum64String(version)}
	for _, id := range tokens {
		g.push(id)
	}
	return g
}

// push updates the state with the next token.
func (g *Generator) push(id uint32) {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], g.state)
	binary.LittleEndian.PutUint32(b[8:], id)
	g.state = xxhash.Sum64(b[:])
	g.last = id
}

// Ended reports whether the answer ends after the tokens so far. It never ends between
// the two bytes of a letter.
func (g *Generator) Ended() bool {
	return !isLeadByte(g.last) && g.state>>32%meanTokensToEnd == 0
}

// Next generates the next token.
func (g *Generator) Next() rwtoken.Token {
	id := uint32(g.state % (wordCount + letterCount))
	if isLeadByte(g.last) {
		id = g.last - firstLeadID + firstTrailID
	}
	g.push(id)
	return rwtoken.Token{ID: id, Text: Text(id)}
}

func isLeadByte(id uint32) bool { return id >= firstLeadID && id < firstTrailID }

// Answer returns the whole answer to a prompt: at most limit tokens, and the finish
// reason, "stop" or "length".
func Answer(version string, prompt []uint32, limit int) ([]rwtoken.Token, string) {
	generator := NewGenerator(version, prompt)
	var tokens []rwtoken.Token
	for len(tokens) < limit {
		if generator.Ended() {
			return tokens, "stop"
		}
		tokens = append(tokens, generator.Next())
	}
	return tokens, "length"
}
