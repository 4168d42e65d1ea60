package rwjson_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwjson"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Zone string `json:"zone"`
}

type testSettings struct {
	Name  string            `json:"name"`
	Wait  rwjson.Duration   `json:"wait"`
	Inner *inner            `json:"inner"`
	Items []inner           `json:"items"`
	By    map[string]inner  `json:"by"`
	Free  json.RawMessage   `json:"free"`
	Words map[string]string `json:"words"`
	inner inner             //nolint:unused // a field without a JSON tag must be ignored
}

// TestUnmarshal checks that an error names the path of the wrong value and the remedy.
func TestUnmarshal(t *testing.T) {
	for name, c := range map[string]struct{ content, path, remedy string }{
		"unknown field":        {`{"nme": 1}`, "$.nme", "use one of by, free, inner"},
		"nested unknown field": {`{"by": {"x": {"zon": 1}}}`, "$.by.x.zon", "use one of zone"},
		"wrong type":           {`{"name": 7}`, "$.name", "write a string"},
		"wrong type in list":   {`{"items": [{"zone": "a"}, 7]}`, "$.items[1]", "write a object"},
		"list for object":      {`{"inner": []}`, "$.inner", "write a object"},
		"not a duration":       {`{"wait": "soon"}`, "$.wait", `"300ms"`},
		"number for duration":  {`{"wait": 3}`, "$.wait", `"300ms"`},
		"malformed JSON":       {`{`, "$", "correct"},
	} {
		t.Run(name, func(t *testing.T) {
			var s testSettings
			err := rwjson.Unmarshal([]byte(c.content), &s)
			require.True(t, rwerror.Is(err, rwerror.KindInvalid), "%v", err)
			require.Contains(t, err.Error(), c.path)
			require.Contains(t, err.Error(), c.remedy)
		})
	}
	t.Run("good", func(t *testing.T) {
		var s testSettings
		require.NoError(t, rwjson.Unmarshal([]byte(`{"name":"a","wait":"1.5s","inner":{"zone":"z"},"items":[{}],"free":{"x":[1]}}`), &s))
		require.Equal(t, 1500*time.Millisecond, s.Wait.Or(time.Second))
		require.Equal(t, "z", s.Inner.Zone)
	})
}

func ExampleDuration() {
	b, err := json.Marshal(rwjson.Duration(90 * time.Second))
	fmt.Println(string(b), err, rwjson.Duration(0).Or(time.Minute))
	// Output: "1m30s" <nil> 1m0s
}
