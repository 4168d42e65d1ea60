// Command rwsoak runs real instances against stand-ins under a schedule of faults and
// checks their guarantees from outside.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"ragwortwall/internal/rwsoak"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Program    string        `long:"program" default:"bin/rwentry" description:"program to run as each instance"`
	Production string        `long:"production" description:"commit of the history whose build all instances start with; they are replaced by the program one after the other, and half of them back"`
	Logs       string        `long:"logs" default:"out/soak" description:"directory for logs and reports"`
	Seed       uint64        `long:"seed" description:"first seed; if 0, the Unix time in milliseconds, but 0 itself with --measure"`
	Seeds      int           `long:"seeds" default:"1" description:"number of seeds to run, one after the other, counting up from the first"`
	Length     time.Duration `long:"length" default:"15s" description:"how long faults are injected for each seed; with --measure, the duration of each load"`
	Instances  int           `long:"instances" default:"6" description:"number of instances"`
	Models     int           `long:"models" default:"4" description:"number of model servers in each availability zone"`
	Poison     bool          `long:"poison" description:"also send a request that crashes each server that runs it, and check that it is kept from the servers"`
	Planned    bool          `long:"planned" description:"inject no faults but graceful stops of instances and drains of servers, beside silent servers and changes of settings"`
	Parts      bool          `long:"parts" description:"also send different requests with a part of a prompt that crashes each server that begins a response on it, and check that they are kept from the servers and that requests with the same other parts are served"`
	Reads      bool          `long:"reads" description:"also send reads without a prompt that crash each server that runs them, with a new query each time, and check that they are kept from the servers"`
	Limits     bool          `long:"limits" description:"have servers name limits on the requests that they take, change and end them, and check that they get no more"`
	Statements bool          `long:"statements" description:"have servers say that they are leaving, or how long they want no requests, and check that they get none"`
	Duties     bool          `long:"duties" description:"also kill, pause, cut off and stop whoever holds the duties, one after the other, and check that never two instances carry them out and that they go on"`
	Paths      bool          `long:"paths" description:"also cut instances from all servers, or from the servers and the store, and check that their callers are served"`
	Losses     bool          `long:"losses" description:"losses that are hard to judge: a zone's instances leave for good, a request crashes all servers of a service each time that it comes (even seeds), instances are cut off from the store, and servers leave without a word just after (odd seeds); as --planned besides"`
	Visitors   bool          `long:"visitors" description:"instances leave for good and new ones come, one after the other, while keys are taken away and the store turns an instance away; as --planned besides"`
	Stops      bool          `long:"stops" description:"inject only stops, reloads and changes of settings, in series that overlap, and read streams on connections that are kept until they end"`
	Outside    bool          `long:"outside" description:"also send crowds of clients outside the limits to instances with the memory of the smallest machine, and check that these live and that others are served"`
	Measure    bool          `long:"measure" description:"instead of the soak, measure a series of loads one after the other, starting with a baseline without faults"`
}

// productionFolder keeps builds of earlier commits.
const productionFolder = "out/production"

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	var ok bool
	if o.Measure {
		ok = o.runMeasurement()
	} else {
		ok = o.runSeeds()
	}
	if !ok {
		os.Exit(1)
	}
}

// runMeasurement measures the loads, prints a line of JSON for each, and reports
// whether all could be measured.
func (o options) runMeasurement() bool {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	soak := &rwsoak.Soak{Program: o.Program, Logs: filepath.Join(o.Logs, "measure"), Seed: o.Seed, Duration: o.Length, Instances: o.Instances, ModelsPerZone: o.Models}
	phases, err := soak.Measure(ctx)
	for _, p := range phases {
		line, err := json.Marshal(p)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		fmt.Println(string(line))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Println("plot of the pauses: " + filepath.Join(soak.Logs, "pauses.svg"))
	return true
}

// runSeeds runs the soak with each seed and reports whether every guarantee held.
func (o options) runSeeds() bool {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixMilli())
	}
	former := ""
	if o.Production != "" {
		program, err := rwsoak.BuildCommit(ctx, o.Production, productionFolder)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		former = program
	}
	failed := 0
	for n := range uint64(o.Seeds) {
		if ctx.Err() != nil {
			break
		}
		if !o.runSeed(ctx, o.Seed+n, former) {
			failed++
		}
	}
	fmt.Printf("soak: %d passed, %d failed\n", o.Seeds-failed, failed)
	return failed == 0
}

// runSeed runs the soak with a seed, prints a summary and reports whether every
// guarantee held. It removes the folder with the logs only if all held.
func (o options) runSeed(ctx context.Context, seed uint64, former string) bool {
	folder := filepath.Join(o.Logs, fmt.Sprint(seed))
	soak := &rwsoak.Soak{Program: o.Program, Former: former, Logs: folder, Seed: seed, Duration: o.Length, Instances: o.Instances, ModelsPerZone: o.Models, Poison: o.Poison, Parts: o.Parts, Reads: o.Reads, Limits: o.Limits, Statements: o.Statements, Paths: o.Paths, Stops: o.Stops, Visitors: o.Visitors, Losses: o.Losses, Outside: o.Outside, Duties: o.Duties, PlannedOnly: o.Planned}
	report, err := soak.Run(ctx)
	if err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	content, err := json.MarshalIndent(report, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, "report.json"), append(content, '\n'), 0o600)
	}
	if err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	fmt.Printf("seed %d: %d faults, %d streams (%d unfinished, %d attempts cut, %d prompts read, longest pause %.2f s), %d of %d orders done, %d of %d requests cut on kept connections, %d servers crashed by a request, %d guarantees broken\n",
		seed, len(report.Faults), report.Streams, report.Unfinished, report.CutStreams, report.Prefills, report.LongestPause, report.OrdersDone, report.Orders, report.Cut, report.Kept, report.Crashes, len(report.Violations))
	if o.Outside {
		fmt.Printf("  %d crowds outside the limits, peaks of %d MB and %d descriptors of an instance\n", report.Crowds, report.PeakMemory, report.PeakDescriptors)
	}
	if o.Parts {
		fmt.Printf("  %d late arrivals of the crashing part; sound requests begun: %v before, %v after\n", report.LateParts, report.SoundBefore, report.SoundAfter)
	}
	if o.Duties {
		fmt.Printf("  %d holders of the duties disturbed, %d calls accepted\n", report.Holders, report.DutyCalls)
	}
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(folder)
		return true
	}
	return false
}
