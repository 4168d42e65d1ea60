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

// blow is a fault that is struck again and again while a load runs.
type blow struct {
	name   string
	target float64 // resume latency p95, in seconds
	strike func(f *rwlab.Fleet, round int) error
	repair func(f *rwlab.Fleet, round int) error
}

const (
	rounds      = 6
	roundTime   = 2500 * time.Millisecond
	repairAfter = 1500 * time.Millisecond
	usersBound  = 4 // seconds after which output must go on
)

var blows = []blow{
	{
		name: "engine.kill", target: 1,
		strike: func(f *rwlab.Fleet, round int) error { return f.Kill(engineName(round % f.Engines)) },
		repair: func(f *rwlab.Fleet, round int) error { return f.Restart(engineName(round % f.Engines)) },
	},
	{
		name: "engine.freeze", target: usersBound,
		strike: func(f *rwlab.Fleet, round int) error { return f.Signal(engineName(round%f.Engines), syscall.SIGSTOP) },
		repair: func(f *rwlab.Fleet, round int) error { return f.Signal(engineName(round%f.Engines), syscall.SIGCONT) },
	},
	{
		name: "instance.kill", target: usersBound,
		strike: func(f *rwlab.Fleet, round int) error { return f.Kill(f.InstanceName(round % f.Instances)) },
		repair: func(f *rwlab.Fleet, round int) error { return f.Restart(f.InstanceName(round % f.Instances)) },
	},
	{
		name: "instance.freeze", target: usersBound,
		strike: func(f *rwlab.Fleet, round int) error {
			return f.Signal(f.InstanceName(round%f.Instances), syscall.SIGSTOP)
		},
		repair: func(f *rwlab.Fleet, round int) error {
			return f.Signal(f.InstanceName(round%f.Instances), syscall.SIGCONT)
		},
	},
	{
		name: "both.kill", target: usersBound,
		strike: func(f *rwlab.Fleet, round int) error {
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

// blowNamed is the scenario of one blow.
func blowNamed(name string) func(b *Bench, ctx context.Context) error { //nolint:revive // the form of a method expression
	return func(b *Bench, ctx context.Context) error {
		for _, blow := range blows {
			if blow.name == name {
				return b.strike(ctx, blow)
			}
		}
		return errors.Errorf("no blow %s", name)
	}
}

// strike strikes a blow again and again while answers stream, and checks every
// answer.
func (b *Bench) strike(ctx context.Context, blow blow) error {
	fleet, stop, err := b.fleet(ctx, &rwlab.Fleet{
		Instances: 6, Zones: 3, Engines: 12, Capacity: 12,
		Engine: []string{"--step", "25ms", "--per", "0s"},
	})
	if err != nil {
		return err
	}
	defer stop()
	o := options(fleet)
	o.Requests = 72
	o.Tokens = 800
	var wait sync.WaitGroup
	var report rwload.Report
	wait.Go(func() { report = (&rwload.Load{Options: o}).Run(ctx) })
	rwtime.Sleep(ctx, time.Second)
	for round := range rounds {
		if err := blow.strike(fleet, round); err != nil {
			return err
		}
		rwtime.Sleep(ctx, repairAfter)
		if err := blow.repair(fleet, round); err != nil {
			return err
		}
		rwtime.Sleep(ctx, roundTime-repairAfter)
	}
	wait.Wait()
	name := "loss." + blow.name
	b.whole(name, report)
	b.figure(name+".breaks", float64(report.Breaks), "gaps")
	b.figure(name+".resume.p50", report.Resume.P50, "s")
	b.most(name+".resume.p95", report.Resume.P95, "s", blow.target)
	b.most(name+".resume.p99", report.Resume.P99, "s", usersBound)
	return b.recomputed(fleet, name, report)
}

// recomputed prints the share of tokens that engines made more than once.
func (b *Bench) recomputed(fleet *rwlab.Fleet, name string, report rwload.Report) error {
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
	b.figure(name+".resumes", float64(counters["resumes"]), "attempts")
	b.figure(name+".adopted", float64(counters["adopted"]), "generations")
	b.figure(name+".reconnects", float64(report.Reconnects), "connections")
	return nil
}
