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
	slowReaders        = 2000
	slowTokens         = 2000
	maxSlowMemoryBytes = 256 << 20
)

// measureSlowReaders measures the memory of one instance that serves many slow
// readers, and whether they delay fast readers at the other instances.
func (b *Bench) measureSlowReaders(ctx context.Context) error {
	fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Capacity: 400,
		EngineArguments: []string{"--step", "50ms", "--per", "0s", "--prefill", "1us"},
	})
	if err != nil {
		return err
	}
	defer stop()
	fastLoad := loadOptions(fleet)
	fastLoad.Requests = 20
	fastLoad.MaxTokens = 200
	alone := (&rwload.Load{Options: fastLoad}).Run(ctx)
	slowLoad := loadOptions(fleet)
	slowLoad.Requests = slowReaders
	slowLoad.Rate = 200
	slowLoad.MaxTokens = slowTokens
	slowLoad.ReadDelay = 5 * time.Second
	slowLoad.Targets = fleet.Targets()[:1]
	slowLoad.Timeout = 40 * time.Second
	slowLoad.Seed = 7
	var wait sync.WaitGroup
	wait.Go(func() { (&rwload.Load{Options: slowLoad}).Run(ctx) })
	rwtime.Sleep(ctx, 25*time.Second)
	fastLoad.Seed = 9
	fastLoad.Targets = fleet.Targets()[1:]
	concurrent := (&rwload.Load{Options: fastLoad}).Run(ctx)
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
	b.printValue("slow.readers", float64(state.Answers), "readers")
	b.checkMax("slow.memory", memory, "bytes", maxSlowMemoryBytes)
	b.printValue("slow.memory.each", memory/float64(max(1, state.Answers)), "bytes/reader")
	b.checkAnswers("slow.fast", concurrent)
	b.printValue("slow.gap.alone.p95", alone.Gap.P95, "s")
	b.checkMax("slow.gap.ratio", concurrent.Gap.P95/alone.Gap.P95, "times", 1.1)
	return nil
}
