package rwmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"ragwortwall/internal/rwcapacity"
	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwtree"

	"github.com/juju/errors"
)

const (
	idleSettleTime  = 3 * time.Second
	idleMeasureTime = 8 * time.Second
	docFileMode     = 0o644
	syntheticTeams  = 100
)

// idleUsage is what an instance without requests uses, on average over the
// instances of a fleet: cores, bytes and messages a second, and bytes of memory.
// The field store holds the store calls a second of the whole fleet.
type idleUsage struct {
	core, bytes, messages, memory, store float64
}

// MeasureSlopes measures how the use of resources grows with each size, writes the
// measurements to docs/slopes.json, and rewrites the tables of docs/CAPACITY.md.
func (b *Bench) MeasureSlopes(ctx context.Context) error {
	var m rwcapacity.Measurements
	if err := b.measureIdleSlopes(ctx, &m); err != nil {
		return err
	}
	m.ApplyTime, m.TreeMemory = measureApply()
	if err := b.measureRequestCosts(ctx, &m); err != nil {
		return err
	}
	content, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	file := filepath.Join(filepath.Dir(b.Bin), "docs", "slopes.json")
	if err := os.WriteFile(file, append(content, '\n'), docFileMode); err != nil {
		return errors.Trace(err)
	}
	return b.RewriteTables()
}

// RewriteTables rewrites the tables of docs/CAPACITY.md from the measurements in
// docs/slopes.json.
func (b *Bench) RewriteTables() error {
	docs := filepath.Join(filepath.Dir(b.Bin), "docs")
	content, err := os.ReadFile(filepath.Join(docs, "slopes.json"))
	if err != nil {
		return errors.Trace(err)
	}
	var m rwcapacity.Measurements
	if err := json.Unmarshal(content, &m); err != nil {
		return errors.Trace(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		return errors.Trace(err)
	}
	updated, err := rwcapacity.ReplaceTables(string(page), rwcapacity.Tables(m))
	if err != nil {
		return err
	}
	return errors.Trace(os.WriteFile(filepath.Join(docs, "CAPACITY.md"), []byte(updated), docFileMode))
}

// measureIdleSlopes fits the use of an instance without requests, once by the number
// of peers and once by the number of backend servers that it owns, and the store
// calls by the number of instances.
func (b *Bench) measureIdleSlopes(ctx context.Context, m *rwcapacity.Measurements) error {
	var sizes []float64
	var points []idleUsage
	var instances []float64
	for _, n := range []int{2, 3, 4, 5, 6} {
		p, err := b.measureIdle(ctx, n, 2*n)
		if err != nil {
			return err
		}
		sizes = append(sizes, float64(n-1))
		instances = append(instances, float64(n))
		points = append(points, p)
	}
	m.PeersCore = rwcapacity.FitLine(sizes, column(points, func(p idleUsage) float64 { return p.core }))
	m.PeersBytes = rwcapacity.FitLine(sizes, column(points, func(p idleUsage) float64 { return p.bytes }))
	m.PeersMessages = rwcapacity.FitLine(sizes, column(points, func(p idleUsage) float64 { return p.messages }))
	m.PeersMemory = rwcapacity.FitLine(sizes, column(points, func(p idleUsage) float64 { return p.memory }))
	m.StoreCalls = rwcapacity.FitLine(instances, column(points, func(p idleUsage) float64 { return p.store }))
	sizes, points = nil, nil
	for _, owned := range []int{1, 4, 8, 16} {
		p, err := b.measureIdle(ctx, 5, 5*owned)
		if err != nil {
			return err
		}
		sizes = append(sizes, float64(owned))
		points = append(points, p)
	}
	m.OwnedCore = rwcapacity.FitLine(sizes, column(points, func(p idleUsage) float64 { return p.core }))
	m.OwnedBytes = rwcapacity.FitLine(sizes, column(points, func(p idleUsage) float64 { return p.bytes }))
	m.OwnedMemory = rwcapacity.FitLine(sizes, column(points, func(p idleUsage) float64 { return p.memory }))
	return nil
}

func column(points []idleUsage, field func(idleUsage) float64) []float64 {
	var values []float64
	for _, p := range points {
		values = append(values, field(p))
	}
	return values
}

// measureIdle starts a fleet, sends it no requests, and measures what an instance
// uses.
func (b *Bench) measureIdle(ctx context.Context, instances, engines int) (idleUsage, error) {
	fleet, stop, err := b.startFleet(ctx, &rwlab.Fleet{
		Instances: instances, Zones: 3, Engines: engines, Capacity: 8, EngineArguments: []string{"--step", "100ms"}, QuietLogs: true,
	})
	if err != nil {
		return idleUsage{}, err
	}
	defer stop()
	rwtime.Sleep(ctx, idleSettleTime)
	before, err := totalUsage(fleet)
	if err != nil {
		return idleUsage{}, err
	}
	rwtime.Sleep(ctx, idleMeasureTime)
	after, err := totalUsage(fleet)
	if err != nil {
		return idleUsage{}, err
	}
	memory, err := instancesMemory(fleet)
	if err != nil {
		return idleUsage{}, err
	}
	seconds := idleMeasureTime.Seconds()
	n := float64(instances)
	p := idleUsage{
		core:     (after.core - before.core) / seconds / n,
		bytes:    (after.bytes - before.bytes) / seconds / n,
		messages: (after.messages - before.messages) / seconds / n,
		store:    (after.store - before.store) / seconds,
		memory:   memory / n,
	}
	fmt.Fprintf(os.Stderr, "%d instances, %d engines: %+v\n", instances, engines, p)
	return p, nil
}

// totalUsage returns what all instances together have used since their start: CPU
// seconds in core, and totals in bytes, messages and store. It leaves memory at 0.
func totalUsage(f *rwlab.Fleet) (idleUsage, error) {
	var total idleUsage
	var err error
	if total.core, err = instancesCPU(f); err != nil {
		return total, err
	}
	for n := range f.Instances {
		var state struct {
			Traffic struct {
				Sent, Received, Writes float64
			} `json:"traffic"`
		}
		if err := f.State(f.InstanceName(n), &state); err != nil {
			return total, err
		}
		total.bytes += state.Traffic.Sent + state.Traffic.Received
		total.messages += state.Traffic.Writes
	}
	calls := map[string]int{}
	if err := f.Get("platform", "/standin/calls", &calls); err != nil {
		return total, err
	}
	for _, n := range calls {
		total.store += float64(n)
	}
	return total, nil
}

// measureApply fits the seconds that a change of settings takes to apply, and the
// bytes of the settings tree in memory, by the number of organisations.
func measureApply() (apply, memory rwcapacity.LinearFit) {
	var sizes, times, treeMemory []float64
	for _, organisations := range []int{100, 1000, 2500, 5300} {
		objects := syntheticSettings(organisations)
		before := heapBytes()
		tree, err := rwtree.Merge(objects)
		if err != nil {
			panic(err) // the objects are generated here and valid
		}
		treeBytes := heapBytes() - before
		o, _ := tree.Object("team0")
		o.Metadata.Generation++
		started := time.Now()
		const repeats = 5
		for range repeats {
			if _, err := tree.With(o); err != nil {
				panic(err)
			}
		}
		sizes = append(sizes, float64(organisations))
		times = append(times, time.Since(started).Seconds()/repeats)
		treeMemory = append(treeMemory, max(0, treeBytes))
		runtime.KeepAlive(tree)
	}
	return rwcapacity.FitLine(sizes, times), rwcapacity.FitLine(sizes, treeMemory)
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// syntheticSettings returns the settings of syntheticTeams teams that share the
// organisations evenly.
func syntheticSettings(organisations int) map[string]rwobject.Object {
	objects := map[string]rwobject.Object{}
	for team := range syntheticTeams {
		name := fmt.Sprintf("team%d", team)
		t := rwtree.Team{Organisations: map[string]rwtree.Organisation{}, Servers: map[string]rwtree.Server{}, Routes: map[string]rwtree.Route{}}
		for n := range organisations / syntheticTeams {
			key := rwtree.HashKey(fmt.Sprintf("%d-%d", team, n))
			t.Organisations[fmt.Sprintf("o%d", n)] = rwtree.Organisation{Keys: []string{key}}
		}
		t.Servers["e"] = rwtree.Server{Address: "127.0.0.1:1", Capacity: 8, Versions: []string{"v1"}}
		t.Routes["r"] = rwtree.Route{Model: "m", Version: "v1", Servers: []string{"e"}}
		objects[name] = rwobject.New(rwobject.KindSettings, name, t)
	}
	return objects
}

// measureRequestCosts runs the scenarios that measure requests and copies their
// results into m. It prints the error of a scenario, such as a missed target, and
// goes on.
func (b *Bench) measureRequestCosts(ctx context.Context, m *rwcapacity.Measurements) error {
	b.values = map[string]float64{}
	for _, name := range []string{"path", "loss.both.kill", "loss.engine.freeze", "records"} {
		if err := b.Run(ctx, name); err != nil {
			fmt.Fprintln(os.Stderr, name, err)
		}
	}
	m.TokenCoreSeconds = b.values["path.cpu"] / 1e6
	m.StreamMemory = b.values["path.memory"]
	m.FirstTokenP95 = b.values["path.first.through.p95"]
	m.AddedGapP95 = b.values["path.added.p95"] / 1000
	m.ResumeAfterKillP95 = b.values["loss.both.kill.resume.p95"]
	m.ResumeAfterFreezeP95 = b.values["loss.engine.freeze.resume.p95"]
	m.OrderCalls = b.values["records.group.calls"]
	return nil
}
