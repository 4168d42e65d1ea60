package rwlab_test

import (
	"context"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"

	"github.com/stretchr/testify/require"
)

// TestProcesses guards against incomplete answers and orders that run twice when
// real processes fail under load: it kills an engine and an instance, and stops an
// engine and an instance with SIGSTOP for a while. The sleeps only separate the
// faults; no check depends on how long anything took.
func TestProcesses(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "ragwortwall/cmd/...").CombinedOutput()
	require.NoError(t, err, string(out))
	ctx := context.Background()
	fleet := &rwlab.Fleet{
		Bin: bin, Logs: t.TempDir(), Instances: 5, Zones: 3, Engines: 6, Services: 1, Capacity: 12,
		EngineArguments: []string{"--step", "15ms", "--per", "0s"},
	}
	require.NoError(t, fleet.Start(ctx))
	defer fleet.Stop()
	load := &rwload.Load{Options: rwload.Options{
		Targets: fleet.Targets(), APIKey: rwlab.CallerKey, Model: rwlab.Model, Requests: 60, Rate: 12, MaxTokens: 250,
		PromptBytes: 800, SharedPrefixShare: 0.8, SharedPrefixes: 5, Seed: 4, Timeout: time.Minute, RetryAfterRefusal: true, OrderShare: 0.3, OrderPath: "/orders/new",
	}}
	var running sync.WaitGroup
	var report rwload.Report
	running.Go(func() { report = load.Run(ctx) })
	for _, injectFault := range []func() error{
		func() error { return fleet.Kill("e1") },
		func() error { return fleet.Signal("e2", syscall.SIGSTOP) },
		func() error { return fleet.Kill("i1") },
		func() error { return fleet.Restart("i1") },
		func() error { return fleet.Signal("i2", syscall.SIGSTOP) },
		func() error { return fleet.Signal("e2", syscall.SIGCONT) },
		func() error { return fleet.Signal("i2", syscall.SIGCONT) },
	} {
		time.Sleep(700 * time.Millisecond)
		require.NoError(t, injectFault())
	}
	running.Wait()
	require.True(t, report.AllCorrect(), "%s", report)
	orders := map[string]int{}
	require.NoError(t, fleet.Get("s1", "/standin/orders", &orders))
	for key, n := range orders {
		require.Equal(t, 1, n, "number of times that order %s ran", key)
	}
	require.LessOrEqual(t, report.Orders["placed"], len(orders), "more orders were reported as placed than have run")
}
