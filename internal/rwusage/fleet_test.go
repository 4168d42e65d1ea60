package rwusage

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwduty"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

const (
	testWindow  = 5 * time.Second
	testDue     = 10 * time.Second
	testLatency = time.Millisecond
	testLoss    = 0.1             // of the datagrams
	takeover    = 4 * time.Second // from the loss of a holder to the next
	tolerance   = 0.05            // of a report
	testPause   = 2 * time.Second // mean time between requests of an organisation at an instance
	bootOffset  = 100 * time.Hour // readings of boot-time clocks of instances differ
	// untoldRounds is how many rounds a killed instance may not have told of: the present one, and
	// one whose datagrams got lost.
	untoldRounds = 2
	maxDatagram  = 1400
)

var errAway = rwerror.New(rwerror.KindUnavailable, "try again", "away")

// world is a fleet with its network, lease, store and platform, in memory.
type world struct {
	t *testing.T

	mu        sync.Mutex
	random    *rand.Rand
	nodes     map[string]*node
	names     []string
	holder    string
	fence     int64
	truth     map[int64]map[string]int64
	objects   map[int64]Report
	era       int64
	storeAway bool
	lostWrite bool // writes take effect, their answers are lost
	reports   map[int64][]report
	away      bool // the platform
	lostCalls bool // calls take effect, their answers are lost
	refuse    bool // as for a higher fencing number
	refused   []rwduty.Grant
	bytes     map[string]int // received, by instance
	skew      func(n int) time.Duration
	untold    map[int64]map[string]int64 // counted by instances that were killed, since they last told
}

// report is a report that the platform accepted.
type report struct {
	at      time.Time
	content string
	grant   rwduty.Grant
}

// node is one life of an instance.
type node struct {
	w    *world
	name string
	zone string
	duty *Duty
	kill func()

	latest []count // of about the last round
}

// count is a request that was counted.
type count struct {
	at     time.Time
	window int64
	org    string
}

func newWorld(t *testing.T, size int, skew func(n int) time.Duration) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(1, 0)), nodes: map[string]*node{}, truth: map[int64]map[string]int64{}, era: 1,
		objects: map[int64]Report{}, reports: map[int64][]report{}, bytes: map[string]int{}, skew: skew, untold: map[int64]map[string]int64{},
	}
	for n := range size {
		w.names = append(w.names, fmt.Sprintf("entry-%d-%d", n%3, n))
	}
	for n := range size {
		w.start(n, 1)
	}
	w.elect(w.names[0])
	return w
}

// start starts an instance and its traffic.
func (w *world) start(n int, life int64) {
	name := w.names[n]
	ctx, cancel := context.WithCancel(w.t.Context())
	base := time.Now().Add(-bootOffset - time.Duration(n)*time.Hour)
	boot := func() rwtime.BootTime { return rwtime.BootTime(time.Since(base)) }
	x := &node{w: w, name: name, zone: fmt.Sprint("zone-", n%3), kill: cancel}
	x.duty = &Duty{
		Self: name, Life: life, Window: testWindow, Due: testDue, Lease: x, Peers: x, Store: x, Platform: x, Log: logr.Discard(),
		Now: boot, Clock: NewClock(time.Now().Add(w.skew(n)), boot()),
	}
	w.mu.Lock()
	w.nodes[name] = x
	w.mu.Unlock()
	go x.duty.Run(ctx)
	for org := range 6 {
		go x.serve(ctx, fmt.Sprint("org-", org), testPause/time.Duration(1+6*org))
	}
}

// serve counts requests of an organisation.
func (x *node) serve(ctx context.Context, org string, mean time.Duration) {
	for {
		x.w.mu.Lock()
		pause := time.Duration(x.w.random.ExpFloat64() * float64(mean))
		x.w.mu.Unlock()
		if !rwtime.Sleep(ctx, pause) {
			return
		}
		x.w.mu.Lock()
		window := windowAt(Time(time.Now().UnixNano()), testWindow)
		x.w.truth[window] = add(x.w.truth[window], org)
		x.latest = append(slices.DeleteFunc(x.latest, func(c count) bool { return time.Since(c.at) > untoldRounds*x.duty.roundInterval() }), count{time.Now(), window, org})
		x.w.mu.Unlock()
		x.duty.CountBegun(org, time.Now())
	}
}

// add returns counts with one more request of an organisation.
func add(counts map[string]int64, org string) map[string]int64 {
	if counts == nil {
		counts = map[string]int64{}
	}
	counts[org]++
	return counts
}

// stop kills an instance. If it holds the duties, another takes over later.
func (w *world) stop(name string) {
	w.mu.Lock()
	x := w.nodes[name]
	delete(w.nodes, name)
	for _, c := range x.latest {
		if time.Since(c.at) <= untoldRounds*x.duty.roundInterval() {
			w.untold[c.window] = add(w.untold[c.window], c.org)
		}
	}
	held := w.holder == name
	if held {
		w.holder = ""
	}
	w.mu.Unlock()
	x.kill()
	if held {
		next := w.living()[0]
		time.AfterFunc(takeover, func() { w.elect(next) })
	}
}

func (w *world) living() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.names), func(name string) bool { return w.nodes[name] == nil })
}

func (w *world) elect(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder = name
	w.fence++
}

// set changes the state of the store or the platform.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (x *node) Holder() (string, int64, bool) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	return x.w.holder, x.w.fence, x.w.holder != ""
}

func (x *node) Current() (rwduty.Grant, bool) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	return rwduty.Grant{Holder: x.name, Fence: x.w.fence}, x.w.holder == x.name && x.w.nodes[x.name] == x
}

func (x *node) Call(ctx context.Context, do func(context.Context, rwduty.Grant) error) error {
	g, ok := x.Current()
	if !ok {
		return errAway
	}
	err := do(ctx, g)
	if rwerror.Is(err, rwerror.KindConflict) {
		x.w.set(func() { x.w.refused = append(x.w.refused, g) })
	}
	return err
}

func (x *node) UsageRank() []Peer {
	var peers []Peer
	for n, name := range x.w.names {
		peers = append(peers, Peer{name, fmt.Sprint("zone-", n%3)})
	}
	return peers
}

func (x *node) SendUsage(to []string, m Message) {
	for _, name := range to {
		x.transmit(name, m, func(d *Duty) { d.Receive(x.name, x.duty.Life, m) })
	}
}

func (x *node) AnswerUsage(to string, a Answer) {
	x.transmit(to, a, func(d *Duty) { d.ReceiveAnswer(x.name, a) })
}

func (x *node) transmit(to string, content any, handle func(*Duty)) {
	w := x.w
	encoded, err := json.Marshal(content)
	require.NoError(w.t, err)
	require.Less(w.t, len(encoded), maxDatagram-200, "room for the other fields of a notice")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nodes[x.name] != x || w.random.Float64() < testLoss {
		return
	}
	time.AfterFunc(testLatency, func() {
		w.mu.Lock()
		receiver := w.nodes[to]
		if receiver != nil {
			w.bytes[to] += len(encoded)
		}
		w.mu.Unlock()
		if receiver != nil {
			handle(receiver.duty)
		}
	})
}

func (x *node) Era() int64 {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	return x.w.era
}

// access makes a call to the store.
func (x *node) access(do func() error) error {
	time.Sleep(testLatency)
	w := x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeAway || w.nodes[x.name] != x {
		return errAway
	}
	return do()
}

func (x *node) Create(_ context.Context, r Report) error {
	return x.access(func() error {
		if _, exists := x.w.objects[r.Window]; exists {
			return rwerror.New(rwerror.KindConflict, "", "exists")
		}
		x.w.objects[r.Window] = r
		if x.w.lostWrite {
			return errAway
		}
		return nil
	})
}

func (x *node) Get(_ context.Context, window int64) (r Report, err error) {
	err = x.access(func() error {
		var found bool
		if r, found = x.w.objects[window]; !found {
			return rwerror.New(rwerror.KindNotFound, "", "none")
		}
		return nil
	})
	return r, err
}

func (x *node) List(context.Context) (all []Report, err error) {
	err = x.access(func() error {
		all = slices.Collect(maps.Values(x.w.objects))
		return nil
	})
	return all, err
}

func (x *node) Delete(_ context.Context, window int64) error {
	return x.access(func() error {
		delete(x.w.objects, window)
		return nil
	})
}

func (x *node) ReportUsage(_ context.Context, g rwduty.Grant, window int64, counts map[string]int64) error {
	time.Sleep(testLatency)
	w := x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.away || w.nodes[x.name] != x:
		return errAway
	case w.refuse:
		w.refuse = false
		return rwerror.New(rwerror.KindConflict, "", "a higher fencing number was seen")
	}
	content, err := json.Marshal(counts)
	require.NoError(w.t, err)
	w.reports[window] = append(w.reports[window], report{time.Now(), string(content), g})
	if w.lostCalls {
		return errAway
	}
	return nil
}

// requireReports checks the reports of some windows: there is one content of each, that came in
// time and is true, but for what killed instances hadn't told of an organisation.
func (w *world) requireReports(from, to int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for window := from; window < to; window++ {
		w.requireOneContent(window)
		require.NotEmpty(w.t, w.reports[window], "report of window %d in %d..%d", window, from, to)
		first := w.reports[window][0]
		late := Time(first.at.UnixNano()).Sub(windowEnd(window, testWindow))
		require.LessOrEqual(w.t, late, testDue, "window %d", window)
		counts := map[string]int64{}
		require.NoError(w.t, json.Unmarshal([]byte(first.content), &counts))
		for org, want := range w.truth[window] {
			lost := w.untold[window][org] // what a killed instance hasn't told is lost
			require.InDelta(w.t, want, counts[org], max(2, tolerance*float64(want)+float64(lost)), "%s in window %d", org, window)
		}
		require.InEpsilon(w.t, total(w.truth[window]), total(counts), tolerance, "window %d", window)
	}
}

// requireOneContent checks that all reports of a window are the same.
func (w *world) requireOneContent(window int64) {
	for _, r := range w.reports[window] {
		require.Equal(w.t, w.reports[window][0].content, r.content, "window %d", window)
	}
}

func present() int64 { return windowAt(Time(time.Now().UnixNano()), testWindow) }

func noSkew(int) time.Duration { return 0 }

// a third of the clocks is off by seconds, either way.
func thirdOff(n int) time.Duration {
	if n%3 != 0 {
		return time.Duration(n) * time.Millisecond / 10
	}
	return time.Duration(1-n%2*2) * 7 * time.Second
}

// TestFleetReports plays fleets with lost datagrams. All reports are in time, within the
// tolerance, and of one content.
func TestFleetReports(t *testing.T) {
	trouble := map[string]func(w *world){
		"quiet": func(*world) { time.Sleep(30 * time.Second) },
		"holder killed": func(w *world) {
			for n := range 3 {
				time.Sleep(8300 * time.Millisecond)
				w.stop(w.names[n])
				time.Sleep(takeover)
				w.start(n, 2)
			}
			time.Sleep(15 * time.Second)
		},
		"instances killed and started": func(w *world) {
			for n := range 4 {
				time.Sleep(5300 * time.Millisecond)
				w.stop(w.names[1+n])
				time.Sleep(2 * time.Second)
				w.start(1+n, 2)
			}
		},
		"zone killed at once": func(w *world) {
			time.Sleep(7300 * time.Millisecond)
			for n := 0; n < len(w.names); n += 3 {
				w.stop(w.names[n])
			}
			time.Sleep(15 * time.Second)
		},
		"answers lost": func(w *world) {
			w.set(func() { w.lostCalls, w.lostWrite = true, true })
			time.Sleep(20 * time.Second)
			w.set(func() { w.lostCalls, w.lostWrite = false, false })
			time.Sleep(10 * time.Second)
		},
		"report refused": func(w *world) {
			w.set(func() { w.refuse = true })
			time.Sleep(6 * time.Second)
			w.elect(w.names[0])
			time.Sleep(20 * time.Second)
			w.set(func() { require.Len(w.t, w.refused, 1) })
		},
	}
	for _, size := range []int{6, 85} {
		for name, play := range trouble {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, size, noSkew)
					time.Sleep(testWindow)
					from := present()
					play(w)
					to := present()
					time.Sleep(2 * testDue)
					w.requireReports(from, to)
				})
			})
		}
	}
}

// TestClocksOff guards against reports of the wrong windows where the time of day of a third of
// the instances is off, the holder's included.
func TestClocksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12, thirdOff)
		time.Sleep(2 * testWindow)
		from := present()
		time.Sleep(20 * time.Second)
		w.stop(w.living()[0])
		time.Sleep(20 * time.Second)
		to := present()
		time.Sleep(2 * testDue)
		w.requireReports(from, to)
	})
}

// TestStoreAway guards against reports that aren't kept by the store. What ended while it was
// away is reported late, once.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, noSkew)
		time.Sleep(2 * testWindow)
		from := present()
		w.set(func() { w.storeAway = true })
		time.Sleep(3 * testWindow)
		w.set(func() {
			require.Empty(t, w.reports[from])
			w.storeAway = false
		})
		time.Sleep(2 * testWindow)
		to := present()
		time.Sleep(2 * testDue)
		w.set(func() {
			for window := from; window < to; window++ {
				require.NotEmpty(t, w.reports[window])
				w.requireOneContent(window)
			}
		})
		w.requireReports(from+2, to)
	})
}

// TestStoreComesBackOlder guards against two reports of a window whose object the store has
// lost: the holder writes it again; without it the window isn't reported anew.
func TestStoreComesBackOlder(t *testing.T) {
	for name, kill := range map[string]bool{"holder lives": false, "holder killed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 6, noSkew)
				time.Sleep(2 * testWindow)
				from := present()
				time.Sleep(4 * testWindow)
				if kill {
					w.stop(w.living()[0])
				}
				w.set(func() {
					w.era++
					clear(w.objects)
				})
				time.Sleep(2 * testWindow)
				to := present()
				time.Sleep(2 * testDue)
				w.set(func() {
					for window := from; window < to; window++ {
						w.requireOneContent(window)
					}
				})
				w.requireReports(to-1, to)
				if !kill {
					w.requireReports(from, to-3)
				}
			})
		})
	}
}

// TestFrozenNotSent guards against a second content of a window whose report its holder has
// frozen but not sent when it was killed.
func TestFrozenNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, noSkew)
		time.Sleep(2 * testWindow)
		from := present()
		w.set(func() { w.away = true })
		time.Sleep(2 * testWindow)
		w.stop(w.living()[0])
		var kept []byte
		w.set(func() {
			w.away = false
			var err error
			kept, err = json.Marshal(w.objects[from].Counts)
			require.NoError(t, err)
		})
		time.Sleep(2 * testDue)
		w.set(func() {
			require.NotEmpty(t, w.reports[from])
			require.Equal(t, string(kept), w.reports[from][0].content)
			w.requireOneContent(from)
		})
		w.requireReports(from+1, present()-2)
	})
}

// TestFleetTraffic checks what the holder of a large fleet receives.
func TestFleetTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 85, noSkew)
		const length = 40 * time.Second
		time.Sleep(length)
		w.mu.Lock()
		defer w.mu.Unlock()
		kilobytes := func(name string) float64 { return float64(w.bytes[name]) / length.Seconds() / 1000 }
		t.Logf("holder %.1f, deputy %.1f, other %.1f kB a second", kilobytes(w.names[0]), kilobytes(w.names[1]), kilobytes(w.names[50]))
		require.Less(t, kilobytes(w.names[0]), 60.0)
	})
}
