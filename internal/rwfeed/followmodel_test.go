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
}

const (
	modelWatchWait    = 1200 * time.Millisecond
	modelFollowWait   = time.Second
	modelCallTime     = 10 * time.Millisecond // to the store and back, on a busy instance
	modelPeerTime     = 4 * time.Millisecond
	modelMaxStaleness = 2800 * time.Millisecond
	modelFollowerCap  = 14 // instances for each watcher
	modelResponse     = 400
)

func newFollowFleet(seed uint64, size, zones int, cutZone bool, share float64) *followFleet {
	f := &followFleet{random: rand.New(rand.NewPCG(seed, 1))}
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
	// bound leaves.
	"told, peers, store spread": func(f *followFleet, n int, sound bool, bound time.Duration) (time.Duration, int, bool) {
		lost := f.lostAt(f.followed[n], rwfeed.OverdueMargin) + modelPeerTime
		var others []int
		for w, is := range f.watchers {
			if is && w != f.followed[n] {
				others = append(others, w)
			}
		}
		for asked, w := range others {
			if !f.cut[w] && sound {
				return lost + time.Duration(asked+1)*modelPeerTime, asked + 1, false
			}
		}
		spread := max(100*time.Millisecond, bound-modelWatchWait-rwfeed.OverdueMargin-250*time.Millisecond)
		return lost + time.Duration(f.random.Float64()*float64(spread)), len(others), true
	},
}

// TestFollowModel compares how long followers act on old settings after their watchers have
// lost the store, and what that costs the store, for fleets of three sizes. It guards the
// choice of the design: within the bound without all followers calling at once.
func TestFollowModel(t *testing.T) {
	const runs = 20
	for _, fleet := range []struct {
		size, zones int
		bound       time.Duration
	}{{6, 3, 2 * time.Second}, {85, 5, 3 * time.Second}, {390, 5, 3 * time.Second}} {
		for _, cut := range []struct {
			name    string
			oneZone bool
			share   float64
		}{{"a tenth", false, 0.1}, {"a zone's watchers", true, 0}, {"80%", false, 0.8}, {"all watchers", false, 1}} {
			for _, name := range slices.Sorted(maps.Keys(followDesigns)) {
				var worst time.Duration
				late, total, calls, peak, bytes := 0, 0, 0, 0, 0
				for seed := range uint64(runs) {
					f := newFollowFleet(seed, fleet.size, fleet.zones, cut.oneZone, cut.share)
					if cut.share == 1 {
						copy(f.cut, f.watchers)
					}
					sound := slices.Contains(soundWatchers(f), true)
					var at []time.Duration
					for n := range f.cut {
						if f.watchers[n] || f.cut[n] || !f.cut[f.followed[n]] {
							continue
						}
						when, asked, store := followDesigns[name](f, n, sound, fleet.bound)
						bytes += asked * modelResponse
						if store {
							at = append(at, when)
							calls++
						}
						worst = max(worst, when+modelCallTime)
						total++
						if when+modelCallTime > fleet.bound {
							late++
						}
					}
					peak = max(peak, mostWithin(at, time.Second))
				}
				t.Logf("%3d instances, %-17s %-26s late %4d of %4d, worst %5.2f s, calls %5.1f, most in a second %3d, kB between instances %5.1f",
					fleet.size, cut.name+":", name, late, total, worst.Seconds(), float64(calls)/runs, peak, float64(bytes)/runs/1000)
				if name == "told, peers, store spread" {
					require.Zero(t, late, "%d instances, %s", fleet.size, cut.name)
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
