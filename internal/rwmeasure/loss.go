package rwmeasure

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"
	"ragwortwall/internal/rwtime"

	"github.com/juju/errors"
)

func engineName(n int) string { return fmt.Sprintf("e%d", n+1) }

// fault is a fault that is injected and repaired several times during a load.
type fault struct {
	name          string
	targetSeconds float64 // upper limit of the resume latency, p95
	inject        func(f *rwlab.Fleet, round int) error
	repair        func(f *rwlab.Fleet, round int) error
}

const (
	faultRounds   = 6
	roundDuration = 2500 * time.Millisecond // includes faultDuration
	faultDuration = 1500 * time.Millisecond
	maxGapSeconds = 4 // upper limit, from the users' requirements, of the time without output
)

var faults = []fault{
	{
		name: "engine.kill", targetSeconds: 1,
		inject: func(f *rwlab.Fleet, round int) error { return f.Kill(engineName(round % f.Engines)) },
		repair: func(f *rwlab.Fleet, round int) error { return f.Restart(engineName(round % f.Engines)) },
	},
	{
		name: "engine.freeze", targetSeconds: maxGapSeconds,
		inject: func(f *rwlab.Fleet, round int) error { return f.Signal(engineName(round%f.Engines), syscall.SIGSTOP) },
		repair: func(f *rwlab.Fleet, round int) error { return f.Signal(engineName(round%f.Engines), syscall.SIGCONT) },
	},
	{
		name: "instance.kill", targetSeconds: maxGapSeconds,
		inject: func(f *rwlab.Fleet, round int) error { return f.Kill(f.InstanceName(round % f.Instances)) },
		repair: func(f *rwlab.Fleet, round int) error { return f.Restart(f.InstanceName(round % f.Instances)) },
	},
	{
		name: "instance.freeze", targetSeconds: maxGapSeconds,
		inject: func(f *rwlab.Fleet, round int) error {
			return f.Signal(f.InstanceName(round%f.Instances), syscall.SIGSTOP)
		},
		repair: func(f *rwlab.Fleet, round int) error {
			return f.Signal(f.InstanceName(round%f.Instances), syscall.SIGCONT)
		},
	},
	{
		name: "both.kill", targetSeconds: maxGapSeconds,
		inject: func(f *rwlab.Fleet, round int) error {
			if err := f.Kill(engineName(round % f.Engines)); err != nil {
				return err
			}
			return f.Kill(f.InstanceName(round % f.Instances))
		},
		repair: func(f *rwlab.Fleet, round int) error {
			if err := f.Restart(engineName(round % f.Engines)); err != nil {
				return err
			}
			return f.Restart(f.InstanceName(round % f.Instances))
		},
	},
}

// faultScenario returns the scenario that injects the named fault.
func faultScenario(name string) func(b *Bench, ctx context.Context) error { //nolint:revive // the form of a method expression
	return func(b *Bench, ctx context.Context) error {
		for _, fault := range faults {
			if fault.name == name {
				return b.measureFault(ctx, fault)
			}
		}
		return errors.Errorf("fault %q does not exist", name)
	}
}

// measureFault injects a fault several times while answers are streamed. It
// measures how long the answers are interrupted and checks every answer.
func (b *Bench) measureFault(ctx context.Context, fault fault) error {
	fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Capacity: 12,
		EngineArguments: []string{"--step", "25ms", "--per", "0s"},
	})
	if err != nil {
		return err
	}
	defer stop()
	o := loadOptions(fleet)
	o.Requests = 72
	o.MaxTokens = 800
	var wait sync.WaitGroup
	var report rwload.Report
	wait.Go(func() { report = (&rwload.Load{Options: o}).Run(ctx) })
	rwtime.Sleep(ctx, time.Second)
	for round := range faultRounds {
		if err := fault.inject(fleet, round); err != nil {
			return err
		}
		rwtime.Sleep(ctx, faultDuration)
		if err := fault.repair(fleet, round); err != nil {
			return err
		}
		rwtime.Sleep(ctx, roundDuration-faultDuration)
	}
	wait.Wait()
	name := "loss." + fault.name
	b.checkAnswers(name, report)
	b.printValue(name+".breaks", float64(report.Interruptions), "gaps")
	b.printValue(name+".resume.p50", report.InterruptionTime.P50, "s")
	b.checkMax(name+".resume.p95", report.InterruptionTime.P95, "s", fault.targetSeconds)
	b.checkMax(name+".resume.p99", report.InterruptionTime.P99, "s", maxGapSeconds)
	return b.printRecoveryCounts(fleet, name, report)
}

// printRecoveryCounts prints how many attempts resumed a generation, how many
// generations were adopted by another primary, and how often callers reconnected.
func (b *Bench) printRecoveryCounts(fleet *rwlab.Fleet, name string, report rwload.Report) error {
	counters := map[string]int64{}
	for n := range fleet.Instances {
		var state struct {
			Counters map[string]int64 `json:"counters"`
		}
		if !fleet.Running(fleet.InstanceName(n)) || fleet.State(fleet.InstanceName(n), &state) != nil {
			continue
		}
		for k, v := range state.Counters {
			counters[k] += v
		}
	}
	b.printValue(name+".resumes", float64(counters["resumes"]), "attempts")
	b.printValue(name+".adopted", float64(counters["adopted"]), "generations")
	b.printValue(name+".reconnects", float64(report.Reconnects), "connections")
	return nil
}
