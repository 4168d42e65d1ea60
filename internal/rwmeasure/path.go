package rwmeasure

import (
	"context"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"
	"ragwortwall/internal/rwtime"
)

const (
	pathStreams = 200
	pathTokens  = 1000
	pathPlain   = 40 // streams for the comparison of latencies
)

// path measures what the path costs: 200 streams of 1,000 tokens through 6
// instances, and the time between events against the engines called directly.
func (b *Bench) path(ctx context.Context) error {
	fleet, stop, err := b.fleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Capacity: 24,
		Engine: []string{"--step", "20ms", "--per", "0s"},
	})
	if err != nil {
		return err
	}
	defer stop()
	through := options(fleet)
	through.Requests = pathPlain
	through.Tokens = 300
	direct := through
	direct.Targets = nil
	for n := range fleet.Engines {
		direct.Targets = append(direct.Targets, fleet.URL(engineName(n)))
	}
	direct.Model = "v1"
	direct.Direct = true
	plain := (&rwload.Load{Options: direct}).Run(ctx)
	ours := (&rwload.Load{Options: through}).Run(ctx)
	b.whole("path.direct", plain)
	b.whole("path.through", ours)
	b.figure("path.gap.direct.p95", plain.Gap.P95, "s")
	b.figure("path.gap.through.p95", ours.Gap.P95, "s")
	b.most("path.added.p95", 1000*(ours.Gap.P95-plain.Gap.P95), "ms", 2)
	b.figure("path.first.direct.p95", plain.First.P95, "s")
	b.most("path.first.through.p95", ours.First.P95, "s", 0.91)
	return b.pathMany(ctx, fleet)
}

func (b *Bench) pathMany(ctx context.Context, fleet *rwlab.Fleet) error {
	many := options(fleet)
	many.Requests = pathStreams
	many.Tokens = pathTokens
	many.Seed = 2
	before, err := instancesCPU(fleet)
	if err != nil {
		return err
	}
	idle, err := instancesMemory(fleet)
	if err != nil {
		return err
	}
	held := make(chan float64, 1)
	go func() {
		rwtime.Sleep(ctx, 10*time.Second)
		memory, _ := instancesMemory(fleet)
		held <- memory
	}()
	report := (&rwload.Load{Options: many}).Run(ctx)
	after, err := instancesCPU(fleet)
	if err != nil {
		return err
	}
	b.whole("path.many", report)
	b.least("path.many.whole", float64(report.Whole), "answers", pathStreams)
	tokens := float64(report.Tokens)
	b.figure("path.cpu", 1e6*(after-before)/tokens, "us/token")
	b.figure("path.memory", (<-held-idle)/pathStreams, "bytes/stream")
	b.figure("path.many.gap.p95", report.Gap.P95, "s")
	return nil
}

// instancesCPU is the processor time of all instances together.
func instancesCPU(f *rwlab.Fleet) (float64, error) { return overInstances(f, cpuSeconds) }

// instancesMemory is the resident memory of all instances together.
func instancesMemory(f *rwlab.Fleet) (float64, error) { return overInstances(f, residentBytes) }

func overInstances(f *rwlab.Fleet, of func(pid int) (float64, error)) (float64, error) {
	total := 0.0
	for n := range f.Instances {
		v, err := of(f.PID(f.InstanceName(n)))
		if err != nil {
			return 0, err
		}
		total += v
	}
	return total, nil
}
