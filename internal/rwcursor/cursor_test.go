package rwcursor

import (
	"testing"

	"ragwortwall/internal/rwerror"

	"github.com/stretchr/testify/require"
)

var (
	keyA = []byte("0123456789abcdef")
	keyB = []byte("fedcba9876543210")
)

// TestCursor checks which signatures and organisations Parse accepts.
func TestCursor(t *testing.T) {
	c := Cursor{ID: GenerationID{1, 2, 3}, Run: 7, Offset: 42, Digest: 99}
	text := NewSigner(keyA).Sign("team/coop", c)
	for name, test := range map[string]struct {
		signer       *Signer
		organisation string
		text         string
		valid        bool
	}{
		"signed with the current key": {NewSigner(keyA), "team/coop", text, true},
		"signed with an older key":    {NewSigner(keyB, keyA), "team/coop", text, true},
		"signed with a removed key":   {NewSigner(keyB), "team/coop", text, false},
		"another organisation":        {NewSigner(keyA), "team/other", text, false},
		"one character changed":       {NewSigner(keyA), "team/coop", "B" + text[1:], false},
		"truncated text":              {NewSigner(keyA), "team/coop", text[:len(text)-1], false},
		"not a cursor":                {NewSigner(keyA), "team/coop", "42", false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := test.signer.Parse(test.organisation, test.text)
			if test.valid {
				require.NoError(t, err)
				require.Equal(t, c, got)
				return
			}
			require.True(t, rwerror.Is(err, rwerror.KindInvalidCursor))
		})
	}
}

// FuzzParse checks that Parse accepts no text other than the one Sign returns, such as
// a second encoding of the same bytes.
func FuzzParse(f *testing.F) {
	signer := NewSigner(keyA)
	f.Add(signer.Sign("team/coop", Cursor{Offset: 1}))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := signer.Parse("team/coop", text)
		if err == nil {
			require.Equal(t, text, signer.Sign("team/coop", c), "Parse must accept only signed text")
		}
	})
}

func BenchmarkSign(b *testing.B) {
	signer := NewSigner(keyA)
	for b.Loop() {
		signer.Sign("team/coop", Cursor{Offset: 1})
	}
}
