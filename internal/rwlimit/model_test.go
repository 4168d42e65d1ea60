package rwlimit_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwlimit"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// Terms of the users' rule on limits.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleExtra  = 5
)

const (
	oneWay       = 2 * time.Millisecond // between instances
	responseTime = 30 * time.Millisecond
	settleTime   = 3 * time.Second // until the rule holds
	limitWait    = 150 * time.Millisecond
)

var limited = rwlimit.Server{ID: "s", Incarnation: 1}

// model is a fleet whose instances share one server with a limit, without a network.
type model struct {
	mu        sync.Mutex
	instances []*instance
	limit     rwlimit.Limit
	arrivals  []time.Time
	denied    int
	datagrams int
	isCut     func(a, b int) bool // whether datagrams between two instances are lost
}

// instance is an instance of the model and its connection to the others.
type instance struct {
	rwlimit.Limiter
	model  *model
	number int
	down   bool
}

func instanceName(n int) string { return fmt.Sprint("entry-", n) }

func newModel(size int, rate float64) *model {
	m := &model{limit: rwlimit.Limit{Rate: rate, Named: true}}
	for n := range size {
		i := &instance{model: m, number: n}
		i.Self, i.Peers, i.Log = instanceName(n), i, logr.Discard()
		m.instances = append(m.instances, i)
	}
	return m
}

// Rank implements rwlimit.Peers.
func (i *instance) Rank(server string) []string {
	names := make([]string, len(i.model.instances))
	for n := range names {
		names[n] = instanceName(n)
	}
	hash := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(server + name))
		return h.Sum64()
	}
	slices.SortFunc(names, func(a, b string) int {
		if hash(a) < hash(b) {
			return -1
		}
		return 1
	})
	return names
}

// Ask implements rwlimit.Peers.
func (i *instance) Ask(name string, a rwlimit.Ask) {
	i.model.send(i, name, func(to *instance) {
		g := to.HandleAsk(i.Self, a)
		i.model.send(to, i.Self, func(*instance) { i.HandleGrant(g) })
	})
}

// AnnounceLimits implements rwlimit.Peers.
func (i *instance) AnnounceLimits(findings []rwlimit.Finding) {
	for _, other := range i.model.instances {
		if other != i {
			i.model.send(i, other.Self, func(to *instance) { to.Merge(findings[0], i.Self) })
		}
	}
}

// AskHeard implements rwlimit.Peers.
func (i *instance) AskHeard(names []string) {
	for _, other := range i.model.instances {
		if other == i {
			continue
		}
		i.model.send(i, other.Self, func(to *instance) {
			if heard := to.HandleHeardQuestion(names); len(heard) > 0 {
				i.model.send(to, i.Self, func(*instance) { i.HandleHeard(heard) })
			}
		})
	}
}

// send delivers a datagram, unless an end is down or the path is cut.
func (m *model) send(from *instance, name string, deliver func(to *instance)) {
	var number int
	_, _ = fmt.Sscanf(name, "entry-%d", &number)
	to := m.instances[number]
	m.mu.Lock()
	m.datagrams++
	lost := from.down || to.down || m.isCut != nil && m.isCut(from.number, number)
	m.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(oneWay, func() {
		to.Heard(from.Self)
		deliver(to)
	})
}

// request sends a request through an instance if the limit leaves one.
func (m *model) request(n int) {
	i := m.instances[n]
	ctx, cancel := context.WithTimeout(context.Background(), limitWait)
	defer cancel()
	m.mu.Lock()
	down := i.down
	m.mu.Unlock()
	if down {
		return
	}
	if i.Ready(limited) && i.Take(limited) {
		m.arrive(i)
		return
	}
	if _, wait, ok := i.Wait(ctx, []rwlimit.Server{limited}, rwlimit.Urgency{}); ok {
		m.arrive(i)
	} else if wait > 0 {
		m.mu.Lock()
		m.denied++
		m.mu.Unlock()
	}
}

func (m *model) arrive(i *instance) {
	sentAt := time.Now()
	m.mu.Lock()
	m.arrivals = append(m.arrivals, sentAt)
	limit := m.limit
	m.mu.Unlock()
	time.Sleep(responseTime)
	i.Observe(limited, limit, sentAt)
}

// load has callers send requests to instances that pick selects.
func (m *model) load(perSecond int, d time.Duration, pick func(random *rand.Rand, at time.Duration) int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	for time.Since(start) < d {
		n := pick(random, time.Since(start))
		go m.request(n)
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

// most returns the largest number of arrivals in any span of ruleWindow after a time, and the
// mean rate after it.
func (m *model) most(from time.Time) (most int, rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := slices.DeleteFunc(slices.Clone(m.arrivals), func(at time.Time) bool { return at.Before(from) })
	for n := range late {
		first := n
		for first > 0 && late[n].Sub(late[first-1]) < ruleWindow {
			first--
		}
		most = max(most, n-first+1)
	}
	if len(late) > 1 {
		rate = float64(len(late)) / late[len(late)-1].Sub(late[0]).Seconds()
	}
	return most, rate
}

func spread(size int) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, _ time.Duration) int { return r.IntN(size) }
}

func oneZone(size int) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, _ time.Duration) int { return r.IntN(max(1, size/5)) }
}

func moving(size int) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, at time.Duration) int {
		zone := int(at.Seconds()) % 3
		return (zone*size/3 + r.IntN(max(1, size/3))) % size
	}
}

// TestLimitOfFleet guards against limits that are exceeded by all instances together, or that
// leave servers idle, however many instances there are and wherever callers come in.
func TestLimitOfFleet(t *testing.T) {
	const (
		perSecond = 100
		runTime   = 16 * time.Second
		minUsed   = 0.7 // part of the limit
	)
	for _, size := range []int{1, 6, 85, 390} {
		for name, callers := range map[string]func(int) func(*rand.Rand, time.Duration) int{"spread": spread, "one zone": oneZone, "moving": moving} {
			for _, rate := range []float64{0, 5, 40} {
				t.Run(fmt.Sprintf("%d instances, %s, limit %v", size, name, rate), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						m := newModel(size, rate)
						start := time.Now()
						m.load(perSecond, runTime, callers(size))
						most, used := m.most(start.Add(settleTime))
						t.Logf("at most %d in 4 s, %.1f a second, %d datagrams a second", most, used, m.datagrams/int(runTime.Seconds()))
						require.LessOrEqual(t, float64(most), ruleFactor*rate*ruleWindow.Seconds()+ruleExtra)
						require.GreaterOrEqual(t, used, minUsed*rate)
					})
				})
			}
		}
	}
}

// TestLimitUnderFaults guards against limits that are exceeded while the instance that grants
// tokens is lost, cut off, or back, or while the limit changes.
func TestLimitUnderFaults(t *testing.T) {
	const (
		size      = 24
		rate      = 10.0
		perSecond = 100
		runTime   = 20 * time.Second
		faultAt   = 6 * time.Second
		minUsed   = 0.25 // part of the limit over all the time
	)
	owner := func(m *model) *instance {
		first, _ := strings.CutPrefix(m.instances[0].Rank(limited.ID)[0], "entry-")
		var n int
		_, _ = fmt.Sscan(first, &n)
		return m.instances[n]
	}
	setDown := func(m *model, i *instance, down bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		i.down = down
	}
	setLimit := func(m *model, l rwlimit.Limit) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.limit = l
	}
	cut := func(m *model, isCut func(a, b int) bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.isCut = isCut
	}
	for name, c := range map[string]struct {
		fault   func(m *model)
		after   time.Duration // from the fault until the rule holds again
		highest float64       // limit in force after it
	}{
		"owner stops": {func(m *model) { setDown(m, owner(m), true) }, 0, rate},
		"owner restarts": {func(m *model) {
			o := owner(m)
			setDown(m, o, true)
			time.AfterFunc(2*time.Second, func() {
				fresh := &instance{model: m, number: o.number}
				fresh.Self, fresh.Peers, fresh.Log = o.Self, fresh, logr.Discard()
				m.mu.Lock()
				defer m.mu.Unlock()
				m.instances[o.number] = fresh
			})
		}, 0, rate},
		"owner unreachable for half": {func(m *model) {
			o := owner(m).number
			cut(m, func(a, b int) bool { return (a == o && b%2 == 0) || (b == o && a%2 == 0) })
		}, 0, rate},
		"owner is gone for long": {func(m *model) { setDown(m, owner(m), true) }, 8 * time.Second, rate},
		"datagrams are lost": {func(m *model) {
			random := rand.New(rand.NewPCG(3, 4))
			cut(m, func(int, int) bool { return random.IntN(20) == 0 })
		}, 0, rate},
		"limit halves":  {func(m *model) { setLimit(m, rwlimit.Limit{Rate: rate / 2, Named: true}) }, ruleWindow + 500*time.Millisecond, rate / 2},
		"limit doubles": {func(m *model) { setLimit(m, rwlimit.Limit{Rate: 2 * rate, Named: true}) }, 0, 2 * rate},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(size, rate)
				start := time.Now()
				time.AfterFunc(faultAt, func() { c.fault(m) })
				m.load(perSecond, runTime, spread(size))
				most, _ := m.most(start.Add(settleTime))
				require.LessOrEqual(t, float64(most), ruleFactor*max(rate, c.highest)*ruleWindow.Seconds()+ruleExtra)
				most, used := m.most(start.Add(faultAt + c.after))
				t.Logf("at most %d in 4 s, %.1f a second", most, used)
				require.LessOrEqual(t, float64(most), ruleFactor*c.highest*ruleWindow.Seconds()+ruleExtra)
				require.GreaterOrEqual(t, used, minUsed*c.highest)
			})
		})
	}
}

// TestLimitEnds guards against instances that keep to a limit that has ended.
func TestLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 24
		m := newModel(size, 2)
		m.load(50, 5*time.Second, spread(size))
		m.mu.Lock()
		m.limit = rwlimit.Limit{}
		m.mu.Unlock()
		m.load(50, 3*time.Second, spread(size))
		for _, i := range m.instances {
			require.False(t, i.Limit(limited).Named, i.Self)
		}
	})
}
