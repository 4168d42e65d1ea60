package rwmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ragwortwall/internal/rwlab"
	"ragwortwall/internal/rwload"

	"github.com/juju/errors"
)

// Line is one figure.
type Line struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target,omitempty"`
	Holds  *bool   `json:"holds,omitempty"`
}

// Scenario is one measurement.
type Scenario struct {
	Name  string
	About string
	run   func(b *Bench, ctx context.Context) error //nolint:revive // the form of a method expression
}

// Scenarios is the index of all measurements.
var Scenarios = []Scenario{
	{"path", "added latency, processor time and memory of the path", (*Bench).path},
	{"loss.engine.kill", "resume latency, engines killed", blowNamed("engine.kill")},
	{"loss.engine.freeze", "resume latency, engines frozen", blowNamed("engine.freeze")},
	{"loss.instance.kill", "resume latency, instances killed", blowNamed("instance.kill")},
	{"loss.instance.freeze", "resume latency, instances frozen", blowNamed("instance.freeze")},
	{"loss.both.kill", "resume latency, an engine and an instance killed together", blowNamed("both.kill")},
	{"orders", "orders under kills, and store calls an order", (*Bench).orders},
	{"records", "group commit against one object a call", (*Bench).records},
	{"overload", "three times the load, every refused caller repeating", (*Bench).overload},
	{"prefix", "prefix cache hits against random choice", (*Bench).prefix},
	{"replace", "rolling replacement of all instances under load", (*Bench).replace},
	{"slow", "memory held for slow readers", (*Bench).slow},
}

// Bench runs scenarios. Set the exported fields before Run.
type Bench struct {
	Bin string // directory of the programs
	Out io.Writer

	failed int
	seen   map[string]float64
}

// Run runs the named scenarios, or all, and returns an error when a target does
// not hold.
func (b *Bench) Run(ctx context.Context, names ...string) error {
	for _, s := range Scenarios {
		if len(names) > 0 && !contains(names, s.Name) {
			continue
		}
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "stopped before "+s.Name)
		}
		started := time.Now()
		if err := s.run(b, ctx); err != nil {
			return errors.Annotate(err, s.Name)
		}
		b.figure(s.Name+".took", time.Since(started).Seconds(), "s")
	}
	if b.failed > 0 {
		return errors.Errorf("%d targets do not hold", b.failed)
	}
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name || strings.HasPrefix(name, n+".") {
			return true
		}
	}
	return false
}

// figure prints a figure without a target.
func (b *Bench) figure(name string, value float64, unit string) {
	b.print(Line{Name: name, Value: value, Unit: unit})
}

// most prints a figure that must not be over its target.
func (b *Bench) most(name string, value float64, unit string, target float64) {
	b.held(name, value, unit, fmt.Sprintf("<= %g", target), value <= target)
}

// least prints a figure that must not be under its target.
func (b *Bench) least(name string, value float64, unit string, target float64) {
	b.held(name, value, unit, fmt.Sprintf(">= %g", target), value >= target)
}

func (b *Bench) held(name string, value float64, unit, target string, holds bool) {
	if !holds {
		b.failed++
	}
	b.print(Line{Name: name, Value: value, Unit: unit, Target: target, Holds: &holds})
}

func (b *Bench) print(l Line) {
	if b.seen != nil {
		b.seen[l.Name] = l.Value
	}
	encoder := json.NewEncoder(b.Out)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(l)
}

const logsMode = 0o755

// fleet starts a fleet for one scenario. Its logs stay in out/logs until the
// next one starts.
func (b *Bench) fleet(ctx context.Context, fleet *rwlab.Fleet) (*rwlab.Fleet, func(), error) {
	logs := filepath.Join(filepath.Dir(b.Bin), "out", "logs")
	if err := os.RemoveAll(logs); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := os.MkdirAll(logs, logsMode); err != nil {
		return nil, nil, errors.Trace(err)
	}
	fleet.Bin = b.Bin
	fleet.Logs = logs
	if err := fleet.Start(ctx); err != nil {
		fleet.Stop()
		return nil, nil, err
	}
	return fleet, fleet.Stop, nil
}

// options is a load on a fleet, to be changed as the scenario needs.
func options(f *rwlab.Fleet) rwload.Options {
	return rwload.Options{
		Targets: f.Targets(), Key: rwlab.CallerKey, Model: rwlab.Model, Requests: 60, Tokens: 300,
		Prompt: 1000, Shared: 0.8, Styles: 6, Seed: 1, Patience: 2 * time.Minute, Repeat: true,
		Break: 300 * time.Millisecond, Path: "/orders/new",
	}
}

// whole prints how many tokens were wrong and requests unanswered.
func (b *Bench) whole(name string, r rwload.Report) {
	b.most(name+".wrong", float64(r.Wrong), "answers", 0)
	b.most(name+".unfinished", float64(r.Unfinished), "requests", 0)
	fmt.Fprintf(os.Stderr, "%s longest gap %.3fs of %s until %s\n", name, r.Worst.Gap, r.Worst.Generation, r.Worst.Ended.UTC().Format(time.RFC3339Nano))
	for reason, n := range r.Reasons {
		fmt.Fprintln(os.Stderr, name, "refused", n, reason)
	}
	for _, e := range r.Errors {
		fmt.Fprintln(os.Stderr, name, "error:", strings.TrimSpace(e))
	}
}
