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

// Result is one measured value and, if it has one, its target.
type Result struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target,omitempty"` // such as "<= 4"; empty if there is none
	Met    *bool   `json:"holds,omitempty"`  // whether Value meets Target; nil without a target
}

// Scenario is a benchmark, run by its name.
type Scenario struct {
	Name        string
	Description string                                    // for the list of scenarios
	run         func(b *Bench, ctx context.Context) error //nolint:revive // the form of a method expression
}

// Scenarios lists all scenarios in the order in which they run.
var Scenarios = []Scenario{
	{"path", "added latency, CPU time and memory of streams through the instances", (*Bench).measurePath},
	{"loss.engine.kill", "resume latency, engines killed", faultScenario("engine.kill")},
	{"loss.engine.freeze", "resume latency, engines frozen", faultScenario("engine.freeze")},
	{"loss.instance.kill", "resume latency, instances killed", faultScenario("instance.kill")},
	{"loss.instance.freeze", "resume latency, instances frozen", faultScenario("instance.freeze")},
	{"loss.both.kill", "resume latency, an engine and an instance killed at once", faultScenario("both.kill")},
	{"orders", "orders while instances are killed, and store calls per order", (*Bench).measureOrders},
	{"records", "group commit compared with one object per call", (*Bench).measureRecords},
	{"overload", "three times the capacity, every refused caller retrying at once", (*Bench).measureOverload},
	{"prefix", "prefix cache hits compared with random routing", (*Bench).measurePrefixHits},
	{"replace", "rolling replacement of all instances under load", (*Bench).measureReplacement},
	{"slow", "memory used for slow readers", (*Bench).measureSlowReaders},
}

// Bench runs scenarios. Set the exported fields before Run.
type Bench struct {
	Bin string    // directory of the executables, in the root of the repository
	Out io.Writer // for the results, one JSON object a line

	missedTargets int
	values        map[string]float64 // value of each result by its name; not recorded if nil
}

// Run runs the named scenarios, or all if no name is given. A name also selects the
// scenarios whose names begin with it and a dot. Run returns an error if a scenario
// fails or, at the end, if a target was missed.
func (b *Bench) Run(ctx context.Context, names ...string) error {
	for _, s := range Scenarios {
		if len(names) > 0 && !matchesAny(names, s.Name) {
			continue
		}
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "interrupted before scenario "+s.Name)
		}
		started := time.Now()
		if err := s.run(b, ctx); err != nil {
			return errors.Annotate(err, s.Name)
		}
		b.printValue(s.Name+".took", time.Since(started).Seconds(), "s")
	}
	if b.missedTargets > 0 {
		return errors.Errorf("%d targets were missed", b.missedTargets)
	}
	return nil
}

// matchesAny reports whether name is one of names or begins with one of them and a
// dot.
func matchesAny(names []string, name string) bool {
	for _, n := range names {
		if n == name || strings.HasPrefix(name, n+".") {
			return true
		}
	}
	return false
}

// printValue prints a value without a target.
func (b *Bench) printValue(name string, value float64, unit string) {
	b.printResult(Result{Name: name, Value: value, Unit: unit})
}

// checkMax prints a value that must not exceed its target.
func (b *Bench) checkMax(name string, value float64, unit string, target float64) {
	b.checkTarget(name, value, unit, fmt.Sprintf("<= %g", target), value <= target)
}

// checkMin prints a value that must not be below its target.
func (b *Bench) checkMin(name string, value float64, unit string, target float64) {
	b.checkTarget(name, value, unit, fmt.Sprintf(">= %g", target), value >= target)
}

func (b *Bench) checkTarget(name string, value float64, unit, target string, met bool) {
	if !met {
		b.missedTargets++
	}
	b.printResult(Result{Name: name, Value: value, Unit: unit, Target: target, Met: &met})
}

func (b *Bench) printResult(r Result) {
	if b.values != nil {
		b.values[r.Name] = r.Value
	}
	encoder := json.NewEncoder(b.Out)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(r)
}

const logsMode = 0o755

// startFleet starts a fleet for one scenario and returns it with the function that
// stops it. Its logs stay in out/logs until the next fleet starts.
func (b *Bench) startFleet(ctx context.Context, fleet *rwlab.Fleet) (*rwlab.Fleet, func(), error) {
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

// loadOptions returns the default load on a fleet, which scenarios adjust.
func loadOptions(f *rwlab.Fleet) rwload.Options {
	return rwload.Options{
		Targets: f.Targets(), APIKey: rwlab.CallerKey, Model: rwlab.Model, Requests: 60, MaxTokens: 300,
		PromptBytes: 1000, SharedPrefixShare: 0.8, SharedPrefixes: 6, Seed: 1, Timeout: 2 * time.Minute, RetryAfterRefusal: true,
		MinInterruption: 300 * time.Millisecond, OrderPath: "/orders/new",
	}
}

// checkAnswers prints the numbers of wrong answers and of requests without an
// answer, which must be 0, and writes details to standard error.
func (b *Bench) checkAnswers(name string, r rwload.Report) {
	b.checkMax(name+".wrong", float64(r.Wrong), "answers", 0)
	b.checkMax(name+".unfinished", float64(r.Unfinished), "requests", 0)
	fmt.Fprintf(os.Stderr, "%s longest gap: %.3fs in generation %s, ended %s\n", name, r.WorstGap.Gap, r.WorstGap.Generation, r.WorstGap.Ended.UTC().Format(time.RFC3339Nano))
	for reason, n := range r.Reasons {
		fmt.Fprintln(os.Stderr, name, "refused", n, reason)
	}
	for _, e := range r.Errors {
		fmt.Fprintln(os.Stderr, name, "error:", strings.TrimSpace(e))
	}
}
