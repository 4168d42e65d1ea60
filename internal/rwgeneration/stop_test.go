package rwgeneration

import (
	"strings"
	"testing"

	"ragwortwall/internal/rwtoken"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestStopMatcher compares with a search in the whole text, however the text is
// cut into tokens.
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
		want := text
		for _, s := range stops {
			if at := strings.Index(text, s); at >= 0 && at < len(want) {
				want = text[:at]
			}
		}
		require.Equal(t, want, got)
	})
}
