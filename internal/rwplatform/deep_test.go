package rwplatform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"

	"github.com/stretchr/testify/require"
)

// TestDeepObject guards against one object that is nested too deeply for encoding/json and hides
// all others of a list or a watch, for good.
func TestDeepObject(t *testing.T) {
	const depth = 10_001
	deep := `{"metadata":{"name":"deep"},"spec":{"x":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}}`
	good := `{"metadata":{"name":"good"},"spec":{"x":1}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			fmt.Fprintf(w, "{\"type\":\"ADDED\",\"object\":%s}\n{\"type\":\"ADDED\",\"object\":%s}\n", deep, good)
			return
		}
		fmt.Fprintf(w, `{"items":[%s,%s]}`, deep, good)
	}))
	defer server.Close()
	client := &rwplatform.Client{URL: server.URL, HTTP: server.Client(), Timeout: 10 * time.Second}
	objects, _, err := client.List(t.Context(), rwobject.KindSettings)
	require.NoError(t, err)
	var watched []rwobject.Object
	require.NoError(t, client.Watch(t.Context(), rwobject.KindSettings, "1", time.Second, func(e rwobject.Event) error {
		watched = append(watched, e.Object)
		return nil
	}))
	for _, all := range [][]rwobject.Object{objects, watched} {
		require.Len(t, all, 2)
		require.Equal(t, "deep", all[0].Metadata.Name)
		require.JSONEq(t, `{"x":1}`, string(all[1].Spec))
	}
}
