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
	length   = 12 * time.Second
	rate     = 80 // requests a second over all instances
	fleet    = 6
	tellEach = 500 * time.Millisecond
)

func order(state rwversion.State) rwversion.Order {
	return rwversion.Order{Name: "orders", Service: "orders", Target: "v2", Length: length, State: state, Revision: 1}
}

// outcome is how a played move ended.
type outcome struct {
	next      rwversion.State
	at        time.Duration
	requests  int
	exposed   int // requests that the new version got
	afterBad  int // of these, after its 50th failure and a time
	afterEnd  int // of these, a second after it was found bad; the store is away
	badAnswer int
}

// play moves a service over a fleet of books. fails says how often a version
// fails after a time and at a share of the traffic.
func play(fails func(version string, at time.Duration) float64) outcome {
	books := make([]rwversion.Book, fleet)
	for i := range books {
		books[i].Put(order(rwversion.StateNew))
	}
	random := rand.New(rand.NewPCG(1, 2))
	var out outcome
	began, told, fifty := time.Now(), time.Now(), time.Time{}
	for time.Since(began) < 2*length {
		time.Sleep(time.Second / rate)
		out.requests++
		at := random.IntN(fleet)
		version := "v1"
		if books[at].Allows("orders", strconv.Itoa(out.requests))("v2") {
			version = "v2"
			out.exposed++
			if out.next == rwversion.StateTakenBack && time.Since(began) > out.at+time.Second {
				out.afterEnd++
			}
			if !fifty.IsZero() && time.Since(fifty) > 5*time.Second {
				out.afterBad++
			}
		}
		failed := random.Float64() < fails(version, time.Since(began))
		if failed && version == "v2" {
			if out.badAnswer++; out.badAnswer == 50 {
				fifty = time.Now()
			}
		}
		books[at].Seen("orders", version, rwevidence.Seen{Failed: failed, First: 60 * time.Millisecond})
		if time.Since(told) > tellEach {
			told = time.Now()
			for i := range books {
				for j := range books {
					if i != j {
						books[i].Merge(strconv.Itoa(j), "orders", books[j].Own()["orders"])
					}
				}
			}
		}
		for _, s := range books[0].Steps() {
			if s.Next >= rwversion.StateCompleted && out.next == rwversion.StateNew {
				out.next, out.at = s.Next, time.Since(began)
			}
		}
	}
	return out
}

func TestGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := play(func(string, time.Duration) float64 { return 0.1 })
		require.Equal(t, rwversion.StateCompleted, out.next)
		require.LessOrEqual(t, out.at, length)
	})
}

// TestBad: a bad version gets at most a tenth of the service's requests and 50
// more, and is taken back.
func TestBad(t *testing.T) {
	for name, fails := range map[string]func(string, time.Duration) float64{
		"always": func(v string, _ time.Duration) float64 { return map[string]float64{"v1": 0.05, "v2": 0.9}[v] },
		"partly": func(v string, _ time.Duration) float64 { return map[string]float64{"v1": 0.05, "v2": 0.4}[v] },
		"later": func(v string, at time.Duration) float64 {
			if v == "v2" && at > 7*time.Second {
				return 0.5
			}
			return 0.05
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := play(fails)
				require.Equal(t, rwversion.StateTakenBack, out.next)
				require.LessOrEqual(t, out.exposed, rate*int(length/time.Second)/10+50)
				require.Zero(t, out.afterBad)
				require.Zero(t, out.afterEnd, "it is kept out while the store can't be written")
			})
		})
	}
}

// TestEnded: what ended stays ended, whatever an old reading says.
func TestEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b rwversion.Book
		b.Put(order(rwversion.StateTakenBack))
		b.Put(order(rwversion.StateRunning))
		require.False(t, b.Allows("orders", "1")("v2"))
		require.Empty(t, b.Steps())
		require.Nil(t, b.Allows("other", "1"))
		b.Remove("orders")
		require.Nil(t, b.Allows("orders", "1"))
	})
}

func TestCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b rwversion.Book
		b.Put(order(rwversion.StateCompleted))
		require.True(t, b.Allows("orders", "1")("v2"))
		require.False(t, b.Allows("orders", "1")("v1"))
	})
}
