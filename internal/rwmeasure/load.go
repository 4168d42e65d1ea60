package rwmeasure

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"
	"ragwortwall/internal/rwstandin"
	"ragwortwall/internal/rwtime"
)

func serviceName(n int) string { return fmt.Sprintf("s%d", n+1) }

const (
	overloadTime   = 30 * time.Second
	overloadTokens = 100
	overloadStep   = 20 * time.Millisecond
	overloadCap    = 8
	overloadEngine = 12
)

// capacityRate is how many answers a second the engines can carry.
func capacityRate() float64 {
	perStream := time.Duration(overloadTokens) * overloadStep
	return float64(overloadCap*overloadEngine) / perStream.Seconds()
}

// overload offers three times what the engines carry, every refused caller
// coming back at once, then a load that they carry. The baseline sends the same
// to the engines directly, chosen at random.
func (b *Bench) overload(ctx context.Context) error {
	for _, direct := range []bool{true, false} {
		if err := b.overloadOnce(ctx, direct); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bench) overloadOnce(ctx context.Context, direct bool) error {
	fleet, stop, err := b.fleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: overloadEngine, Capacity: overloadCap,
		Engine: []string{"--step", overloadStep.String(), "--per", "0s", "--prefill", "10us"},
	})
	if err != nil {
		return err
	}
	defer stop()
	o := options(fleet)
	o.Tokens = overloadTokens
	o.Rate = 3 * capacityRate()
	o.Requests = int(o.Rate * overloadTime.Seconds())
	o.Storm = true
	o.Patience = 10 * time.Second
	name := "overload"
	if direct {
		name = "overload.baseline"
		o.Direct = true
		o.Model = "v1"
		o.Targets = nil
		for n := range fleet.Engines {
			o.Targets = append(o.Targets, fleet.URL(engineName(n)))
		}
	}
	started := time.Now()
	report := (&rwload.Load{Options: o}).Run(ctx)
	during := time.Since(started).Seconds()
	served, down := engineCounts(fleet)
	goodput := float64(report.Whole) / during / capacityRate()
	work := served / float64(max(1, report.Whole))
	if direct {
		b.figure(name+".goodput", goodput, "of capacity")
		b.figure(name+".engines.down", down, "engines")
		b.figure(name+".work", work, "runs/answer")
		return nil
	}
	b.most(name+".wrong", float64(report.Wrong), "answers", 0)
	b.least(name+".goodput", goodput, "of capacity", 0.9)
	b.most(name+".engines.down", down, "engines", 0)
	b.most(name+".work", work, "runs/answer", 1.1)
	b.figure(name+".refusals", float64(report.Refusals), "refusals")
	b.figure(name+".first.p95", report.First.P95, "s")
	return b.recovery(ctx, fleet)
}

// recovery offers a load that the engines carry, right after the overload.
func (b *Bench) recovery(ctx context.Context, fleet *rwlab.Fleet) error {
	o := options(fleet)
	o.Tokens = overloadTokens
	o.Rate = 0.5 * capacityRate()
	o.Requests = int(o.Rate * 10)
	o.Seed = 3
	o.Repeat = false
	rwtime.Sleep(ctx, 5*time.Second)
	report := (&rwload.Load{Options: o}).Run(ctx)
	b.whole("overload.after", report)
	b.most("overload.after.first.p95", report.First.P95, "s", 0.91)
	return nil
}

func engineCounts(fleet *rwlab.Fleet) (served, down float64) {
	for n := range fleet.Engines {
		var counts rwstandin.EngineCounts
		if !fleet.Running(engineName(n)) || fleet.Get(engineName(n), "/standin/counts", &counts) != nil {
			down++
			continue
		}
		served += float64(counts.Served)
	}
	return served, down
}

// prefix compares the share of prompt tokens found in the engines' caches with
// that of a random choice.
func (b *Bench) prefix(ctx context.Context) error {
	shares := map[bool]float64{}
	firsts := map[bool]float64{}
	for _, direct := range []bool{true, false} {
		fleet, stop, err := b.fleet(ctx, &rwlab.Fleet{
			Instances: 6, Zones: 3, Engines: 12, Capacity: 8,
			Engine: []string{"--step", "10ms", "--per", "0s", "--prefill", "400us", "--blocks", "400"},
		})
		if err != nil {
			return err
		}
		o := options(fleet)
		o.Requests = 400
		o.Rate = 20
		o.Tokens = 40
		o.Prompt = 4000
		o.Styles = 60
		if direct {
			o.Direct = true
			o.Model = "v1"
			o.Targets = nil
			for n := range fleet.Engines {
				o.Targets = append(o.Targets, fleet.URL(engineName(n)))
			}
		}
		report := (&rwload.Load{Options: o}).Run(ctx)
		cached, asked := 0, 0
		for n := range fleet.Engines {
			var counts rwstandin.EngineCounts
			if fleet.Get(engineName(n), "/standin/counts", &counts) == nil {
				cached += counts.Cached
				asked += counts.Asked
			}
		}
		stop()
		b.whole("prefix", report)
		shares[direct] = float64(cached) / float64(max(1, asked))
		firsts[direct] = report.First.P95
	}
	b.figure("prefix.hit.random", shares[true], "share")
	b.figure("prefix.hit", shares[false], "share")
	b.least("prefix.hit.ratio", shares[false]/shares[true], "times", 2)
	b.figure("prefix.first.random.p95", firsts[true], "s")
	b.most("prefix.first.p95", firsts[false], "s", 0.91)
	return nil
}

// replace ends and restarts each instance in turn, gracefully, under load. The
// callers see no broken connection, since the balancer's part is played by
// leaving out an instance that is not ready.
func (b *Bench) replace(ctx context.Context) error {
	fleet, stop, err := b.fleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Services: 2, Capacity: 12, Drain: 30 * time.Second,
		Engine: []string{"--step", "20ms", "--per", "0s"},
	})
	if err != nil {
		return err
	}
	defer stop()
	o := options(fleet)
	o.Requests = 900
	o.Rate = 15
	o.Tokens = 150
	o.Orders = 0.2
	o.Balanced = true
	var wait sync.WaitGroup
	var report rwload.Report
	wait.Go(func() { report = (&rwload.Load{Options: o}).Run(ctx) })
	rwtime.Sleep(ctx, time.Second)
	for n := range fleet.Instances {
		name := fleet.InstanceName(n)
		if err := fleet.Signal(name, syscall.SIGTERM); err != nil {
			return err
		}
		fleet.Wait(name)
		if err := fleet.Restart(name); err != nil {
			return err
		}
		if err := fleet.AwaitReady(ctx); err != nil {
			return err
		}
	}
	wait.Wait()
	b.whole("replace", report)
	b.most("replace.cut", float64(report.Reconnects), "connections", 0)
	b.figure("replace.refusals", float64(report.Refusals), "refusals")
	b.most("replace.gap.p99", report.Stall.P99, "s", usersBound)
	ran, twice, err := b.counted(fleet)
	if err != nil {
		return err
	}
	b.most("replace.orders.twice", float64(twice), "orders", 0)
	b.most("replace.orders.lost", float64(report.Orders["unanswered"]+report.Orders["unknown"]), "orders", 0)
	b.figure("replace.orders.ran", float64(ran), "orders")
	return nil
}
