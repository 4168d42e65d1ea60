package rwtoken

import (
	"flag"
	"testing"
	"unicode/utf8"

	"ragwortwall/internal/rwerror"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed makes the inputs reproducible; -rapid.seed on the command line
// overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func drawTokens(t *rapid.T, name string) []Token {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Token {
		return Token{ID: rapid.Uint32().Draw(t, "id"), Text: rapid.SliceOfN(rapid.Byte(), 0, 6).Draw(t, "text")}
	}), 0, 300).Draw(t, name)
}

// TestJournal checks a journal against a slice of tokens. The tokens are appended in
// pieces of random size that overlap with tokens already appended.
func TestJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := drawTokens(t, "tokens")
		j := NewJournal(7)
		for count, _, _ := j.State(); count < len(tokens); count, _, _ = j.State() {
			from := rapid.IntRange(0, count).Draw(t, "from")
			to := rapid.IntRange(count, len(tokens)).Draw(t, "to")
			require.NoError(t, j.Append(from, tokens[from:to]...))
		}
		digest := RunID(7).InitialDigest()
		for offset := range len(tokens) + 1 {
			have, ok := j.DigestAt(offset)
			require.True(t, ok)
			require.Equal(t, digest, have)
			if offset < len(tokens) {
				got, _ := j.Read(offset, 1)
				require.Equal(t, tokens[offset].ID, got[0].ID)
				require.Equal(t, string(tokens[offset].Text), string(got[0].Text))
				digest = digest.Next(tokens[offset])
			}
		}
	})
}

// TestJournalRefuses checks that a journal rejects tokens after a gap, ignores tokens
// after the end, and detects a copy of another run.
func TestJournalRefuses(t *testing.T) {
	j := NewJournal(1)
	require.Error(t, j.Append(1, Token{ID: 1}), "an append past the end must fail")
	require.NoError(t, j.Append(0, Token{ID: 1}, Token{ID: 2}))
	t.Run("digest of another run", func(t *testing.T) {
		other := NewJournal(2)
		require.NoError(t, other.Append(0, Token{ID: 1}, Token{ID: 2}))
		_, digest, _ := other.State()
		require.True(t, rwerror.Is(j.VerifyDigest(2, digest), rwerror.KindAnswerLost))
	})
	t.Run("offset past the last token", func(t *testing.T) {
		require.True(t, rwerror.Is(j.VerifyDigest(3, 0), rwerror.KindInvalidCursor))
	})
	t.Run("append after the run has ended", func(t *testing.T) {
		j.End(Finish{Reason: "stop"})
		require.NoError(t, j.Append(2, Token{ID: 3}))
		count, _, _ := j.State()
		require.Equal(t, 2, count, "an ended journal must ignore tokens")
	})
}

// TestCompletePrefixLen checks that the complete prefix of a string cut at any byte is
// valid UTF-8 and lacks at most one incomplete character.
func TestCompletePrefixLen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		n := CompletePrefixLen([]byte(text[:cut]))
		require.LessOrEqual(t, cut-n, utf8.UTFMax-1)
		require.True(t, utf8.ValidString(text[:n]))
	})
}

func BenchmarkAppend(b *testing.B) {
	j := NewJournal(1)
	token := Token{ID: 1234, Text: []byte(" word")}
	for n := 0; b.Loop(); n++ {
		_ = j.Append(n, token)
	}
}
