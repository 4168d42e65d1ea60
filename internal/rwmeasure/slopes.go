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
	idleSettle  = 3 * time.Second
	idleMeasure = 8 * time.Second
	pageMode    = 0o644
	teamsApply  = 100
)

// idle is what an idle instance uses, on average over a fleet's instances.
type idle struct {
	core, bytes, messages, memory, store float64
}

// Slopes measures all slopes, writes them to docs/slopes.json, and rewrites the
// tables of docs/CAPACITY.md.
func (b *Bench) Slopes(ctx context.Context) error {
	var m rwcapacity.Slopes
	if err := b.idleSlopes(ctx, &m); err != nil {
		return err
	}
	m.ApplyTime, m.TreeMemory = applySlopes()
	if err := b.workFigures(ctx, &m); err != nil {
		return err
	}
	content, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	file := filepath.Join(filepath.Dir(b.Bin), "docs", "slopes.json")
	if err := os.WriteFile(file, append(content, '\n'), pageMode); err != nil {
		return errors.Trace(err)
	}
	return b.Tables()
}

// Tables rewrites the page's tables from the recorded slopes.
func (b *Bench) Tables() error {
	docs := filepath.Join(filepath.Dir(b.Bin), "docs")
	content, err := os.ReadFile(filepath.Join(docs, "slopes.json"))
	if err != nil {
		return errors.Trace(err)
	}
	var m rwcapacity.Slopes
	if err := json.Unmarshal(content, &m); err != nil {
		return errors.Trace(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		return errors.Trace(err)
	}
	again, err := rwcapacity.Rewrite(string(page), rwcapacity.Tables(m))
	if err != nil {
		return err
	}
	return errors.Trace(os.WriteFile(filepath.Join(docs, "CAPACITY.md"), []byte(again), pageMode))
}

func (b *Bench) idleSlopes(ctx context.Context, m *rwcapacity.Slopes) error {
	var at []float64
	var points []idle
	var instances []float64
	for _, n := range []int{2, 3, 4, 5, 6} {
		p, err := b.idleAt(ctx, n, 2*n)
		if err != nil {
			return err
		}
		at = append(at, float64(n-1))
		instances = append(instances, float64(n))
		points = append(points, p)
	}
	m.PeersCore = rwcapacity.Fit(at, column(points, func(p idle) float64 { return p.core }))
	m.PeersBytes = rwcapacity.Fit(at, column(points, func(p idle) float64 { return p.bytes }))
	m.PeersMessages = rwcapacity.Fit(at, column(points, func(p idle) float64 { return p.messages }))
	m.PeersMemory = rwcapacity.Fit(at, column(points, func(p idle) float64 { return p.memory }))
	m.StoreCalls = rwcapacity.Fit(instances, column(points, func(p idle) float64 { return p.store }))
	at, points = nil, nil
	for _, owned := range []int{1, 4, 8, 16} {
		p, err := b.idleAt(ctx, 5, 5*owned)
		if err != nil {
			return err
		}
		at = append(at, float64(owned))
		points = append(points, p)
	}
	m.OwnedCore = rwcapacity.Fit(at, column(points, func(p idle) float64 { return p.core }))
	m.OwnedBytes = rwcapacity.Fit(at, column(points, func(p idle) float64 { return p.bytes }))
	m.OwnedMemory = rwcapacity.Fit(at, column(points, func(p idle) float64 { return p.memory }))
	return nil
}

func column(points []idle, of func(idle) float64) []float64 {
	var values []float64
	for _, p := range points {
		values = append(values, of(p))
	}
	return values
}

// idleAt measures an idle fleet.
func (b *Bench) idleAt(ctx context.Context, instances, engines int) (idle, error) {
	fleet, stop, err := b.fleet(ctx, &rwlab.Fleet{
		Instances: instances, Zones: 3, Engines: engines, Capacity: 8, Engine: []string{"--step", "100ms"}, Plain: true,
	})
	if err != nil {
		return idle{}, err
	}
	defer stop()
	rwtime.Sleep(ctx, idleSettle)
	before, err := usage(fleet)
	if err != nil {
		return idle{}, err
	}
	rwtime.Sleep(ctx, idleMeasure)
	after, err := usage(fleet)
	if err != nil {
		return idle{}, err
	}
	memory, err := instancesMemory(fleet)
	if err != nil {
		return idle{}, err
	}
	seconds := idleMeasure.Seconds()
	n := float64(instances)
	p := idle{
		core:     (after.core - before.core) / seconds / n,
		bytes:    (after.bytes - before.bytes) / seconds / n,
		messages: (after.messages - before.messages) / seconds / n,
		store:    (after.store - before.store) / seconds,
		memory:   memory / n,
	}
	fmt.Fprintf(os.Stderr, "%d instances, %d engines: %+v\n", instances, engines, p)
	return p, nil
}

// usage sums what all instances have used since their start.
func usage(f *rwlab.Fleet) (idle, error) {
	var total idle
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

// applySlopes measures how long a change of settings takes to apply, and what
// the tree holds in memory, by the number of organisations.
func applySlopes() (apply, memory rwcapacity.Line) {
	var at, times, sizes []float64
	for _, organisations := range []int{100, 1000, 2500, 5300} {
		objects := bigTree(organisations)
		before := heap()
		tree, err := rwtree.Merge(objects)
		if err != nil {
			panic(err) // the tree is made here
		}
		held := heap() - before
		o, _ := tree.Object("team0")
		o.Metadata.Generation++
		started := time.Now()
		const repeats = 5
		for range repeats {
			if _, err := tree.With(o); err != nil {
				panic(err)
			}
		}
		at = append(at, float64(organisations))
		times = append(times, time.Since(started).Seconds()/repeats)
		sizes = append(sizes, max(0, held))
		runtime.KeepAlive(tree)
	}
	return rwcapacity.Fit(at, times), rwcapacity.Fit(at, sizes)
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func bigTree(organisations int) map[string]rwobject.Object {
	objects := map[string]rwobject.Object{}
	for team := range teamsApply {
		name := fmt.Sprintf("team%d", team)
		t := rwtree.Team{Organisations: map[string]rwtree.Organisation{}, Servers: map[string]rwtree.Server{}, Routes: map[string]rwtree.Route{}}
		for n := range organisations / teamsApply {
			key := rwtree.HashKey(fmt.Sprintf("%d-%d", team, n))
			t.Organisations[fmt.Sprintf("o%d", n)] = rwtree.Organisation{Keys: []string{key}}
		}
		t.Servers["e"] = rwtree.Server{Address: "127.0.0.1:1", Capacity: 8, Versions: []string{"v1"}}
		t.Routes["r"] = rwtree.Route{Model: "m", Version: "v1", Servers: []string{"e"}}
		objects[name] = rwobject.New(rwobject.KindSettings, name, t)
	}
	return objects
}

// workFigures takes the figures of the work from the scenarios that measure
// them.
func (b *Bench) workFigures(ctx context.Context, m *rwcapacity.Slopes) error {
	b.seen = map[string]float64{}
	for _, name := range []string{"path", "loss.both.kill", "loss.engine.freeze", "records"} {
		if err := b.Run(ctx, name); err != nil {
			fmt.Fprintln(os.Stderr, name, err)
		}
	}
	m.TokenCore = b.seen["path.cpu"] / 1e6
	m.StreamMemory = b.seen["path.memory"]
	m.First = b.seen["path.first.through.p95"]
	m.AddedGap = b.seen["path.added.p95"] / 1000
	m.ResumeKill = b.seen["loss.both.kill.resume.p95"]
	m.ResumeFreeze = b.seen["loss.engine.freeze.resume.p95"]
	m.OrderCalls = b.seen["records.group.calls"]
	return nil
}
