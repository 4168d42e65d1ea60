package rwplatform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"

	"github.com/stretchr/testify/require"
)

// TestEndlessEvent guards against a platform that sends a line of a watch without end: an
// instance kept it all and ran out of memory.
func TestEndlessEvent(t *testing.T) {
	const maxGrowth = 64 << 20
	block := strings.Repeat("x", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for sent := 0; sent < 2*maxGrowth && r.Context().Err() == nil; sent += len(block) {
			_, _ = io.WriteString(w, block)
		}
	}))
	defer server.Close()
	client := &rwplatform.Client{URL: server.URL, HTTP: server.Client(), Timeout: 10 * time.Second}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	err := client.Watch(t.Context(), rwobject.KindSettings, "1", time.Second, func(rwobject.Event) error { return nil })
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxGrowth))
}
