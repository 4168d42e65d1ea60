package rwusage

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

// Peer is an instance, with its availability zone.
type Peer struct {
	Name string
	Zone string
}

// Peers sends datagrams to other instances. They may get lost.
type Peers interface {
	SendUsage(to []string, m Message)
	AnswerUsage(to string, a Answer)
	// UsageRank returns all instances, this one included, in an order that is the same on all.
	UsageRank() []Peer
}

const (
	// minRoundInterval and maxRoundInterval limit the time between two rounds of sending sums,
	// a tenth of a window.
	minRoundInterval = 250 * time.Millisecond
	maxRoundInterval = 2 * time.Second
	roundsPerWindow  = 10
	// partsPerWindow is how finely requests are counted while the fleet's time isn't known.
	partsPerWindow = 100
	// deputies is how many instances get all sums besides the holder.
	deputies = 2
	// passAfter is how long an instance must be silent until others pass its sums on to the holder.
	passAfter = 2 * time.Second
	// contactInterval is how often an instance without sums makes itself heard.
	contactInterval = 2 * time.Second
	// answerInterval is how often the holder answers an instance when nothing has changed, and
	// minAnswerInterval how often it does at most.
	answerInterval    = 5 * time.Second
	minAnswerInterval = time.Second
	// settleShare is the part of Due for which the sums of a window may still arrive.
	settleShare = 0.3
	// gatherRounds is how many rounds a new holder waits for the sums of the others.
	gatherRounds = 3
)

// Duty counts, gathers and reports usage. Set the exported fields before Run.
type Duty struct {
	Self     string
	Life     int64         // incarnation of this instance; grows with each restart
	Window   time.Duration // length of a window
	Due      time.Duration // after the end of a window, by when it is to be reported
	Lease    Lease
	Peers    Peers
	Store    WindowStore
	Platform Receiver
	Count    func(counter string) // counts an event; nil for none
	Log      logr.Logger
	Now      func() rwtime.BootTime // nil for the boot-time clock
	Clock    *Clock                 // nil for one that starts with the time of day

	counter counter
	anchor  atomic.Pointer[anchor]
	reports reporter

	mu       sync.Mutex
	clocks   Clocks
	sums     Sums
	ledger   ledger
	era      int64 // of the store, as last seen
	round    int64
	holder   Grantee         // as last seen
	deputies []string        // as the holder told them; nil if it hasn't yet
	reached  rwtime.BootTime // when a message was last sent to the holder
	answered map[string]answered
}

// Grantee is the holder of the duties under one fencing number.
type Grantee struct {
	Name  string
	Fence int64
}

// answered is the latest answer to an instance.
type answered struct {
	at     rwtime.BootTime
	answer Answer
}

// isOver reports whether an answer is due after this one, to a message.
func (a answered) isOver(next Answer, m Message, now rwtime.BootTime) bool {
	last, since := a.answer, time.Duration(now-a.at)
	switch {
	case m.Unset && next.Now != 0, last.Fence != next.Fence:
		return true
	case since < minAnswerInterval:
		return false
	case (last.Now == 0) != (next.Now == 0), last.Closed != next.Closed, last.Reported != next.Reported:
		return true
	}
	return since >= answerInterval || !slices.Equal(last.Deputies, next.Deputies)
}

// anchor relates the monotonic clock of a request's times to the fleet's time, or to the own one
// while that isn't known.
type anchor struct {
	at   time.Time
	time Time
	own  bool
}

// prepare sets what Run and the tests need before the first round.
func (d *Duty) prepare() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Now == nil {
		d.Now = rwtime.Now
	}
	if d.Clock == nil {
		d.Clock = NewClock(time.Now(), d.Now())
	}
	d.ledger.window, d.ledger.due = d.Window, d.Due
	d.ledger.settle = time.Duration(settleShare * float64(d.Due))
	d.reports.duty = d
	d.setAnchor()
}

// Run sends sums and, while this instance holds the duties, reports, until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	d.prepare()
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { d.reports.run(ctx) })
	rwtime.Every(ctx, d.roundInterval(), d.sendRound)
}

// Flush sends what was counted last, when an instance stops: after its last request and before
// its socket is closed.
func (d *Duty) Flush() {
	if d.anchor.Load() != nil {
		d.sendRound()
	}
}

// roundInterval is the time between two rounds of sending sums.
func (d *Duty) roundInterval() time.Duration {
	return min(maxRoundInterval, max(minRoundInterval, d.Window/roundsPerWindow))
}

// gatherTime is how long a new holder waits for the sums of the others.
func (d *Duty) gatherTime() time.Duration { return gatherRounds * d.roundInterval() }

func (d *Duty) now() rwtime.BootTime { return d.Now() }

func (d *Duty) fleetTime() Time { return d.Clock.Fleet(d.now()) }

func (d *Duty) count(name string) {
	if d.Count != nil {
		d.Count(name)
	}
}

func (d *Duty) setAnchor() {
	own := !d.Clock.Known()
	d.anchor.Store(&anchor{at: time.Now(), time: d.fleetTime(), own: own})
}

// partLength is the length of the parts in which requests are counted while the fleet's time isn't
// known.
func (d *Duty) partLength() time.Duration { return d.Window / partsPerWindow }

func (d *Duty) self() Origin { return Origin{d.Self, d.Life} }

// CountBegun counts a request of an organisation that a backend server began at a time. Requests
// without an organisation aren't counted. It may be called before Run, which then counts nothing.
func (d *Duty) CountBegun(organisation string, at time.Time) {
	a := d.anchor.Load()
	if organisation == "" || a == nil {
		return
	}
	began, length := a.time.Add(at.Sub(a.at)), d.Window
	if a.own {
		length = d.partLength()
	}
	d.counter.add(slot{a.own, windowAt(began, length), organisation}, 1)
}

// Receive handles a message of another instance and of its life.
func (d *Duty) Receive(from string, life int64, m Message) {
	if d.anchor.Load() == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count("usage_messages")
	origin := Origin{from, life}
	if m.Origin != "" {
		origin = Origin{m.Origin, m.Life}
	} else {
		d.sums.Hear(origin, d.now())
	}
	if origin != d.self() {
		d.merge(origin, m.Sums)
	}
	if m.Clock != 0 {
		d.clocks.Hear(from, micros(m.Clock), d.Clock.Own(d.now()), d.now())
		d.answer(from, m)
	}
}

// merge adds the sums of an origin for windows that aren't closed.
func (d *Duty) merge(o Origin, sums map[int64]map[string]int64) {
	first, last := d.openWindows()
	for window, names := range sums {
		if window < first || window > last+1 {
			continue
		}
		for name, count := range names {
			if !d.sums.Raise(o, window, name, count) {
				d.count("usage_sums_dropped")
			}
		}
	}
}

// openWindows returns the first window that isn't closed, and the present one.
func (d *Duty) openWindows() (first, last int64) {
	now := d.fleetTime()
	last = windowAt(now, d.Window)
	return max(d.ledger.closed+1, windowAt(now.Add(-d.ledger.life()), d.Window)), last
}

// answer answers a message if this instance is the holder, unless it told the same lately.
func (d *Duty) answer(to string, m Message) {
	g, ok := d.Lease.Current()
	if !ok || d.holder.Name != d.Self {
		return
	}
	a := Answer{Fence: g.Fence, Echo: m.Clock, Closed: d.ledger.closed, Reported: d.ledger.reportedThrough(), Deputies: d.chooseDeputies()}
	if d.Clock.Known() {
		a.Now = toMicros(d.fleetTime())
	}
	if last, known := d.answered[to]; known && !last.isOver(a, m, d.now()) {
		return
	}
	if d.answered == nil {
		d.answered = map[string]answered{}
	}
	d.answered[to] = answered{d.now(), a}
	d.Peers.AnswerUsage(to, a)
}

// ReceiveAnswer handles an answer of the holder.
func (d *Duty) ReceiveAnswer(from string, a Answer) {
	if d.anchor.Load() == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, own := d.Lease.Current(); own || a.Fence < d.holder.Fence {
		return
	}
	if from == d.holder.Name {
		d.deputies = a.Deputies
	}
	if a.Now != 0 {
		d.Clock.Learn(micros(a.Echo), micros(a.Now), d.now())
		d.setAnchor()
	}
	d.ledger.learn(a.Closed, a.Reported, d.fleetTime())
}

// sendRound sends the sums that changed, and repeats of others, to the holder and its deputies.
func (d *Duty) sendRound() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.round++
	d.collect()
	d.observeEra()
	d.followHolder()
	first, last := d.openWindows()
	d.sums.DropThrough(min(first, last) - 1)
	d.ledger.forget(d.fleetTime())
	d.send(d.recipients(), Origin{}, d.sums.Due(d.self(), d.round))
	if d.holder.Name == "" || d.holder.Name == d.Self {
		return
	}
	for _, o := range d.sums.Silent(d.self(), d.now(), passAfter) {
		d.send([]string{d.holder.Name}, o, d.sums.Due(o, d.round))
	}
}

// collect adds what this instance has counted to its sums. What it counted by its own time waits
// until the fleet's is known.
func (d *Duty) collect() {
	shift := d.fleetTime().Sub(d.Clock.Own(d.now()))
	for s, count := range d.counter.take() {
		window := s.number
		if s.own {
			if !d.Clock.Known() {
				d.counter.add(s, count)
				continue
			}
			middle := windowEnd(s.number, d.partLength()).Add(-d.partLength() / 2)
			window = windowAt(middle.Add(shift), d.Window)
		}
		if window > d.ledger.closed && !d.sums.Add(d.self(), window, s.name, count) {
			d.count("usage_sums_dropped")
		}
	}
}

// followHolder has all sums sent anew when the holder has changed, and keeps the fleet's time
// while this instance is the holder.
func (d *Duty) followHolder() {
	name, fence, ok := d.Lease.Holder()
	if ok && (Grantee{name, fence}) != d.holder {
		d.clocks.Forget(d.holder.Name) // it was replaced: it may be gone
		d.holder, d.deputies, d.reached = Grantee{name, fence}, nil, 0
		d.answered = nil
		d.sums.Resend()
	}
	if _, own := d.Lease.Current(); own {
		d.keepTime()
	}
	d.setAnchor()
}

// keepTime sets the fleet's time to that of most instances, once they were heard.
func (d *Duty) keepTime() {
	held := time.Duration(d.now() - d.reports.since())
	least := min(minClocks, len(d.Peers.UsageRank())-1)
	if held >= clockWait {
		least = 0
	}
	if shift, ok := d.clocks.Median(least, d.now()); ok && held >= d.gatherTime() {
		d.Clock.Set(shift)
	}
}

// observeEra records that the store may have come back older.
func (d *Duty) observeEra() {
	era := d.Store.Era()
	if era > d.era && (d.era > 0 || era > firstEra) {
		d.ledger.doubtUntil = d.fleetTime()
	}
	d.era = max(d.era, era)
}

// firstEra is that of a store which has never come back older.
const firstEra = 1

// recipients returns the instances that this one sends its sums to.
func (d *Duty) recipients() []string {
	to := d.deputies
	if to == nil {
		to = d.chooseDeputies()
	}
	if d.holder.Name != "" && !slices.Contains(to, d.holder.Name) {
		to = append([]string{d.holder.Name}, to...)
	}
	return slices.DeleteFunc(slices.Clone(to), func(name string) bool { return name == d.Self })
}

// chooseDeputies returns the first instances by rank that aren't the holder, in other zones than
// its own and each other's if possible. The holder takes those that it has heard lately.
func (d *Duty) chooseDeputies() []string {
	holder := d.holder.Name
	rank := slices.DeleteFunc(slices.Clone(d.Peers.UsageRank()), func(p Peer) bool {
		return p.Name != holder && holder == d.Self && !d.clocks.Alive(p.Name, d.now())
	})
	var zones, chosen []string
	for _, p := range rank {
		if p.Name == holder {
			zones = append(zones, p.Zone)
		}
	}
	for _, elsewhere := range []bool{true, false} {
		for _, p := range rank {
			if len(chosen) == deputies {
				return chosen
			}
			if p.Name == holder || slices.Contains(chosen, p.Name) || elsewhere && slices.Contains(zones, p.Zone) {
				continue
			}
			chosen, zones = append(chosen, p.Name), append(zones, p.Zone)
		}
	}
	return chosen
}

// send sends sums of an origin, the zero one for this instance, to some instances. Without sums it
// sends a message now and then, to be heard.
func (d *Duty) send(to []string, o Origin, sums map[int64]map[string]int64) {
	parts, dropped := split(sortedSums(sums))
	for range dropped {
		d.count("usage_sums_dropped")
	}
	own := o == Origin{}
	unset := !d.Clock.Known()
	if own && len(parts) == 0 && (unset || time.Duration(d.now()-d.reached) >= contactInterval) {
		parts = append(parts, nil)
	}
	for _, part := range parts {
		m := Message{Origin: o.Name, Life: o.Life, Sums: part}
		if own {
			m.Clock, m.Unset = toMicros(d.Clock.Own(d.now())), unset
			d.reached = d.now()
		}
		if len(to) > 0 {
			d.Peers.SendUsage(to, m)
		}
	}
}

func micros(n int64) Time { return Time(n) * Time(time.Microsecond) }

func toMicros(t Time) int64 { return int64(t) / int64(time.Microsecond) }
