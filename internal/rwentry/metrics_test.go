package rwentry

import (
	"context"
	"net"
	"testing"

	"ragwortwall/internal/rwloopback"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// TestMetricsListenerFirst guards against instances that are ready before their metrics and state
// can be read, as the listener was opened by a goroutine that may run late under load.
func TestMetricsListenerFirst(t *testing.T) {
	i := &Instance{Settings: Settings{MetricsAddress: rwloopback.Address()}, Log: logr.Discard()}
	serve := i.listenMetrics()
	conn, err := net.Dial("tcp", i.Settings.MetricsAddress)
	require.NoError(t, err, "before metrics are served")
	require.NoError(t, conn.Close())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	serve(ctx)
	_, err = net.Dial("tcp", i.Settings.MetricsAddress)
	require.Error(t, err, "after the end")
}
