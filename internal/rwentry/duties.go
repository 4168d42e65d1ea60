package rwentry

import (
	"context"
	"slices"
	"time"

	"ragwortwall/internal/rwduty"
	"ragwortwall/internal/rwforward"
	"ragwortwall/internal/rwscale"
	"ragwortwall/internal/rwusage"
	"ragwortwall/internal/rwversion"
)

// handOverTimeout bounds how long a stopping instance waits for its calls under the lease to
// end and for the store to take the lease back. The lease ends by itself after that.
const handOverTimeout = 2 * time.Second

// DutyClient carries out the duties. Its errors are of rwerror.KindConflict if a call was refused as
// outdated: see rwduty.Lease.Call.
type DutyClient interface {
	ReportUsage(ctx context.Context, g rwduty.Grant, window int64, counts map[string]int64) error
	OrderServers(ctx context.Context, g rwduty.Grant, service, zone string, count int) error
}

// duties carries out what one instance does at a time, if the deployment has such duties.
type duties struct {
	instance *Instance
	lease    rwduty.Lease
	demand   rwscale.Collector // sampled by all instances, so that each can take the duty over
	servers  rwscale.Orderer
	usage    rwusage.Duty
}

// build sets up the lease. Without duties it isn't used.
func (d *duties) build(i *Instance) {
	d.instance = i
	d.lease.Self, d.lease.Rules = i.Settings.Name, rwduty.NewRules(i.Settings.Duties.LeaseBound)
	d.lease.Store, d.lease.Announcer, d.lease.Rank = i.Stores.Duties, &i.exchange, i.members.DutyRank
	d.lease.Eligible, d.lease.Count, d.lease.Log = d.eligible, i.counters.Increment, i.Log
	if d.wanted() {
		i.exchange.HeardDuty = d.lease.Heard
	}
	table := i.feeds.desiredState.Table
	d.demand.Source, d.demand.Table = i.directory, table
	d.servers.Collector, d.servers.Table, d.servers.Lease, d.servers.Platform = &d.demand, table, &d.lease, i.DutyClient
	d.servers.ListAge, d.servers.Moving, d.servers.Heard = i.feeds.servers.Age, d.moving, d.heard
	d.servers.Count, d.servers.Log = i.counters.Increment, i.Log
	d.usage.Self, d.usage.Life, d.usage.Window, d.usage.Due = i.Settings.Name, i.exchange.Incarnation, i.Settings.Duties.UsageWindow, i.Settings.Duties.UsageDue
	d.usage.Lease, d.usage.Peers, d.usage.Store, d.usage.Platform = &d.lease, &i.exchange, i.Stores.Usage, i.DutyClient
	d.usage.Count, d.usage.Log = i.counters.Increment, i.Log
	if d.reportsUsage() {
		i.exchange.Usage = &d.usage
	}
}

// reportsUsage reports whether this instance counts requests for reports of usage.
func (d *duties) reportsUsage() bool {
	return d.wanted() && d.instance.Settings.Duties.Usage && d.instance.Stores.Usage != nil
}

// usageCounter returns what counts requests for reports of usage, nil without them.
func (d *duties) usageCounter() rwforward.UsageCounter {
	if !d.reportsUsage() {
		return nil
	}
	return &d.usage
}

// moving reports whether a version move of a service runs.
func (d *duties) moving(service string) bool {
	return slices.ContainsFunc(d.instance.moves.tracker.Running(), func(m rwversion.Move) bool { return m.Service == service })
}

// heard returns how many other instances were heard from lately, and how many are listed.
func (d *duties) heard() (heard, known int) {
	return d.instance.exchange.HeardWithin(rwscale.HeardWithin), d.instance.members.Count() - 1
}

// wanted reports whether this instance takes part in duties.
func (d *duties) wanted() bool {
	return d.instance.Settings.Duties.Any() && d.instance.Stores.Duties != nil && d.instance.DutyClient != nil
}

// eligible reports whether this instance may claim the lease: it serves callers, so that it is
// no longer starting and not stopping, knows the other instances and isn't cut off from the
// store, as far as it watches that.
func (d *duties) eligible() bool {
	feeds := &d.instance.feeds
	_, known := feeds.members.Age()
	cutOff := feeds.isWatcher() && feeds.stateWatcher.Failing()
	return known && d.instance.ready() && !cutOff
}

// loops returns what runs in the background. Parts that carry out duties add their loops here.
func (d *duties) loops() []func(context.Context) {
	if !d.wanted() {
		return nil
	}
	loops := []func(context.Context){d.lease.Run}
	if d.instance.Settings.Duties.Scale {
		loops = append(loops, d.demand.Run, d.servers.Run)
	}
	if d.reportsUsage() {
		loops = append(loops, d.usage.Run)
	}
	return loops
}

// release hands the lease over when the instance stops, before it drains.
func (d *duties) release() {
	if !d.wanted() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	d.lease.Release(ctx)
}

// flush sends what was counted last, once the requests have ended.
func (d *duties) flush() {
	if d.reportsUsage() {
		d.usage.Flush()
	}
}

// DutyDump is the state of the duties in a StateDump.
type DutyDump struct {
	Holder string  `json:"holder"` // as last heard of or known; empty if none is
	Fence  int64   `json:"fence"`  // its fencing number
	Own    bool    `json:"own"`    // this instance may call now
	Rank   int     `json:"rank"`   // number of claimants that go before this instance
	Bound  float64 `json:"bound"`  // seconds within which two holders must not take turns

	Services []rwscale.ServiceDump `json:"services,omitempty"` // whose servers it orders
}

// dump returns the state of the duties, nil without any.
func (d *duties) dump() *DutyDump {
	if !d.wanted() {
		return nil
	}
	name, fence, _ := d.lease.Holder()
	_, own := d.lease.Current()
	return &DutyDump{Holder: name, Fence: fence, Own: own, Rank: d.instance.members.DutyRank(name), Bound: d.instance.Settings.Duties.LeaseBound.Seconds(), Services: d.servers.Dump()}
}
