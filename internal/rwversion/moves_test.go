package rwversion_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwversion"

	"github.com/stretchr/testify/require"
)

const (
	moveDuration = 12 * time.Second
	rate         = 80 // requests per second over all instances
	instances    = 6
	syncInterval = 500 * time.Millisecond
)

func newMove(state rwversion.State) rwversion.Move {
	return rwversion.Move{Name: "orders", Service: "orders", Target: "v2", Duration: moveDuration, State: state, Revision: 1}
}

// ampleCapacity is that of as many new servers as old ones.
func ampleCapacity() rwversion.Capacity {
	servers := rwversion.Room{Servers: 12, Requests: 144}
	return rwversion.Capacity{New: servers, Old: servers, Load: rwversion.Room{Requests: 47}}
}

// outcome is the result of a simulated move.
type outcome struct {
	state         rwversion.State // the final state; StateNew if the move did not end
	endedAt       time.Duration   // since the start
	requests      int
	newRequests   int // requests to the new version
	afterFailures int // requests to the new version more than 5 s after its 50th failure
	afterTakeBack int // requests to the new version more than 1 s after it was taken back
	newFailures   int
}

// exchangeEvidence sends the evidence of each instance that is to be sent to all others.
func exchangeEvidence(moves []rwversion.Moves) {
	for sender := range moves {
		total, changed := moves[sender].ChangedEvidence(len(moves) - 1)["orders"]
		if !changed {
			continue
		}
		for receiver := range moves {
			if receiver != sender {
				moves[receiver].SetPeerEvidence(strconv.Itoa(sender), "orders", total)
			}
		}
	}
}

// simulate runs a move on several instances that exchange their evidence. The
// store is never written. failureRate returns the failure rate of a version at a
// time since the start.
func simulate(failureRate func(version string, at time.Duration) float64) outcome {
	moves := make([]rwversion.Moves, instances)
	for i := range moves {
		moves[i].Put(newMove(rwversion.StateNew))
		moves[i].SetCapacity("orders", ampleCapacity())
	}
	random := rand.New(rand.NewPCG(1, 2))
	var out outcome
	startedAt, syncedAt, fiftiethFailure := time.Now(), time.Now(), time.Time{}
	for time.Since(startedAt) < 2*moveDuration {
		time.Sleep(time.Second / rate)
		out.requests++
		instance := random.IntN(instances)
		version := "v1"
		if moves[instance].VersionFilter("orders", strconv.Itoa(out.requests))("v2") {
			version = "v2"
			out.newRequests++
			if out.state == rwversion.StateTakenBack && time.Since(startedAt) > out.endedAt+time.Second {
				out.afterTakeBack++
			}
			if !fiftiethFailure.IsZero() && time.Since(fiftiethFailure) > 5*time.Second {
				out.afterFailures++
			}
		}
		failed := random.Float64() < failureRate(version, time.Since(startedAt))
		if failed && version == "v2" {
			if out.newFailures++; out.newFailures == 50 {
				fiftiethFailure = time.Now()
			}
		}
		moves[instance].Begin("orders", version, 0).End(rwevidence.Attempt{Failed: failed, First: 60 * time.Millisecond})
		if time.Since(syncedAt) > syncInterval {
			syncedAt = time.Now()
			exchangeEvidence(moves)
		}
		for _, s := range moves[0].Steps() {
			if s.Next >= rwversion.StateCompleted && out.state == rwversion.StateNew {
				out.state, out.endedAt = s.Next, time.Since(startedAt)
			}
		}
	}
	return out
}

// TestGoodVersion verifies that the move to a version that fails as often as the
// old one completes before the deadline.
func TestGoodVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := simulate(func(string, time.Duration) float64 { return 0.1 })
		require.Equal(t, rwversion.StateCompleted, out.state)
		require.LessOrEqual(t, out.endedAt, moveDuration)
	})
}

// TestBadVersion verifies that a bad version is taken back after it got at most 50
// requests more than a tenth of those sent within the move's duration.
func TestBadVersion(t *testing.T) {
	for name, failureRate := range map[string]func(string, time.Duration) float64{
		"fails always": func(v string, _ time.Duration) float64 { return map[string]float64{"v1": 0.05, "v2": 0.9}[v] },
		"fails partly": func(v string, _ time.Duration) float64 { return map[string]float64{"v1": 0.05, "v2": 0.4}[v] },
		"fails later": func(v string, at time.Duration) float64 {
			if v == "v2" && at > 7*time.Second {
				return 0.5
			}
			return 0.05
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := simulate(failureRate)
				require.Equal(t, rwversion.StateTakenBack, out.state)
				require.LessOrEqual(t, out.newRequests, rate*int(moveDuration/time.Second)/10+50)
				require.Zero(t, out.afterFailures)
				require.Zero(t, out.afterTakeBack, "a version that was taken back gets no requests, although the store is not written")
			})
		})
	}
}

// TestOutdatedRead verifies that an outdated read of the store does not restart a
// move that has ended.
func TestOutdatedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m rwversion.Moves
		m.Put(newMove(rwversion.StateTakenBack))
		m.Put(newMove(rwversion.StateRunning))
		require.False(t, m.VersionFilter("orders", "1")("v2"))
		require.Empty(t, m.Steps())
		require.Nil(t, m.VersionFilter("other", "1"))
		m.Remove("orders")
		require.Nil(t, m.VersionFilter("orders", "1"))
	})
}

func TestCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m rwversion.Moves
		m.Put(newMove(rwversion.StateCompleted))
		require.True(t, m.VersionFilter("orders", "1")("v2"))
		require.False(t, m.VersionFilter("orders", "1")("v1"))
	})
}

// streamOutcome is the result of a simulated move of a service with few, long requests.
type streamOutcome struct {
	state       rwversion.State // the final state; StateNew if the move did not end
	endedAt     time.Duration   // since the start
	requests    int             // sent within the move's duration
	newRequests int             // of these, to the new version
}

// simulateStreams runs a move of a service that gets perSecond requests. A request to a
// version takes first(version, n) until its first event, and counts as failed if that is
// longer than giveUp.
func simulateStreams(perSecond float64, first func(version string, n int) time.Duration) streamOutcome {
	const (
		duration = 15 * time.Second
		giveUp   = 4 * time.Second
	)
	move := newMove(rwversion.StateNew)
	move.Duration = duration
	moves := make([]rwversion.Moves, instances)
	for i := range moves {
		moves[i].Put(move)
		moves[i].SetCapacity("orders", ampleCapacity())
	}
	random := rand.New(rand.NewPCG(1, 2))
	var out streamOutcome
	startedAt, nextAt, syncedAt := time.Now(), time.Now(), time.Now()
	for time.Since(startedAt) < duration {
		time.Sleep(10 * time.Millisecond)
		if perSecond > 0 && !time.Now().Before(nextAt) && out.state == rwversion.StateNew {
			nextAt = nextAt.Add(time.Duration(float64(time.Second) / perSecond))
			out.requests++
			m := &moves[random.IntN(instances)]
			version := "v1"
			if m.VersionFilter("orders", strconv.Itoa(out.requests))("v2") {
				version = "v2"
				out.newRequests++
			}
			attempt := m.Begin("orders", version, 0)
			took := first(version, out.requests)
			time.AfterFunc(min(took, giveUp), func() {
				attempt.End(rwevidence.Attempt{Failed: took > giveUp, First: took})
			})
		}
		if time.Since(syncedAt) > syncInterval {
			syncedAt = time.Now()
			exchangeEvidence(moves)
		}
		for _, s := range moves[0].Steps() {
			if s.Next >= rwversion.StateCompleted && out.state == rwversion.StateNew {
				out.state, out.endedAt = s.Next, time.Since(startedAt)
			}
		}
	}
	time.Sleep(giveUp)
	return out
}

// TestSlowVersionTakenBack guards against moves that complete because the requests to the
// new version are so slow that none has ended yet.
func TestSlowVersionTakenBack(t *testing.T) {
	const usual = 1200 * time.Millisecond
	spread := func(n int) time.Duration { return time.Duration(n%7-3) * 100 * time.Millisecond }
	for name, c := range map[string]struct {
		perSecond float64
		slowdown  time.Duration // factor
		state     rwversion.State
	}{
		"8 times slower":                    {9, 8, rwversion.StateTakenBack},
		"8 times slower, few requests":      {2, 8, rwversion.StateTakenBack},
		"3 times slower":                    {9, 3, rwversion.StateTakenBack},
		"as fast":                           {9, 1, rwversion.StateCompleted},
		"as fast, few requests":             {2, 1, rwversion.StateCompleted},
		"as fast, a request in two seconds": {0.5, 1, rwversion.StateCompleted},
		"no requests":                       {0, 1, rwversion.StateCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := simulateStreams(c.perSecond, func(version string, n int) time.Duration {
					took := usual + spread(n)
					if version == "v2" {
						took *= c.slowdown
					}
					return took
				})
				require.Equal(t, c.state, out.state, "ended after %s, %d requests, %d to the new version", out.endedAt, out.requests, out.newRequests)
				require.LessOrEqual(t, out.endedAt, 15*time.Second)
				if c.state == rwversion.StateTakenBack {
					require.LessOrEqual(t, out.newRequests, out.requests/10+50)
				}
			})
		})
	}
}

// TestStepRecordedAgain guards against the outcome of a move that is missing in the store
// after a new era has lost it, and against a move that starts again then.
func TestStepRecordedAgain(t *testing.T) {
	for name, state := range map[string]rwversion.State{"completed": rwversion.StateCompleted, "taken back": rwversion.StateTakenBack} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m rwversion.Moves
				read := func(state rwversion.State, era, revision int64) {
					move := newMove(state)
					move.Era, move.Revision = era, revision
					m.Put(move)
				}
				toNew := func() bool { return m.VersionFilter("orders", "1")("v2") }
				read(state, 1, 50)
				require.Empty(t, m.Steps())
				read(rwversion.StateNew, 2, 20)
				require.Equal(t, state == rwversion.StateCompleted, toNew())
				steps := m.Steps()
				require.Len(t, steps, 1)
				require.Equal(t, state, steps[0].Next)
				require.Equal(t, int64(20), steps[0].Revision)
				read(state, 1, 50) // the older era's record was written late
				require.Len(t, m.Steps(), 1, "the new era still lacks it")
				read(state, 2, 21)
				require.Empty(t, m.Steps())
				require.Equal(t, state == rwversion.StateCompleted, toNew())
			})
		})
	}
}

// TestOlderOrderOfNewEra guards against a bad version that gets requests again because the
// copy from which the store came back has an older order, until the order is written again.
func TestOlderOrderOfNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m rwversion.Moves
		read := func(target string, state rwversion.State, era, revision int64) {
			move := newMove(state)
			move.Target, move.Era, move.Revision = target, era, revision
			m.Put(move)
		}
		read("v2", rwversion.StateTakenBack, 1, 50)
		read("v1", rwversion.StateCompleted, 2, 20)
		require.False(t, m.VersionFilter("orders", "1")("v2"))
		read("v2", rwversion.StateNew, 2, 30)
		require.True(t, m.IsTakenBack("orders", "v2"))
		require.Len(t, m.Steps(), 1)
		read("v3", rwversion.StateNew, 2, 40)
		read("v2", rwversion.StateNew, 2, 50)
		require.False(t, m.IsTakenBack("orders", "v2"), "a new order starts anew")
	})
}

// TestOrderWrittenAgain guards against an order that starts as one that has ended, because the
// instance missed that a former one with the same content was deleted.
func TestOrderWrittenAgain(t *testing.T) {
	for name, state := range map[string]rwversion.State{"completed": rwversion.StateCompleted, "taken back": rwversion.StateTakenBack} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m rwversion.Moves
				former, again := newMove(state), newMove(rwversion.StateNew)
				former.Created, former.Revision = 10, 20
				again.Created, again.Revision = 30, 30
				m.Put(former)
				require.Empty(t, m.Running())
				m.Put(again)
				m.Put(former) // read, or recorded by this instance, before the deletion
				require.Equal(t, []rwversion.Move{again}, m.Running())
				require.False(t, m.IsTakenBack("orders", "v2"))
				for _, step := range m.Steps() {
					require.Equal(t, rwversion.StateRunning, step.Next)
				}
			})
		})
	}
}

// TestFormerBadVersion guards against requests to the servers of a version that was taken back
// because its order was replaced or deleted before they left.
func TestFormerBadVersion(t *testing.T) {
	const drainTime = 7 * time.Second
	for name, end := range map[string]func(m *rwversion.Moves){
		"the next version is ordered": func(m *rwversion.Moves) {
			next := newMove(rwversion.StateNew)
			next.Target, next.Revision = "v3", 2
			m.Put(next)
		},
		"the order is deleted": func(m *rwversion.Moves) { m.Remove("orders") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m rwversion.Moves
				m.Put(newMove(rwversion.StateTakenBack))
				end(&m)
				time.Sleep(drainTime)
				require.True(t, m.IsTakenBack("orders", "v2"))
				require.False(t, m.IsTakenBack("orders", "v1"))
				require.False(t, m.IsTakenBack("other", "v2"))
				again := newMove(rwversion.StateNew)
				again.Revision = 3
				m.Put(again)
				require.False(t, m.IsTakenBack("orders", "v2"), "its order was written again")
			})
		})
	}
	t.Run("after a long time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var m rwversion.Moves
			m.Put(newMove(rwversion.StateTakenBack))
			m.Remove("orders")
			time.Sleep(time.Hour)
			require.False(t, m.IsTakenBack("orders", "v2"))
		})
	})
	t.Run("a completed one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var m rwversion.Moves
			m.Put(newMove(rwversion.StateCompleted))
			m.Remove("orders")
			require.False(t, m.IsTakenBack("orders", "v2"))
		})
	})
}

// TestBadVersionCompleted guards against an instance that refuses all requests, because it found
// a version bad just before another one recorded that its move is completed.
func TestBadVersionCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m rwversion.Moves
		m.Put(newMove(rwversion.StateRunning))
		require.True(t, m.SetPeerEvidence("other", "orders", rwversion.Total{Bad: "it fails"}))
		require.True(t, m.IsTakenBack("orders", "v2"))
		completed := newMove(rwversion.StateCompleted)
		completed.Revision = 2
		m.Put(completed)
		require.False(t, m.IsTakenBack("orders", "v2"), "the old servers have stopped")
		require.True(t, m.VersionFilter("orders", "1")("v2"))
		require.Empty(t, m.Steps())
	})
}

// TestEvidenceOfFormerOrder guards against a version that is taken back on the evidence of an
// instance that doesn't know yet that its order was written again.
func TestEvidenceOfFormerOrder(t *testing.T) {
	for name, c := range map[string]struct {
		order rwversion.Order
		bad   bool
	}{
		"of a former order":              {rwversion.Order{Era: 2, Created: 10}, false},
		"of this order":                  {rwversion.Order{Era: 2, Created: 30}, true},
		"of an order in the former era":  {rwversion.Order{Era: 1, Created: 10}, true},
		"of an instance of former build": {rwversion.Order{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m rwversion.Moves
				move := newMove(rwversion.StateRunning)
				move.Era, move.Created, move.Revision = 2, 30, 31
				m.Put(move)
				require.Equal(t, rwversion.Order{Era: 2, Created: 30}, m.OwnEvidence()["orders"].Order)
				require.Equal(t, c.bad, m.SetPeerEvidence("other", "orders", rwversion.Total{Bad: "it fails", Order: c.order}))
				require.Equal(t, c.bad, m.IsTakenBack("orders", "v2"))
			})
		})
	}
}

// TestLoadChangesDuringMove guards against a good version that is taken back because all
// requests take longer while more of them go to it, and against a slow one that completes
// because all of them take less time then.
func TestLoadChangesDuringMove(t *testing.T) {
	const usual = 300 * time.Millisecond
	later := func(factor float64) func(elapsed float64) float64 {
		return func(elapsed float64) float64 {
			if elapsed < 0.5 {
				return 1
			}
			return factor
		}
	}
	steadily := func(factor float64) func(elapsed float64) float64 {
		return func(elapsed float64) float64 { return 1 + (factor-1)*elapsed }
	}
	for name, c := range map[string]struct {
		perSecond float64
		load      func(elapsed float64) float64 // factor of the latencies of both versions
		slowdown  float64                       // factor of those of the new one
		state     rwversion.State
	}{
		"twice as slow from the middle on":               {40, later(2), 1, rwversion.StateCompleted},
		"twice as slow from the middle on, few requests": {9, later(2), 1, rwversion.StateCompleted},
		"slower and slower":                              {40, steadily(3), 1, rwversion.StateCompleted},
		"faster and faster":                              {40, steadily(0.4), 1, rwversion.StateCompleted},
		"faster and faster, new version slower":          {40, steadily(0.4), 1.6, rwversion.StateTakenBack},
		"half the time from the middle on, new slower":   {40, later(0.5), 1.6, rwversion.StateTakenBack},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				out := simulateStreams(c.perSecond, func(version string, n int) time.Duration {
					factor := c.load(float64(time.Since(startedAt)) / float64(15*time.Second))
					if version == "v2" {
						factor *= c.slowdown
					}
					return time.Duration(factor * float64(usual+time.Duration(n%7-3)*30*time.Millisecond))
				})
				require.Equal(t, c.state, out.state, "ended after %s, %d requests, %d to the new version", out.endedAt, out.requests, out.newRequests)
			})
		})
	}
}

// TestEvidenceOfManyInstances guards against evidence that is sent although it has not changed:
// in a large fleet most instances have no result of a service between two exchanges.
func TestEvidenceOfManyInstances(t *testing.T) {
	for name, c := range map[string]struct {
		instances, perSecond int
	}{
		"6 instances":              {6, 80},
		"390 instances":            {390, 80},
		"390 instances, few calls": {390, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				moves := make([]rwversion.Moves, c.instances)
				for i := range moves {
					moves[i].Put(newMove(rwversion.StateNew))
				}
				const window = 4 * time.Second
				messages, requests := 0, 0
				for startedAt := time.Now(); time.Since(startedAt) < window; {
					for range c.perSecond / 2 {
						requests++
						moves[requests*7%c.instances].Begin("orders", "v1", 0).End(rwevidence.Attempt{First: 60 * time.Millisecond})
					}
					time.Sleep(syncInterval)
					for i := range moves {
						messages += len(moves[i].ChangedEvidence(c.instances - 1))
					}
				}
				const repeatedEach = 2 // at most, in the window
				require.LessOrEqual(t, messages, requests+repeatedEach*c.instances)
				require.LessOrEqual(t, messages, int(window/syncInterval)*c.instances)
			})
		})
	}
}

// TestEvidenceSentAgain guards against instances that never get evidence which doesn't change,
// because it was lost or they are new.
func TestEvidenceSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m rwversion.Moves
		m.Put(newMove(rwversion.StateNew))
		m.Begin("orders", "v2", 0).End(rwevidence.Attempt{Failed: true})
		require.Len(t, m.ChangedEvidence(5), 1)
		require.Empty(t, m.ChangedEvidence(5))
		m.Begin("orders", "v2", 0)
		require.Len(t, m.ChangedEvidence(5), 1, "an attempt that has begun counts")
		const repeated = 2 * time.Second
		time.Sleep(repeated)
		require.Len(t, m.ChangedEvidence(5), 1)
		time.Sleep(repeated)
		require.Empty(t, m.ChangedEvidence(389))
	})
}
