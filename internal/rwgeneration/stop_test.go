package rwgeneration

import (
	"flag"
	"strings"
	"testing"

	"ragwortwall/internal/rwtoken"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed gives the same inputs on every run; -rapid.seed on the command line
// overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// TestStopMatcher compares the matcher with a search in the whole text, for random
// splits of the text into tokens.
func TestStopMatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 0, 60, -1).Draw(t, "text")
		stops := rapid.SliceOfN(rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 1, 4, -1), 1, 3).Draw(t, "stops")
		m := newStopMatcher(stops)
		got, stopped := "", false
		for rest := text; rest != "" && !stopped; {
			n := rapid.IntRange(1, min(3, len(rest))).Draw(t, "length")
			var ready []rwtoken.Token
			ready, stopped = m.push(rwtoken.Token{Text: []byte(rest[:n])})
			rest = rest[n:]
			for _, r := range ready {
				got += string(r.Text)
			}
		}
		if !stopped {
			for _, r := range m.flush() {
				got += string(r.Text)
			}
		}
		require.Equal(t, stoppedAt(text, stops), got)
	})
}

// stoppedAt returns the text up to the first stop sequence to end, found byte by byte.
// Of several that end at the same byte it removes the longest.
func stoppedAt(text string, stops []string) string {
	for end := range len(text) + 1 {
		cut := -1
		for _, s := range stops {
			if strings.HasSuffix(text[:end], s) {
				cut = max(cut, len(s))
			}
		}
		if cut >= 0 {
			return text[:end-cut]
		}
	}
	return text
}

// TestStopMatcherFirstComplete guards against choosing a stop sequence that starts
// earlier over one that ends earlier, which made the answer depend on how the text was
// split into tokens.
func TestStopMatcherFirstComplete(t *testing.T) {
	for _, tokens := range [][]string{{"ab", "b"}, {"a", "b", "b"}, {"abb"}} {
		m := newStopMatcher([]string{"abb", "b"})
		got := ""
		for _, text := range tokens {
			ready, stopped := m.push(rwtoken.Token{Text: []byte(text)})
			for _, r := range ready {
				got += string(r.Text)
			}
			if stopped {
				break
			}
		}
		require.Equal(t, "a", got, "%v", tokens)
	}
}
