package rwwire

import (
	"testing"

	"ragwortwall/internal/rwtoken"

	"github.com/stretchr/testify/require"
)

// FuzzUnpack checks that UnpackTokens does not panic on malformed input, and that
// the tokens it accepts are unchanged after another encoding and decoding.
func FuzzUnpack(f *testing.F) {
	f.Add(PackTokens([]rwtoken.Token{{ID: 1, Text: []byte("a")}, {ID: 4200, Text: []byte{0xd8}}}))
	f.Add([]byte{})
	f.Add([]byte{1, 200})
	f.Fuzz(func(t *testing.T, b []byte) {
		tokens, err := UnpackTokens(b)
		if err != nil {
			return
		}
		decoded, err := UnpackTokens(PackTokens(tokens))
		require.NoError(t, err)
		require.Len(t, decoded, len(tokens))
		for i := range tokens {
			require.Equal(t, tokens[i].ID, decoded[i].ID)
			require.Equal(t, string(tokens[i].Text), string(decoded[i].Text))
		}
	})
}
