package rwgateway

import (
	"testing"

	"ragwortwall/internal/rwerror"

	"github.com/stretchr/testify/require"
)

func TestParseCompletion(t *testing.T) {
	for name, c := range map[string]struct {
		body  string
		chat  bool
		valid bool
	}{
		"completion":         {`{"model":"m","prompt":"p","max_tokens":5}`, false, true},
		"chat":               {`{"model":"m","messages":[{"role":"user","content":"p"}]}`, true, true},
		"one stop":           {`{"model":"m","prompt":"p","stop":"x"}`, false, true},
		"broken JSON":        {`{"model":`, false, false},
		"no model":           {`{"prompt":"p"}`, false, false},
		"no prompt":          {`{"model":"m"}`, false, false},
		"list of prompts":    {`{"model":"m","prompt":["a","b"]}`, false, false},
		"no messages":        {`{"model":"m","prompt":"p"}`, true, false},
		"two answers":        {`{"model":"m","prompt":"p","n":2}`, false, false},
		"no tokens":          {`{"model":"m","prompt":"p","max_tokens":0}`, false, false},
		"too many tokens":    {`{"model":"m","prompt":"p","max_tokens":1000000}`, false, false},
		"empty stop":         {`{"model":"m","prompt":"p","stop":[""]}`, false, false},
		"stop of wrong type": {`{"model":"m","prompt":"p","stop":7}`, false, false},
		"mistyped field":     {`{"model":"m","prompt":"p","max_tokens":"5"}`, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseCompletion([]byte(c.body), c.chat)
			if c.valid {
				require.NoError(t, err)
				return
			}
			require.True(t, rwerror.Is(err, rwerror.KindInvalid), "%v", err)
			require.NotEmpty(t, rwerror.As(err).Remedy)
		})
	}
}

func TestFingerprint(t *testing.T) {
	parse := func(body string) uint64 {
		c, err := parseCompletion([]byte(body), false)
		require.NoError(t, err)
		return c.fingerprint(false, "o")
	}
	same := parse(`{"model":"m","prompt":"p","max_tokens":5}`)
	require.Equal(t, same, parse(`{ "max_tokens":5, "prompt":"p", "model":"m", "stream":true }`))
	require.NotEqual(t, same, parse(`{"model":"m","prompt":"q","max_tokens":5}`))
	require.NotEqual(t, same, parse(`{"model":"m","prompt":"p","max_tokens":6}`))
	require.NotEqual(t, same, parse(`{"model":"m","prompt":"p","max_tokens":5,"seed":1}`))
}

// FuzzCompletion checks that an invalid request body gets an error with a remedy, and that
// the fingerprint of a valid one depends on the organisation.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","stop":["a"],"max_tokens":5}`), false)
	f.Add([]byte(`{"model":"m","messages":[]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"p","stop":null,"logit_bias":{}}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := parseCompletion(body, chat)
		if err != nil {
			require.NotEmpty(t, rwerror.As(err).Remedy)
			return
		}
		_, err = c.stops()
		require.NoError(t, err)
		require.NotNil(t, c.samplingJSON())
		require.NotEqual(t, c.fingerprint(chat, "o"), c.fingerprint(chat, "another"))
	})
}
