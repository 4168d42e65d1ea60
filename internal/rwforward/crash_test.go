package rwforward

import (
	"net/http/httptest"
	"strings"
	"testing"

	"ragwortwall/internal/rwroute"

	"github.com/stretchr/testify/require"
)

// TestFingerprintAcrossRetries guards against requests that crash servers and are not
// recognised when they come again, because an id that is new each time was covered.
func TestFingerprintAcrossRetries(t *testing.T) {
	newCall := func(org, target, body string, info RequestInfo) *call {
		return &call{r: httptest.NewRequest("POST", target, strings.NewReader(body)), org: rwroute.Organisation{Name: org}, body: []byte(body), info: info}
	}
	first := newCall("team", "/drafts/1", "text", RequestInfo{ID: "a", LastPart: "p1"}).computeFingerprint()
	for name, c := range map[string]struct {
		again *call
		same  bool
	}{
		"new request id and part":   {newCall("team", "/drafts/1", "text", RequestInfo{ID: "b", LastPart: "p2"}), true},
		"resumed":                   {newCall("team", "/drafts/1", "text", RequestInfo{ID: "b", Cursor: 3, Resumed: true}), true},
		"another key of the caller": {newCall("team", "/drafts/1", "text", RequestInfo{ID: "b", Key: "k2"}), true},
		"other path":                {newCall("team", "/drafts/2", "text", RequestInfo{ID: "a"}), false},
		"other query":               {newCall("team", "/drafts/1?page=2", "text", RequestInfo{ID: "a"}), false},
		"other body":                {newCall("team", "/drafts/1", "other", RequestInfo{ID: "a"}), false},
		"other organisation":        {newCall("guild", "/drafts/1", "text", RequestInfo{ID: "a"}), false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.same, c.again.computeFingerprint() == first)
		})
	}
}
