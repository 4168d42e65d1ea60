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
	overloadDuration       = 30 * time.Second
	overloadTokens         = 100
	overloadTokenInterval  = 20 * time.Millisecond
	overloadEngineCapacity = 8
	overloadEngines        = 12
)

// capacityRate returns how many answers a second all engines can generate.
func capacityRate() float64 {
	answerTime := time.Duration(overloadTokens) * overloadTokenInterval
	return float64(overloadEngineCapacity*overloadEngines) / answerTime.Seconds()
}

// measureOverload sends three times the load that the engines can serve, with every
// refused caller retrying after 50 ms, and then half the load that they can serve. The
// baseline sends the same overload directly to engines chosen at random.
func (b *Bench) measureOverload(ctx context.Context) error {
	for _, direct := range []bool{true, false} {
		if err := b.runOverload(ctx, direct); err != nil {
			return err
		}
	}
	return nil
}

// runOverload runs the overload for measureOverload. direct selects the baseline.
func (b *Bench) runOverload(ctx context.Context, direct bool) error {
	fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: overloadEngines, Capacity: overloadEngineCapacity,
		EngineArguments: []string{"--step", overloadTokenInterval.String(), "--per", "0s", "--prefill", "10us"},
	})
	if err != nil {
		return err
	}
	defer stop()
	o := loadOptions(fleet)
	o.MaxTokens = overloadTokens
	o.Rate = 3 * capacityRate()
	o.Requests = int(o.Rate * overloadDuration.Seconds())
	o.IgnoreRetryAfter = true
	o.Timeout = 10 * time.Second
	name := "overload"
	if direct {
		name = "overload.baseline"
		o.DirectToEngines = true
		o.Model = "v1"
		o.Targets = nil
		for n := range fleet.Engines {
			o.Targets = append(o.Targets, fleet.URL(engineName(n)))
		}
	}
	started := time.Now()
	report := (&rwload.Load{Options: o}).Run(ctx)
	elapsed := time.Since(started).Seconds()
	served, down := countServed(fleet)
	goodput := float64(report.Correct) / elapsed / capacityRate()
	runsPerAnswer := served / float64(max(1, report.Correct))
	if direct {
		b.printValue(name+".goodput", goodput, "of capacity")
		b.printValue(name+".engines.down", down, "engines")
		b.printValue(name+".work", runsPerAnswer, "runs/answer")
		return nil
	}
	b.checkMax(name+".wrong", float64(report.Wrong), "answers", 0)
	b.checkMin(name+".goodput", goodput, "of capacity", 0.9)
	b.checkMax(name+".engines.down", down, "engines", 0)
	b.checkMax(name+".work", runsPerAnswer, "runs/answer", 1.1)
	b.printValue(name+".refusals", float64(report.Refusals), "refusals")
	b.printValue(name+".first.p95", report.FirstToken.P95, "s")
	return b.measureRecovery(ctx, fleet)
}

// measureRecovery sends half the load that the engines can serve, 5 s after the
// overload.
func (b *Bench) measureRecovery(ctx context.Context, fleet *rwlab.Fleet) error {
	o := loadOptions(fleet)
	o.MaxTokens = overloadTokens
	o.Rate = 0.5 * capacityRate()
	o.Requests = int(o.Rate * 10)
	o.Seed = 3
	o.RetryAfterRefusal = false
	rwtime.Sleep(ctx, 5*time.Second)
	report := (&rwload.Load{Options: o}).Run(ctx)
	b.checkAnswers("overload.after", report)
	b.checkMax("overload.after.first.p95", report.FirstToken.P95, "s", 0.91)
	return nil
}

// countServed returns how many runs the engines have served, and how many engines
// are down.
func countServed(fleet *rwlab.Fleet) (served, down float64) {
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

// measurePrefixHits measures the share of prompt tokens that are found in the
// engines' prefix caches and the time to the first token, and compares both with
// those of random routing.
func (b *Bench) measurePrefixHits(ctx context.Context) error {
	// Keyed by whether the load goes directly to random engines.
	hitRates := map[bool]float64{}
	firstTokenP95s := map[bool]float64{}
	for _, direct := range []bool{true, false} {
		fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{
			Instances: 6, Zones: 3, Engines: 12, Capacity: 8,
			EngineArguments: []string{"--step", "10ms", "--per", "0s", "--prefill", "400us", "--blocks", "400"},
		})
		if err != nil {
			return err
		}
		o := loadOptions(fleet)
		o.Requests = 400
		o.Rate = 20
		o.MaxTokens = 40
		o.PromptBytes = 4000
		o.SharedPrefixes = 60
		if direct {
			o.DirectToEngines = true
			o.Model = "v1"
			o.Targets = nil
			for n := range fleet.Engines {
				o.Targets = append(o.Targets, fleet.URL(engineName(n)))
			}
		}
		report := (&rwload.Load{Options: o}).Run(ctx)
		cachedTokens, promptTokens := 0, 0
		for n := range fleet.Engines {
			var counts rwstandin.EngineCounts
			if fleet.Get(engineName(n), "/standin/counts", &counts) == nil {
				cachedTokens += counts.CachedTokens
				promptTokens += counts.PromptTokens
			}
		}
		stop()
		b.checkAnswers("prefix", report)
		hitRates[direct] = float64(cachedTokens) / float64(max(1, promptTokens))
		firstTokenP95s[direct] = report.FirstToken.P95
	}
	b.printValue("prefix.hit.random", hitRates[true], "share")
	b.printValue("prefix.hit", hitRates[false], "share")
	b.checkMin("prefix.hit.ratio", hitRates[false]/hitRates[true], "times", 2)
	b.printValue("prefix.first.random.p95", firstTokenP95s[true], "s")
	b.checkMax("prefix.first.p95", firstTokenP95s[false], "s", 0.91)
	return nil
}

// measureReplacement drains and restarts one instance after the other under load.
// The load skips instances that are not ready, as a load balancer does, so that
// callers must see no broken connection.
func (b *Bench) measureReplacement(ctx context.Context) error {
	fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Services: 2, Capacity: 12, DrainTimeout: 30 * time.Second,
		EngineArguments: []string{"--step", "20ms", "--per", "0s"},
	})
	if err != nil {
		return err
	}
	defer stop()
	o := loadOptions(fleet)
	o.Requests = 900
	o.Rate = 15
	o.MaxTokens = 150
	o.OrderShare = 0.2
	o.SkipUnready = true
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
	b.checkAnswers("replace", report)
	b.checkMax("replace.cut", float64(report.Reconnects), "connections", 0)
	b.printValue("replace.refusals", float64(report.Refusals), "refusals")
	b.checkMax("replace.gap.p99", report.LongestGap.P99, "s", maxGapSeconds)
	ran, twice, err := b.countOrders(fleet)
	if err != nil {
		return err
	}
	b.checkMax("replace.orders.twice", float64(twice), "orders", 0)
	b.checkMax("replace.orders.lost", float64(report.Orders["unanswered"]+report.Orders["unknown"]), "orders", 0)
	b.printValue("replace.orders.ran", float64(ran), "orders")
	return nil
}
