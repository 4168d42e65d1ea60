package rwfeed_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ragwortwall/internal/rwfeed"

	"github.com/stretchr/testify/require"
)

// followFleet is a fleet of which some instances lose the store at time zero, just before a
// change. Instances and watches are in their steady state.
type followFleet struct {
	random   *rand.Rand
	watchers []bool
	zones    []int
	cut      []bool
	phase    []time.Duration // since the watch, or the poll of a follower, was sent
	followed []int           // watcher that an instance follows; -1 for a watcher
	left     int             // entries of instances that left, for each instance
}

const (
	modelWatchWait    = 1200 * time.Millisecond
	modelFollowWait   = time.Second
	modelCallTime     = 10 * time.Millisecond // to the store and back, on a busy instance
	modelPeerTime     = 4 * time.Millisecond
	modelMaxStaleness = 2800 * time.Millisecond
	modelFollowerCap  = 14 // instances for each watcher
	modelResponse     = 400
	modelDialTimeout  = 300 * time.Millisecond  // at the address of an instance that left
	modelSilence      = 1950 * time.Millisecond // until a poll of one that is suspended fails
	modelRound        = 6                       // instances that are asked in a round
)

func newFollowFleet(seed uint64, size, zones, left int, cutZone bool, share float64) *followFleet {
	f := &followFleet{random: rand.New(rand.NewPCG(seed, 1)), left: left}
	first := map[int][]int{}
	for n := range size {
		zone := n % zones
		perZone := (size + zones - 1) / zones
		watcher := len(first[zone]) < (perZone+modelFollowerCap-1)/modelFollowerCap
		if watcher {
			first[zone] = append(first[zone], n)
		}
		f.watchers, f.zones = append(f.watchers, watcher), append(f.zones, zone)
		f.cut = append(f.cut, cutZone && watcher && zone == 0 || !cutZone && f.random.Float64() < share)
	}
	for n := range size {
		followed, period := -1, modelWatchWait
		if !f.watchers[n] {
			followed, period = first[f.zones[n]][n%len(first[f.zones[n]])], modelFollowWait
		}
		f.followed, f.phase = append(f.followed, followed), append(f.phase, time.Duration(f.random.Float64()*float64(period)))
	}
	return f
}

// followDesign is a way in which followers leave watchers that lost the store. It returns
// when a follower calls the store, and the number of peers that it asks before; sound
// reports whether some watcher still reaches the store.
type followDesign func(f *followFleet, n int, sound bool, bound time.Duration) (at time.Duration, asked int, store bool)

// lostAt returns when a watcher knows that its call is overdue.
func (f *followFleet) lostAt(watcher int, margin time.Duration) time.Duration {
	return modelWatchWait - f.phase[watcher] + margin
}

// search returns how long an instance that lost its watcher takes to find one that reaches
// the store, and how many it asks. Entries of instances that left take the time of a dial,
// and some instances are suspended. It gives up after modelRound others.
func (f *followFleet) search(n int, sound bool) (took time.Duration, asked int, found bool) {
	var watchers []int
	for w, is := range f.watchers {
		if is && w != f.followed[n] {
			watchers = append(watchers, w)
		}
	}
	f.random.Shuffle(len(watchers), func(a, b int) { watchers[a], watchers[b] = watchers[b], watchers[a] })
	for asked < modelRound && len(watchers) > 0 {
		asked++
		switch draw := f.random.Float64(); {
		case draw < float64(f.left)/float64(f.left+1):
			took += modelDialTimeout
		case f.left > 0 && draw > 0.99:
			took += modelSilence
		default:
			took += modelPeerTime
			if next := watchers[0]; sound && !f.cut[next] {
				return took, asked, true
			}
			watchers = watchers[1:]
		}
	}
	return took, asked, false
}

var followDesigns = map[string]followDesign{
	// The peer's contents count as useful up to an age; then the instance waits for one
	// poll, and for a random time that grows with the fleet.
	"age of contents": func(f *followFleet, n int, sound bool, _ time.Duration) (time.Duration, int, bool) {
		confirmed := -f.phase[f.followed[n]]
		last := confirmed + modelMaxStaleness - time.Duration(f.random.Float64()*float64(modelFollowWait))
		polls := 1
		if sound {
			return last + modelFollowWait + modelPeerTime, polls + 1, false
		}
		backoff := min(10*time.Second, max(600*time.Millisecond, time.Duration(len(f.cut))*150*time.Millisecond))
		return last + 1700*time.Millisecond + 900*time.Millisecond + time.Duration(f.random.Float64()*float64(backoff)), polls + 4, true
	},
	// The watcher tells its followers as soon as its call is overdue; all call the store.
	"told, store at once": func(f *followFleet, n int, _ bool, _ time.Duration) (time.Duration, int, bool) {
		return f.lostAt(f.followed[n], rwfeed.OverdueMargin) + modelPeerTime, 0, true
	},
	// The same, but other watchers are asked first, and the calls are spread over what the
	// bound leaves after that.
	"told, peers, store spread": func(f *followFleet, n int, sound bool, bound time.Duration) (time.Duration, int, bool) {
		lost := f.lostAt(f.followed[n], rwfeed.OverdueMargin) + modelPeerTime
		took, asked, found := f.search(n, sound)
		if found {
			return lost + took, asked, false
		}
		spread := max(100*time.Millisecond, bound-modelWatchWait-rwfeed.OverdueMargin-250*time.Millisecond)
		return lost + took + time.Duration(f.random.Float64()*float64(spread)), asked, true
	},
	// The lag alone decides when the store is called; the search runs beside that.
	"deadline by lag": func(f *followFleet, n int, sound bool, bound time.Duration) (time.Duration, int, bool) {
		confirmed := -f.phase[f.followed[n]]
		deadline := confirmed + rwfeed.Recency{Bound: bound}.Deadline(f.random.Float64())
		lost := f.lostAt(f.followed[n], rwfeed.OverdueMargin) + modelPeerTime
		took, asked, found := f.search(n, sound)
		if found && lost+took < deadline {
			return lost + took, asked, false
		}
		return deadline, asked, true
	},
}

// followCut is what the store is cut from at time zero.
type followCut struct {
	name    string
	oneZone bool // the watchers of the first zone
	share   float64
	single  bool // one watcher alone
}

// apply cuts instances of a fleet.
func (c followCut) apply(f *followFleet) {
	switch {
	case c.share == 1:
		copy(f.cut, f.watchers)
	case c.single:
		clear(f.cut)
		f.cut[slices.Index(f.watchers, true)] = true
	}
}

// followResult sums up the followers of cut watchers.
type followResult struct {
	late, total, calls, peak, bytes int
	worst                           time.Duration
}

func (r *followResult) add(f *followFleet, design followDesign, bound time.Duration) {
	sound := slices.Contains(soundWatchers(f), true)
	var at []time.Duration
	for n := range f.cut {
		if f.watchers[n] || f.cut[n] || !f.cut[f.followed[n]] {
			continue
		}
		when, asked, store := design(f, n, sound, bound)
		r.bytes += asked * modelResponse
		if store {
			at = append(at, when)
			r.calls++
		}
		r.worst = max(r.worst, when+modelCallTime)
		r.total++
		if when+modelCallTime > bound {
			r.late++
		}
	}
	r.peak = max(r.peak, mostWithin(at, time.Second))
}

// TestFollowModel compares how long followers act on old settings after their watchers have
// lost the store, and what that costs the store, for fleets of three sizes, beside entries of
// instances that left. It guards the choice of the design: within the bound, whatever is
// listed, without all followers calling at once.
func TestFollowModel(t *testing.T) {
	const runs = 20
	const chosen = "deadline by lag"
	for _, fleet := range []struct {
		size, zones int
		bound       time.Duration
	}{{6, 3, 2 * time.Second}, {85, 5, 3 * time.Second}, {390, 5, 3 * time.Second}} {
		for _, cut := range []followCut{{name: "a watcher", single: true}, {name: "a tenth", share: 0.1}, {name: "a zone's watchers", oneZone: true}, {name: "80%", share: 0.8}, {name: "all watchers", share: 1}} {
			for _, left := range []int{0, 1, 10} {
				for _, name := range slices.Sorted(maps.Keys(followDesigns)) {
					var r followResult
					for seed := range uint64(runs) {
						f := newFollowFleet(seed, fleet.size, fleet.zones, left, cut.oneZone, cut.share)
						cut.apply(f)
						r.add(f, followDesigns[name], fleet.bound)
					}
					t.Logf("%3d instances, %2d times as many left, %-17s %-26s late %4d of %4d, worst %5.2f s, calls %5.1f, most in a second %3d, kB between instances %5.1f",
						fleet.size, left, cut.name+":", name, r.late, r.total, r.worst.Seconds(), float64(r.calls)/runs, r.peak, float64(r.bytes)/runs/1000)
					if name == chosen {
						require.Zero(t, r.late, "%d instances, %s", fleet.size, cut.name)
					}
				}
			}
		}
	}
}

// soundWatchers reports for each instance whether it is a watcher that reaches the store.
func soundWatchers(f *followFleet) []bool {
	sound := make([]bool, len(f.cut))
	for n := range sound {
		sound[n] = f.watchers[n] && !f.cut[n]
	}
	return sound
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Duration, window time.Duration) int {
	slices.Sort(times)
	most, from := 0, 0
	for to := range times {
		for times[to]-times[from] >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
