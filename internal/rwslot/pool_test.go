package rwslot

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwerror"

	"github.com/stretchr/testify/require"
)

const (
	capacity = 8
	holdTime = time.Second // for which each request holds its slot
)

// poolTest sends requests to a pool and counts those that hold a slot, have been
// served and have been refused.
type poolTest struct {
	pool *Pool

	mu         sync.Mutex
	held       int
	peak       int            // highest value of held
	served     map[string]int // by organisation
	refused    int
	waits      map[string][]time.Duration // of the requests that got a slot, by organisation
	retryAfter time.Duration              // of the last refusal
}

// newPoolTest returns a poolTest whose pool has finished its warm-up.
func newPoolTest(mayGrant func() bool) *poolTest {
	b := &poolTest{pool: NewPool("s", capacity, 0, mayGrant), served: map[string]int{}, waits: map[string][]time.Duration{}}
	time.Sleep(WarmUp)
	return b
}

func alwaysMayGrant() bool { return true }

// request acquires a slot, holds it for holdTime and releases it.
func (b *poolTest) request(r Request) error {
	r.Weight = max(1, r.Weight)
	r.Tokens = max(1, r.Tokens)
	began := time.Now()
	err := b.pool.Acquire(context.Background(), r)
	b.mu.Lock()
	if err != nil {
		b.refused++
		b.retryAfter = rwerror.As(err).RetryAfter
		b.mu.Unlock()
		return err
	}
	b.held++
	b.peak = max(b.peak, b.held)
	b.waits[r.Organisation] = append(b.waits[r.Organisation], time.Since(began))
	b.mu.Unlock()
	time.Sleep(holdTime)
	b.mu.Lock()
	b.held--
	b.served[r.Organisation]++
	b.mu.Unlock()
	b.pool.Release(r.Lease, r.Holder, 10*time.Millisecond)
	return nil
}

func withFakeClock(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// TestPoolOverload sends three times the requests that the server has capacity for.
// The pool must never exceed the capacity, must keep the server at least 90% busy
// and must give refused requests a RetryAfter.
func TestPoolOverload(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		b := newPoolTest(alwaysMayGrant)
		random := rand.New(rand.NewPCG(1, 1))
		var wait sync.WaitGroup
		const seconds = 30
		for n := range 3 * capacity * seconds {
			time.Sleep(time.Duration(random.ExpFloat64() / (3 * capacity) * float64(time.Second)))
			wait.Go(func() { _ = b.request(Request{Lease: fmt.Sprint(n), Organisation: "o", MaxWait: 2 * time.Second}) })
		}
		wait.Wait()
		require.LessOrEqual(t, b.peak, capacity)
		require.GreaterOrEqual(t, b.served["o"], capacity*seconds*9/10)
		require.Positive(t, b.refused)
		require.Positive(t, b.retryAfter)
	})
}

// TestPoolFair guards against one organisation starving another: while "flood"
// keeps the queue full, a request of "quiet" must get one of the next free slots.
func TestPoolFair(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		b := newPoolTest(alwaysMayGrant)
		var wait sync.WaitGroup
		stop := make(chan struct{})
		for flood := range 4 * capacity {
			wait.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					if b.request(Request{Lease: fmt.Sprintf("f%d-%d", flood, n), Organisation: "flood", Tokens: 100, MaxWait: 5 * time.Second}) != nil {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
		time.Sleep(5 * time.Second)
		for n := range 20 {
			require.NoError(t, b.request(Request{Lease: fmt.Sprintf("q%d", n), Organisation: "quiet", Tokens: 100, MaxWait: 5 * time.Second}))
		}
		close(stop)
		wait.Wait()
		for _, w := range b.waits["quiet"] {
			require.LessOrEqual(t, w, holdTime+50*time.Millisecond)
		}
	})
}

// TestPoolOrder checks that resumed requests are served first and the others by
// priority.
func TestPoolOrder(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		b := newPoolTest(alwaysMayGrant)
		for n := range capacity {
			go func() { _ = b.request(Request{Lease: fmt.Sprint(n), MaxWait: time.Second}) }()
		}
		synctest.Wait()
		var mu sync.Mutex
		var order []string
		var wait sync.WaitGroup
		for _, r := range []Request{
			{Lease: "low", Priority: -1, MaxWait: 9 * time.Second},
			{Lease: "high", Priority: 5, MaxWait: 9 * time.Second},
			{Lease: "resumed", Resumed: true, MaxWait: 9 * time.Second},
		} {
			r.Weight, r.Tokens = 1, 1
			wait.Go(func() {
				if b.pool.Acquire(context.Background(), r) == nil {
					mu.Lock()
					order = append(order, r.Lease)
					mu.Unlock()
				}
			})
		}
		synctest.Wait()
		for n := range 3 {
			b.pool.Release(fmt.Sprint(n), AnyHolder, 0)
			synctest.Wait()
		}
		wait.Wait()
		require.Equal(t, []string{"resumed", "high", "low"}, order)
		time.Sleep(holdTime)
	})
}

// TestPoolRefuses checks reasons for which a pool refuses a request at once.
func TestPoolRefuses(t *testing.T) {
	withFakeClock(t, func(*testing.T) {
		mayGrant := true
		b := newPoolTest(func() bool { return mayGrant })
		request := Request{Lease: "a", MaxWait: time.Second}
		t.Run("without the majority", func(t *testing.T) {
			mayGrant = false
			require.Error(t, b.request(request))
			mayGrant = true
		})
		t.Run("leaving server", func(t *testing.T) {
			b.pool.Resize(capacity, true)
			require.Error(t, b.request(request))
			b.pool.Resize(capacity, false)
		})
		t.Run("deadline too close", func(t *testing.T) {
			for n := range 10 {
				require.NoError(t, b.request(Request{Lease: fmt.Sprint(n), MaxWait: time.Second}))
			}
			tooLate := request
			tooLate.UntilDeadline = holdTime / 2
			require.Error(t, b.request(tooLate))
			tooLate.UntilDeadline = 2 * holdTime
			require.NoError(t, b.request(tooLate))
		})
		t.Run("during the warm-up", func(t *testing.T) {
			require.Error(t, NewPool("s", capacity, 0, alwaysMayGrant).Acquire(context.Background(), request))
		})
	})
}

// TestPoolSuspects checks that a server runs copies of only one suspect request at
// a time, so that a crash can be attributed to it.
func TestPoolSuspects(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		b := newPoolTest(alwaysMayGrant)
		acquire := func(lease string, fingerprint uint64) error {
			return b.pool.Acquire(context.Background(), Request{Lease: lease, Suspect: true, Fingerprint: fingerprint, Weight: 1, Tokens: 1})
		}
		require.NoError(t, acquire("a", 1))
		require.Error(t, acquire("b", 2), "another request is suspect")
		require.NoError(t, acquire("c", 1), "copies of one request may run at the same time")
		b.pool.Renew("h", Lease{ID: "a", Fingerprint: 1}, Lease{ID: "c", Fingerprint: 1})
		require.NoError(t, acquire("d", 2), "the other request is no longer suspect")
	})
}

// TestPoolTwoOwners moves a server to a new owner while requests run. The old owner
// still grants leases until it notices the partition, so without the new owner's warm-up
// both together would exceed the capacity.
func TestPoolTwoOwners(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFakeClock(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				var mu sync.Mutex
				held, peak := 0, 0
				leases := map[string]bool{}
				var fenced atomic.Bool
				pool := NewPool("s", capacity, 0, func() bool { return !fenced.Load() })
				time.Sleep(WarmUp)
				run := func(p *Pool, lease string) {
					if p.Acquire(context.Background(), Request{Lease: lease, Weight: 1, Tokens: 1, MaxWait: time.Second}) != nil {
						return
					}
					mu.Lock()
					held++
					peak = max(peak, held)
					leases[lease] = true
					mu.Unlock()
					time.Sleep(3 * time.Second)
					mu.Lock()
					held--
					delete(leases, lease)
					mu.Unlock()
					p.Release(lease, AnyHolder, 0)
				}
				declare := func(p *Pool) {
					mu.Lock()
					defer mu.Unlock()
					for lease := range leases {
						p.Renew("h", Lease{ID: lease})
					}
				}
				owners := []*Pool{pool}
				for n := range 300 {
					time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
					if n == 150 {
						// The old owner is partitioned: it stops granting after
						// 1.2 s, and the new owner takes over after 1.8 s.
						time.AfterFunc(1200*time.Millisecond, func() { fenced.Store(true) })
						time.AfterFunc(1800*time.Millisecond, func() {
							next := NewPool("s", capacity, 0, alwaysMayGrant)
							go func() {
								for range 3 {
									time.Sleep(RenewInterval)
									declare(next)
								}
							}()
							mu.Lock()
							defer mu.Unlock()
							owners = append(owners, next)
						})
					}
					mu.Lock()
					p := owners[random.IntN(len(owners))]
					mu.Unlock()
					go run(p, fmt.Sprint(n))
				}
				time.Sleep(10 * time.Second)
				require.LessOrEqual(t, peak, capacity)
			})
		})
	}
}
