package rwpick_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwpick"

	"github.com/stretchr/testify/require"
)

// choice chooses the index of a server.
type choice func(servers []rwbackend.View, zone string, random *rand.Rand) int

// unevenServer is a server of the model.
type unevenServer struct {
	running, waiting int
	queue            []*unevenRequest
	lasting, pace    float64
	busy             time.Duration // sum of the time that requests took
	history          []unevenReport
}

// unevenReport is what a server would have said at a time.
type unevenReport struct {
	at     time.Duration
	queued int
	pace   float64
}

type unevenRequest struct {
	instance, server int
	at               time.Duration
	work             float64 // seconds at the usual pace
	cross            bool
}

type unevenEvent struct {
	at   time.Duration
	done *unevenRequest // nil for an arrival
}

type unevenEvents []unevenEvent

func (e unevenEvents) Len() int           { return len(e) }
func (e unevenEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e unevenEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *unevenEvents) Push(x any)        { *e = append(*e, x.(unevenEvent)) }
func (e *unevenEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Sizes of the model.
const (
	modelSlots  = 6
	modelQueue  = 24
	modelWork   = 0.030 // seconds
	modelTime   = 30 * time.Second
	paceChange  = 600 * time.Millisecond
	crossDelay  = 1800 * time.Microsecond // there and back
	utilisation = 0.65                    // of what the servers can do
)

// unevenResult is what a run of the model shows.
type unevenResult struct {
	p99      time.Duration
	most     float64 // busiest server, in multiples of the mean
	rejected float64 // share of the requests that found a full queue
	served   float64 // share of the requests that were served
}

// fullness is what the instances of the model know of full servers.
type fullness struct {
	told  bool            // instances tell one another
	until []time.Duration // by server: when instances send it requests again
	from  []time.Duration // by server: when they have heard that it is full
}

const (
	tellDelay = 8 * time.Millisecond
	nearFull  = modelQueue * 3 / 4 // from which on a server counts as full
)

// hasRoom reports whether a request is sent to a server.
func (f *fullness) hasRoom(server int, now time.Duration) bool {
	return !f.told || now < f.from[server] || now >= f.until[server]
}

// heard records that an instance heard from a server how many requests wait there.
func (f *fullness) heard(server int, now time.Duration, s *unevenServer) {
	if s.waiting >= nearFull && now >= f.until[server] {
		f.from[server] = now + tellDelay
		f.until[server] = now + time.Duration(float64(s.waiting)/modelSlots/2*modelWork*s.pace*float64(time.Second))
	}
}

// playUneven plays a service. Each instance hears of a server at intervals of the staleness, at
// times of its own; a third of the callers' zones send most of the requests.
func playUneven(instances, servers int, stale time.Duration, choose choice) unevenResult {
	return playDemand(instances, servers, stale, utilisation, false, choose)
}

// playDemand plays a service with a demand in multiples of what the servers can do.
func playDemand(instances, servers int, stale time.Duration, demand float64, tellFull bool, choose choice) unevenResult {
	full := &fullness{told: tellFull, until: make([]time.Duration, servers), from: make([]time.Duration, servers)}
	atOnce := 0
	// What the servers and callers do is the same for all candidates.
	random := rand.New(rand.NewPCG(uint64(instances), uint64(servers)))
	paces := rand.New(rand.NewPCG(uint64(instances), 1))
	callers := rand.New(rand.NewPCG(uint64(instances), 2))
	all := make([]*unevenServer, servers)
	capacity := 0.0
	for i := range all {
		all[i] = &unevenServer{lasting: 1, pace: 1}
		if i%3 == 1 {
			all[i].lasting = 1.3
		}
		capacity += modelSlots / (modelWork * all[i].lasting * (0.85 + 0.15*2.5))
	}
	phase := make([][]time.Duration, instances) // when an instance hears of a server
	own := make([][]int, instances)
	sent := make([][][]time.Duration, instances)
	for n := range phase {
		phase[n], own[n], sent[n] = make([]time.Duration, servers), make([]int, servers), make([][]time.Duration, servers)
		for i := range phase[n] {
			phase[n][i] = time.Duration(random.Int64N(int64(stale)))
		}
	}
	rate := demand * capacity
	var events unevenEvents
	var latencies []time.Duration
	rejected, nextPace := 0, time.Duration(0)
	next := func(after time.Duration) time.Duration {
		return after + time.Duration(callers.ExpFloat64()/rate*float64(time.Second))
	}
	report := func(s *unevenServer, at time.Duration) {
		s.history = append(s.history, unevenReport{at, s.running + s.waiting, s.pace})
		if len(s.history) > 4096 {
			s.history = slices.Delete(s.history, 0, 2048)
		}
	}
	start := func(s *unevenServer, r *unevenRequest, at time.Duration) {
		took := time.Duration(r.work * s.lasting * s.pace * float64(time.Second))
		s.running++
		s.busy += took
		heap.Push(&events, unevenEvent{at + took, r})
	}
	heap.Push(&events, unevenEvent{at: next(0)})
	for len(events) > 0 {
		e := heap.Pop(&events).(unevenEvent)
		now := e.at
		if now > modelTime {
			break
		}
		for ; nextPace <= now; nextPace += paceChange {
			for _, s := range all {
				s.pace = 1
				if paces.Float64() < 0.15 {
					s.pace = 2.5
				}
				report(s, nextPace)
			}
		}
		if r := e.done; r != nil {
			s := all[r.server]
			s.running--
			own[r.instance][r.server]--
			took := now - r.at
			if r.cross {
				took += crossDelay
			}
			latencies = append(latencies, took)
			full.heard(r.server, now, s)
			if s.waiting > 0 {
				waiting := s.queue[0]
				s.queue = s.queue[1:]
				s.waiting--
				start(s, waiting, now)
			}
			report(s, now)
			continue
		}
		heap.Push(&events, unevenEvent{at: next(now)})
		instance := callers.IntN(instances)
		if callers.Float64() < 0.3 {
			instance -= instance % 3 // the first zone's callers are more
		}
		zone := fmt.Sprint(instance % 3)
		views := make([]rwbackend.View, servers)
		for i, s := range all {
			heardAt := now - (now-phase[instance][i]+stale)%stale
			at, _ := slices.BinarySearchFunc(s.history, heardAt+1, func(r unevenReport, t time.Duration) int { return int(r.at - t) })
			views[i] = rwbackend.View{Entry: rwbackend.Entry{ID: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Slots: modelSlots}, Plain: own[instance][i], Slowness: s.lasting}
			if at > 0 {
				told := s.history[at-1]
				age := now - heardAt
				views[i].Report = rwbackend.Report{Told: true, Age: age, Queued: told.queued, Pace: told.pace}
				views[i].OtherRequests = max(0, told.queued-own[instance][i])
				for _, t := range sent[instance][i] {
					if t > heardAt {
						views[i].Report.Unseen++
					}
				}
			}
		}
		views = slices.DeleteFunc(views, func(v rwbackend.View) bool { i, _ := strconv.Atoi(v.ID); return !full.hasRoom(i, now) })
		if p := 2*float64(servers-len(views))/float64(servers) - 1; random.Float64() < p {
			atOnce++
			continue
		}
		i, _ := strconv.Atoi(views[choose(views, zone, random)].ID)
		s := all[i]
		r := &unevenRequest{instance: instance, server: i, at: now, work: modelWork * math.Exp(0.47*callers.NormFloat64()-0.11), cross: zone != fmt.Sprint(i%3)}
		if s.running >= modelSlots && s.waiting >= modelQueue {
			rejected++
			full.heard(i, now, s)
			continue
		}
		own[instance][i]++
		sent[instance][i] = append(sent[instance][i], now)
		if len(sent[instance][i]) > 32 {
			sent[instance][i] = sent[instance][i][1:]
		}
		if s.running < modelSlots {
			start(s, r, now)
		} else {
			s.waiting++
			s.queue = append(s.queue, r)
		}
		report(s, now)
	}
	slices.Sort(latencies)
	sum, most := time.Duration(0), time.Duration(0)
	for _, s := range all {
		sum, most = sum+s.busy, max(most, s.busy)
	}
	asked := float64(len(latencies) + rejected + atOnce)
	return unevenResult{
		p99: latencies[len(latencies)*99/100], most: float64(most) * float64(servers) / float64(sum),
		rejected: float64(rejected) / asked, served: float64(len(latencies)) / asked,
	}
}

// candidates of the choice.
var candidates = []struct {
	name   string
	choose choice
}{
	{"random", func(s []rwbackend.View, _ string, r *rand.Rand) int { return r.IntN(len(s)) }},
	{"least load heard, zone first", func(s []rwbackend.View, zone string, _ *rand.Rand) int { return leastHeard(s, zone) }},
	{"two by count", func(s []rwbackend.View, _ string, r *rand.Rand) int { return fewest(s, r, 2) }},
	{"two by expected completion", expected(2)},
	{"three by expected completion", expected(3)},
}

func leastHeard(servers []rwbackend.View, zone string) int {
	best, lowest := 0, math.Inf(1)
	for i, s := range servers {
		heard := s.OtherRequests
		if s.Report.Age > 500*time.Millisecond {
			heard = 0
		}
		cost := float64(s.Plain+heard+1)/float64(s.Slots) + 0.05*rand.Float64()
		if s.Zone != zone {
			cost += 0.05
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

func fewest(servers []rwbackend.View, random *rand.Rand, count int) int {
	best, lowest := 0, math.MaxInt
	for _, i := range random.Perm(len(servers))[:min(count, len(servers))] {
		if n := servers[i].Plain + servers[i].OtherRequests; n < lowest {
			best, lowest = i, n
		}
	}
	return best
}

func expected(count int) choice {
	return func(servers []rwbackend.View, zone string, _ *rand.Rand) int {
		s, _ := rwpick.ByCompletion(servers, zone, count, noneTried)
		return slices.IndexFunc(servers, func(o rwbackend.View) bool { return o.ID == s.ID })
	}
}

var unevenSizes = []struct{ instances, servers int }{{6, 3}, {85, 7}, {117, 3}, {390, 7}}

var staleness = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}

// BenchmarkUnevenTable prints the table of docs/design/uneven.md. It checks nothing.
func BenchmarkUnevenTable(*testing.B) {
	for _, size := range unevenSizes {
		for _, stale := range staleness {
			fmt.Printf("| %d, %d | %v |", size.instances, size.servers, stale)
			for _, c := range candidates {
				r := playUneven(size.instances, size.servers, stale, c.choose)
				fmt.Printf(" %d, %.2f, %.1f%% |", r.p99.Milliseconds(), r.most, 100*r.rejected)
			}
			fmt.Println()
		}
	}
}

// TestUnevenChoice holds the choice in force to be no worse than any other candidate by more than
// a quarter in the 99th of 100 latencies, and the busiest server to a quarter above the mean.
func TestUnevenChoice(t *testing.T) {
	for _, size := range unevenSizes {
		for _, stale := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(size.instances, stale), func(t *testing.T) {
				chosen := playUneven(size.instances, size.servers, stale, expected(rwpick.PlainChoices))
				require.Less(t, chosen.most, 1.25)
				for _, c := range candidates {
					other := playUneven(size.instances, size.servers, stale, c.choose)
					require.LessOrEqual(t, chosen.p99.Seconds(), 1.25*other.p99.Seconds(), "99th of 100: %s", c.name)
				}
			})
		}
	}
}

// TestFullService guards against requests that are tried at one full server after the other while
// all are full: the instances tell one another, and the servers still never run empty.
func TestFullService(t *testing.T) {
	for _, size := range unevenSizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			alone := playDemand(size.instances, size.servers, time.Second, 1.5, false, expected(rwpick.PlainChoices))
			told := playDemand(size.instances, size.servers, time.Second, 1.5, true, expected(rwpick.PlainChoices))
			t.Logf("rejected %.3f, told %.3f; served %.3f, told %.3f", alone.rejected, told.rejected, alone.served, told.served)
			require.Less(t, told.rejected, alone.rejected/4)
			require.Greater(t, told.served, 0.95*alone.served)
		})
	}
}
