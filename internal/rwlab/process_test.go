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

// TestProcesses strikes real processes while answers and orders pass: an engine
// and an instance are killed, an engine and an instance frozen and thawed. Every
// answer must be whole and no order may run twice. The sleeps only space the
// blows; no verdict depends on how long anything took.
func TestProcesses(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "ragwortwall/cmd/...").CombinedOutput()
	require.NoError(t, err, string(out))
	ctx := context.Background()
	fleet := &rwlab.Fleet{
		Bin: bin, Logs: t.TempDir(), Instances: 5, Zones: 3, Engines: 6, Services: 1, Capacity: 12,
		Engine: []string{"--step", "15ms", "--per", "0s"},
	}
	require.NoError(t, fleet.Start(ctx))
	defer fleet.Stop()
	l := &rwload.Load{Options: rwload.Options{
		Targets: fleet.Targets(), Key: rwlab.CallerKey, Model: rwlab.Model, Requests: 60, Rate: 12, Tokens: 250,
		Prompt: 800, Shared: 0.8, Styles: 5, Seed: 4, Patience: time.Minute, Repeat: true, Orders: 0.3, Path: "/orders/new",
	}}
	var wait sync.WaitGroup
	var report rwload.Report
	wait.Go(func() { report = l.Run(ctx) })
	for _, blow := range []func() error{
		func() error { return fleet.Kill("e1") },
		func() error { return fleet.Signal("e2", syscall.SIGSTOP) },
		func() error { return fleet.Kill("i1") },
		func() error { return fleet.Restart("i1") },
		func() error { return fleet.Signal("i2", syscall.SIGSTOP) },
		func() error { return fleet.Signal("e2", syscall.SIGCONT) },
		func() error { return fleet.Signal("i2", syscall.SIGCONT) },
	} {
		time.Sleep(700 * time.Millisecond)
		require.NoError(t, blow())
	}
	wait.Wait()
	require.True(t, report.Right(), "%s", report)
	orders := map[string]int{}
	require.NoError(t, fleet.Get("s1", "/standin/orders", &orders))
	for key, n := range orders {
		require.Equal(t, 1, n, "order %s", key)
	}
	require.LessOrEqual(t, report.Orders["placed"], len(orders), "an order that was called placed has run")
}
