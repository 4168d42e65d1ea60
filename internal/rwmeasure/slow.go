package rwmeasure

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"
	"ragwortwall/internal/rwtime"
)

const (
	slowReaders = 2000
	slowTokens  = 2000
	slowMost    = 256 << 20
)

// slow holds many slow readers at one instance while fast ones read elsewhere.
func (b *Bench) slow(ctx context.Context) error {
	fleet, stop, err := b.fleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Capacity: 400,
		Engine: []string{"--step", "50ms", "--per", "0s", "--prefill", "1us"},
	})
	if err != nil {
		return err
	}
	defer stop()
	fast := options(fleet)
	fast.Requests = 20
	fast.Tokens = 200
	alone := (&rwload.Load{Options: fast}).Run(ctx)
	slow := options(fleet)
	slow.Requests = slowReaders
	slow.Rate = 200
	slow.Tokens = slowTokens
	slow.Slow = 5 * time.Second
	slow.Targets = fleet.Targets()[:1]
	slow.Patience = 40 * time.Second
	slow.Seed = 7
	var wait sync.WaitGroup
	wait.Go(func() { (&rwload.Load{Options: slow}).Run(ctx) })
	rwtime.Sleep(ctx, 25*time.Second)
	fast.Seed = 9
	fast.Targets = fleet.Targets()[1:]
	beside := (&rwload.Load{Options: fast}).Run(ctx)
	memory, err := residentBytes(fleet.PID(fleet.InstanceName(0)))
	if err != nil {
		return err
	}
	var state struct {
		Answers int `json:"answers"`
	}
	if err := fleet.State(fleet.InstanceName(0), &state); err != nil {
		return err
	}
	wait.Wait()
	b.figure("slow.readers", float64(state.Answers), "readers")
	b.most("slow.memory", memory, "bytes", slowMost)
	b.figure("slow.memory.each", memory/float64(max(1, state.Answers)), "bytes/reader")
	b.whole("slow.fast", beside)
	b.figure("slow.gap.alone.p95", alone.Gap.P95, "s")
	b.most("slow.gap.ratio", beside.Gap.P95/alone.Gap.P95, "times", 1.1)
	return nil
}
