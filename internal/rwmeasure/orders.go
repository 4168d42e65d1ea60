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
	orderRate  = 200 // a second
	orderCount = 3000
)

// measureOrders sends 200 orders a second while instances are killed, and reads
// from the services which orders ran.
func (b *Bench) measureOrders(ctx context.Context) error {
	fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{Instances: 6, Zones: 3, Engines: 1, Services: 3, Capacity: 4})
	if err != nil {
		return err
	}
	defer stop()
	o := loadOptions(fleet)
	o.Requests = orderCount
	o.Rate = orderRate
	o.OrderShare = 1
	o.PromptBytes = 100
	before, err := countRecordCalls(fleet)
	if err != nil {
		return err
	}
	var wait sync.WaitGroup
	var report rwload.Report
	wait.Go(func() { report = (&rwload.Load{Options: o}).Run(ctx) })
	for round := range 3 {
		rwtime.Sleep(ctx, 3*time.Second)
		if err := fleet.Kill(fleet.InstanceName(round)); err != nil {
			return err
		}
		rwtime.Sleep(ctx, time.Second)
		if err := fleet.Restart(fleet.InstanceName(round)); err != nil {
			return err
		}
	}
	wait.Wait()
	after, err := countRecordCalls(fleet)
	if err != nil {
		return err
	}
	ran, twice, err := b.countOrders(fleet)
	if err != nil {
		return err
	}
	b.checkMax("orders.twice", float64(twice), "orders", 0)
	// A sum greater than orderCount means that orders reported as not run did run.
	falseNotRun := max(0, ran+report.Orders["notrun"]-orderCount)
	b.checkMax("orders.false.notrun", float64(falseNotRun), "orders", 0)
	b.printValue("orders.ran", float64(ran), "orders")
	for outcome, n := range report.Orders {
		b.printValue("orders."+outcome, float64(n), "orders")
	}
	b.checkMax("orders.store.calls", (after-before)/orderCount, "calls/order", 0.2)
	return nil
}

// countOrders returns how many orders ran, and how many of them ran more than once.
func (b *Bench) countOrders(fleet *rwlab.Fleet) (ran, twice int, err error) {
	runsByKey := map[string]int{}
	for n := range fleet.Services {
		orders := map[string]int{}
		if err := fleet.Get(serviceName(n), "/standin/orders", &orders); err != nil {
			return 0, 0, err
		}
		for key, runs := range orders {
			runsByKey[key] += runs
		}
	}
	for _, runs := range runsByKey {
		if runs > 1 {
			twice++
		}
	}
	return len(runsByKey), twice, nil
}

// countRecordCalls returns the number of calls to the store for order records.
func countRecordCalls(fleet *rwlab.Fleet) (float64, error) {
	calls := map[string]int{}
	if err := fleet.Get("platform", "/standin/calls", &calls); err != nil {
		return 0, err
	}
	total := 0
	for name, n := range calls {
		if len(name) > 8 && name[len(name)-7:] == "records" {
			total += n
		}
	}
	return float64(total), nil
}
