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

// losing loses the answers of writes: they take effect, or do not.
type losing struct {
	*rwplatform.Client
	lost   int  // answers still to lose
	effect bool // the writes of lost answers take effect
}

func (l *losing) lose(write func() (rwobject.Object, error)) (rwobject.Object, error) {
	if l.lost == 0 {
		return write()
	}
	l.lost--
	if l.effect {
		if _, err := write(); err != nil {
			return rwobject.Object{}, err
		}
	}
	return rwobject.Object{}, rwerror.New(rwerror.KindUnavailable, "ask again", "the answer is lost").WithRan(rwerror.RanUnknown)
}

func (l *losing) Create(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	return l.lose(func() (rwobject.Object, error) { return l.Client.Create(ctx, o) })
}

func (l *losing) Update(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	return l.lose(func() (rwobject.Object, error) { return l.Client.Update(ctx, o) })
}

func client(t *testing.T) *rwplatform.Client {
	t.Helper()
	platform := &rwstandin.Platform{}
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return &rwplatform.Client{URL: server.URL, HTTP: server.Client(), Timeout: 10 * time.Second}
}

func object(value string) rwobject.Object {
	return rwobject.New(rwobject.KindRecords, "a", map[string]string{"value": value})
}

// TestApply: a write takes effect once, whatever becomes of its answers.
func TestApply(t *testing.T) {
	for name, effect := range map[string]bool{"that took effect": true, "that did not": false} {
		t.Run("answers lost of a write "+name, func(t *testing.T) {
			store := &losing{Client: client(t), lost: 2, effect: effect}
			made, err := rwplatform.Apply(t.Context(), store, object("1"))
			require.NoError(t, err)
			store.lost = 1
			next, err := rwplatform.Apply(t.Context(), store, made.WithSpec(map[string]string{"value": "2"}))
			require.NoError(t, err)
			got, err := store.Get(t.Context(), rwobject.KindRecords, "a")
			require.NoError(t, err)
			require.JSONEq(t, `{"value":"2"}`, string(got.Spec))
			require.Equal(t, next.Metadata.ResourceVersion, got.Metadata.ResourceVersion, "written once")
		})
	}
	t.Run("another writer was first", func(t *testing.T) {
		store := client(t)
		old, err := rwplatform.Apply(t.Context(), store, object("1"))
		require.NoError(t, err)
		_, err = rwplatform.Apply(t.Context(), store, old.WithSpec(map[string]string{"value": "theirs"}))
		require.NoError(t, err)
		current, err := rwplatform.Apply(t.Context(), store, old.WithSpec(map[string]string{"value": "ours"}))
		require.True(t, rwerror.Is(err, rwerror.KindConflict), "%v", err)
		require.JSONEq(t, `{"value":"theirs"}`, string(current.Spec))
		_, err = rwplatform.Apply(t.Context(), store, object("created again"))
		require.True(t, rwerror.Is(err, rwerror.KindConflict), "%v", err)
	})
	t.Run("no answer at all", func(t *testing.T) {
		store := &rwplatform.Client{URL: "http://127.0.0.1:1", HTTP: client(t).HTTP, Timeout: time.Second}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := rwplatform.Apply(ctx, store, object("1"))
		require.Error(t, err)
		require.Equal(t, rwerror.RanUnknown, rwerror.As(err).Ran)
	})
}
