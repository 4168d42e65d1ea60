package rwloss

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

// testWorld is a directory and a ledger that judges losses by it.
type testWorld struct {
	directory *rwbackend.Directory
	ledger    Ledger
	listedAt  time.Time // when the store last confirmed the list

	mu       sync.Mutex
	verdicts map[string]Verdict // by id of the server
}

func newTestWorld(servers ...rwbackend.Entry) *testWorld {
	w := &testWorld{directory: rwbackend.NewDirectory("self"), verdicts: map[string]Verdict{}}
	for _, s := range servers {
		w.directory.Put(s)
	}
	w.ledger.Rule.Expiry, w.ledger.Directory = testExpiry, w.directory
	w.ledger.ListAge = func() (time.Duration, bool) { return time.Since(w.listedAt), !w.listedAt.IsZero() }
	return w
}

// lose opens the loss of a server under a request.
func (w *testWorld) lose(s rwbackend.Entry, request uint64) {
	w.ledger.Add(Loss{
		Server: s, At: time.Now(), Request: request, Ran: func(id string) bool { return id == s.ID },
		Judged: func(v Verdict) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.verdicts[s.ID] = v
		},
	})
}

func (w *testWorld) requireVerdict(t *testing.T, id string, want Verdict) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Equal(t, want, w.verdicts[id])
}

func testServer(id, zone string) rwbackend.Entry {
	return rwbackend.Entry{ID: id, Service: "orders", Zone: zone, Address: id + ":1", Incarnation: 1}
}

// restarted returns the entry of a new process under a new id.
func restarted(e rwbackend.Entry) rwbackend.Entry {
	e.ID, e.Incarnation = e.ID+"+", e.Incarnation+1
	return e
}

// TestLedger guards against a loss that is judged once, when the least is known, and not again when
// the server is back, or is removed for its silence.
func TestLedger(t *testing.T) {
	a, b, c := testServer("a", "zone-0"), testServer("b", "zone-0"), testServer("c", "zone-1")
	for name, play := range map[string]struct {
		do   func(w *testWorld)
		want Verdict // on a
	}{
		"back as a new process": {func(w *testWorld) {
			time.Sleep(3 * time.Second)
			w.directory.Put(restarted(c))
			w.directory.RecordResponse("b", false, time.Millisecond, rwbackend.Load{})
			w.directory.Put(restarted(a))
		}, Ended},
		"its zone is back as new processes": {func(w *testWorld) {
			time.Sleep(3 * time.Second)
			w.directory.Put(restarted(a))
			time.Sleep(time.Second)
			w.directory.Put(restarted(b))
		}, EndedWithOthers},
		"removed for its silence": {func(w *testWorld) {
			time.Sleep(testExpiry)
			w.directory.Remove("a")
			time.Sleep(2 * removalDelay)
		}, Ended},
		"its zone is removed for its silence": {func(w *testWorld) {
			time.Sleep(testExpiry)
			w.directory.Remove("a")
			time.Sleep(removalDelay / 2)
			w.directory.Remove("b")
		}, EndedWithOthers},
		"removed at once": {func(w *testWorld) {
			time.Sleep(time.Second)
			w.directory.Remove("a")
		}, Left},
		"shuts down in order": {func(w *testWorld) {
			time.Sleep(time.Second)
			leaving := a
			leaving.Leaving = true
			w.directory.Put(leaving)
		}, Left},
		"answers again": {func(w *testWorld) {
			time.Sleep(5 * time.Second)
			w.directory.RecordResponse("a", false, time.Millisecond, rwbackend.Load{})
		}, Survived},
		"stays listed": {func(w *testWorld) {
			time.Sleep(testExpiry + returnDelay + time.Second)
			w.listedAt = time.Now()
		}, Survived},
		"the store stays away": {func(*testWorld) { time.Sleep(maxOpenTime) }, Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestWorld(a, b, c)
				w.listedAt = time.Now()
				w.lose(a, 1)
				time.Sleep(checkInterval)
				w.requireVerdict(t, "a", Open)
				play.do(w)
				time.Sleep(2 * checkInterval)
				w.requireVerdict(t, "a", play.want)
				require.Zero(t, w.ledger.Count())
			})
		})
	}
}

// TestLedgerDropsCompleted guards against a sound request that is blamed for servers that end
// after a path to them was lost: it was completed meanwhile.
func TestLedgerDropsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := testServer("a", "zone-0"), testServer("b", "zone-1")
		w := newTestWorld(a, b)
		w.lose(a, 1)
		w.lose(b, 2)
		require.Equal(t, 1, w.ledger.Drop(1))
		w.directory.Put(restarted(a))
		w.directory.Put(restarted(b))
		time.Sleep(2 * checkInterval)
		w.requireVerdict(t, "a", Open)
		w.requireVerdict(t, "b", Ended)
	})
}

// TestLedgerBounded checks that the number of open losses is bounded, and that the oldest give way.
func TestLedgerBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWorld()
		for n := range maxOpenLosses + 1 {
			w.lose(testServer(fmt.Sprint(n), "zone-0"), 1)
		}
		require.Equal(t, maxOpenLosses, w.ledger.Count())
		w.requireVerdict(t, "0", Undecided)
		require.Equal(t, maxOpenLosses, w.ledger.Drop(1))
		time.Sleep(2 * checkInterval) // ends the timer
	})
}

// BenchmarkCheck checks as many open losses as there may be, of servers of a service of 50.
func BenchmarkCheck(b *testing.B) {
	w := newTestWorld()
	for n := range 50 {
		w.directory.Put(testServer(fmt.Sprint(n), fmt.Sprint("zone-", n%5)))
	}
	var open []*openLoss
	for n := range maxOpenLosses {
		server := testServer(fmt.Sprint(n%50), fmt.Sprint("zone-", n%5))
		open = append(open, &openLoss{Loss: Loss{Server: server, At: time.Now()}, neighbours: w.directory.Neighbours(server, maxNeighbours)})
	}
	for b.Loop() {
		w.ledger.judge(open)
	}
}
