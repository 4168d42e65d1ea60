package rwjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	"ragwortwall/internal/rwjson"

	"github.com/stretchr/testify/require"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

func TestPrune(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":1}`:                               `{"a":1}`,
		`[[1],{"b":[2,{"c":3}]}]`:               `[[1],{"b":null}]`,
		`{"a":"[[[[","b":{"c":"\"[[[","d":[]}}`: `{"a":"[[[[","b":{"c":"\"[[[","d":null}}`,
		`[[[]],[[[1]]],2]`:                      `[[null],[null],2]`,
		`[[[`:                                   `[[null`,
		`]]`:                                    `]]`,
		`"open`:                                 `"open`,
		`"open\`:                                `"open\`,
		``:                                      ``,
	} {
		require.Equal(t, want, string(rwjson.Prune([]byte(text), 2)), text)
	}
}

// TestPruneKeepsTheRest guards against a list that can't be decoded because one of its objects is
// nested too deeply for encoding/json.
func TestPruneKeepsTheRest(t *testing.T) {
	const limit = 10_000 // of encoding/json
	text := `{"items":[{"spec":` + nested(limit+1) + `},{"spec":7}]}`
	var list struct {
		Items []struct {
			Spec json.RawMessage `json:"spec"`
		} `json:"items"`
	}
	require.Error(t, json.Unmarshal([]byte(text), &list), "the case must be one that encoding/json rejects")
	require.NoError(t, json.Unmarshal(rwjson.Prune([]byte(text), 64), &list))
	require.Len(t, list.Items, 2)
	require.Equal(t, "7", string(list.Items[1].Spec))
}

func FuzzPrune(f *testing.F) {
	f.Add(`{"a":[[1,"]"],{"b":{}}]}`, 2)
	f.Fuzz(func(t *testing.T, text string, depth int) {
		depth = 1 + (depth&0xff)%32
		pruned := rwjson.Prune([]byte(text), depth)
		if json.Valid([]byte(text)) {
			require.True(t, json.Valid(pruned), "%q became %q", text, pruned)
			require.Equal(t, string(pruned), string(rwjson.Prune(pruned, depth)))
		}
	})
}
