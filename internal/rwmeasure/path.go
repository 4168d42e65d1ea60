package rwmeasure

import (
	"context"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"
	"ragwortwall/internal/rwtime"
)

const (
	pathStreams    = 200
	pathTokens     = 1000
	latencyStreams = 40 // streams in the comparison of latencies
)

// measurePath compares the latencies of streams through the instances with those
// of the engines called directly, and then measures the CPU time and memory of 6
// instances that carry 200 streams of 1,000 tokens.
func (b *Bench) measurePath(ctx context.Context) error {
	fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Capacity: 24,
		EngineArguments: []string{"--step", "20ms", "--per", "0s"},
	})
	if err != nil {
		return err
	}
	defer stop()
	through := loadOptions(fleet)
	through.Requests = latencyStreams
	through.MaxTokens = 300
	direct := through
	direct.Targets = nil
	for n := range fleet.Engines {
		direct.Targets = append(direct.Targets, fleet.URL(engineName(n)))
	}
	direct.Model = "v1"
	direct.DirectToEngines = true
	directReport := (&rwload.Load{Options: direct}).Run(ctx)
	throughReport := (&rwload.Load{Options: through}).Run(ctx)
	b.checkAnswers("path.direct", directReport)
	b.checkAnswers("path.through", throughReport)
	b.printValue("path.gap.direct.p95", directReport.Gap.P95, "s")
	b.printValue("path.gap.through.p95", throughReport.Gap.P95, "s")
	b.checkMax("path.added.p95", 1000*(throughReport.Gap.P95-directReport.Gap.P95), "ms", 2)
	b.printValue("path.first.direct.p95", directReport.FirstToken.P95, "s")
	b.checkMax("path.first.through.p95", throughReport.FirstToken.P95, "s", 0.91)
	return b.measureManyStreams(ctx, fleet)
}

// measureManyStreams measures the CPU time per token and the memory per stream of
// all instances together.
func (b *Bench) measureManyStreams(ctx context.Context, fleet *rwlab.Fleet) error {
	load := loadOptions(fleet)
	load.Requests = pathStreams
	load.MaxTokens = pathTokens
	load.Seed = 2
	cpuBefore, err := instancesCPU(fleet)
	if err != nil {
		return err
	}
	idleMemory, err := instancesMemory(fleet)
	if err != nil {
		return err
	}
	memoryUnderLoad := make(chan float64, 1)
	go func() {
		rwtime.Sleep(ctx, 10*time.Second)
		memory, _ := instancesMemory(fleet)
		memoryUnderLoad <- memory
	}()
	report := (&rwload.Load{Options: load}).Run(ctx)
	cpuAfter, err := instancesCPU(fleet)
	if err != nil {
		return err
	}
	b.checkAnswers("path.many", report)
	b.checkMin("path.many.whole", float64(report.Correct), "answers", pathStreams)
	tokens := float64(report.Tokens)
	b.printValue("path.cpu", 1e6*(cpuAfter-cpuBefore)/tokens, "us/token")
	b.printValue("path.memory", (<-memoryUnderLoad-idleMemory)/pathStreams, "bytes/stream")
	b.printValue("path.many.gap.p95", report.Gap.P95, "s")
	return nil
}

// instancesCPU returns the CPU time of all instances together, in seconds.
func instancesCPU(f *rwlab.Fleet) (float64, error) { return sumInstances(f, cpuSeconds) }

// instancesMemory returns the resident memory of all instances together, in bytes.
func instancesMemory(f *rwlab.Fleet) (float64, error) { return sumInstances(f, residentBytes) }

func sumInstances(f *rwlab.Fleet, measure func(pid int) (float64, error)) (float64, error) {
	total := 0.0
	for n := range f.Instances {
		v, err := measure(f.PID(f.InstanceName(n)))
		if err != nil {
			return 0, err
		}
		total += v
	}
	return total, nil
}
