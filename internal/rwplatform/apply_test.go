package rwplatform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwstandin"

	"github.com/stretchr/testify/require"
)

// lossyClient drops the responses of its first writes.
type lossyClient struct {
	*rwplatform.Client
	responsesToDrop int  // number of writes whose response is still to be dropped
	takesEffect     bool // whether a write with a dropped response takes effect
}

func (l *lossyClient) dropResponse(write func() (rwobject.Object, error)) (rwobject.Object, error) {
	if l.responsesToDrop == 0 {
		return write()
	}
	l.responsesToDrop--
	if l.takesEffect {
		if _, err := write(); err != nil {
			return rwobject.Object{}, err
		}
	}
	return rwobject.Object{}, rwerror.New(rwerror.KindUnavailable, "retry the call", "the response was lost").WithRan(rwerror.RanUnknown)
}

func (l *lossyClient) Create(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	return l.dropResponse(func() (rwobject.Object, error) { return l.Client.Create(ctx, o) })
}

func (l *lossyClient) Update(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	return l.dropResponse(func() (rwobject.Object, error) { return l.Client.Update(ctx, o) })
}

func newClient(t *testing.T) *rwplatform.Client {
	t.Helper()
	platform := &rwstandin.Platform{}
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return &rwplatform.Client{URL: server.URL, HTTP: server.Client(), Timeout: 10 * time.Second}
}

func newRecord(value string) rwobject.Object {
	return rwobject.New(rwobject.KindRecords, "a", map[string]string{"value": value})
}

// TestWriteConditionally guards against a write that is reported as failed or is
// repeated because its response was lost.
func TestWriteConditionally(t *testing.T) {
	for name, takesEffect := range map[string]bool{"that took effect": true, "that did not take effect": false} {
		t.Run("response lost of a write "+name, func(t *testing.T) {
			store := &lossyClient{Client: newClient(t), responsesToDrop: 2, takesEffect: takesEffect}
			created, err := rwplatform.WriteConditionally(t.Context(), store, newRecord("1"))
			require.NoError(t, err)
			store.responsesToDrop = 1
			updated, err := rwplatform.WriteConditionally(t.Context(), store, created.WithSpec(map[string]string{"value": "2"}))
			require.NoError(t, err)
			got, err := store.Get(t.Context(), rwobject.KindRecords, "a")
			require.NoError(t, err)
			require.JSONEq(t, `{"value":"2"}`, string(got.Spec))
			require.Equal(t, updated.Metadata.ResourceVersion, got.Metadata.ResourceVersion, "the object must be written once")
		})
	}
	t.Run("another writer was first", func(t *testing.T) {
		store := newClient(t)
		original, err := rwplatform.WriteConditionally(t.Context(), store, newRecord("1"))
		require.NoError(t, err)
		_, err = rwplatform.WriteConditionally(t.Context(), store, original.WithSpec(map[string]string{"value": "theirs"}))
		require.NoError(t, err)
		current, err := rwplatform.WriteConditionally(t.Context(), store, original.WithSpec(map[string]string{"value": "ours"}))
		require.True(t, rwerror.Is(err, rwerror.KindConflict), "%v", err)
		require.JSONEq(t, `{"value":"theirs"}`, string(current.Spec))
		_, err = rwplatform.WriteConditionally(t.Context(), store, newRecord("created again"))
		require.True(t, rwerror.Is(err, rwerror.KindConflict), "%v", err)
	})
	t.Run("platform unreachable", func(t *testing.T) {
		store := &rwplatform.Client{URL: "http://127.0.0.1:1", HTTP: newClient(t).HTTP, Timeout: time.Second}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := rwplatform.WriteConditionally(ctx, store, newRecord("1"))
		require.Error(t, err)
		require.Equal(t, rwerror.RanUnknown, rwerror.As(err).Ran)
	})
}
