package rwpath

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load of the fleet in the model, as at the size to design for.
const (
	modelRequestRate  = 8 // requests of callers per second and instance
	modelRequestBytes = 4_000
	modelSeconds      = 2
	modelHelperTime   = 5 * time.Millisecond // question to an instance that answers
	modelMaxAsked     = maxHelpersAsked
)

// helperChoice orders the other instances for one connection.
type helperChoice func(r *rand.Rand, self, size, zones int, isUnfit func(n int) bool) []int

func zoneOf(n, zones int) int { return n % zones }

var helperChoices = map[string]helperChoice{
	"one fixed other": func(_ *rand.Rand, self, size, zones int, _ func(int) bool) []int {
		order := make([]int, 0, size)
		for n := 1; n < size; n++ {
			order = append(order, (self+n*zones+n*zones/size)%size)
		}
		return order
	},
	"any, at random": func(r *rand.Rand, _, size, _ int, _ func(int) bool) []int { return r.Perm(size) },
	"own zone first": func(r *rand.Rand, self, size, zones int, _ func(int) bool) []int {
		return numbers(ByZone(modelHelpers(r.Perm(size), zones), fmt.Sprint(zoneOf(self, zones))))
	},
	"own zone, then other zones": func(r *rand.Rand, self, size, zones int, isUnfit func(int) bool) []int {
		fit := slices.DeleteFunc(r.Perm(size), func(n int) bool { return n == self || isUnfit(n) })
		return numbers(alternateZones(ByZone(modelHelpers(fit, zones), fmt.Sprint(zoneOf(self, zones)))))
	},
}

func modelHelpers(order []int, zones int) []Helper {
	helpers := make([]Helper, 0, len(order))
	for _, n := range order {
		helpers = append(helpers, Helper{Zone: fmt.Sprint(zoneOf(n, zones)), Address: strconv.Itoa(n)})
	}
	return helpers
}

func numbers(helpers []Helper) []int {
	order := make([]int, 0, len(helpers))
	for _, h := range helpers {
		n, err := strconv.Atoi(h.Address)
		if err == nil {
			order = append(order, n)
		}
	}
	return order
}

// pathModel is the result of a model of a fleet of which some instances are cut off.
type pathModel struct {
	sent, served int // requests at cut instances, from the moment at which their paths are known to be broken
	asks         int // questions to other instances
	mostRelayed  int // by one instance, in requests per second
	zoneBytes    int // between zones
}

func runPathModel(choose helperChoice, size, zones int, isCut func(n int) bool) pathModel {
	r := rand.New(rand.NewPCG(7, uint64(size)))
	var m pathModel
	for range modelSeconds {
		relayed := make([]int, size)
		unfit := map[[2]int]bool{} // kept for unfitTime
		for self := range size {
			if !isCut(self) {
				continue
			}
			for range modelRequestRate {
				m.sent++
				asked := 0
				for _, n := range choose(r, self, size, zones, func(n int) bool { return unfit[[2]int{self, n}] }) {
					if n == self || unfit[[2]int{self, n}] {
						continue
					}
					if asked++; asked > modelMaxAsked {
						break
					}
					m.asks++
					if isCut(n) {
						unfit[[2]int{self, n}] = true
						continue
					}
					m.served++
					relayed[n]++
					if zoneOf(n, zones) != zoneOf(self, zones) {
						m.zoneBytes += modelRequestBytes
					}
					break
				}
			}
		}
		for _, n := range relayed {
			m.mostRelayed = max(m.mostRelayed, n)
		}
	}
	return m
}

// TestPathModel compares ways to choose the instance that relays connections, for fleets of three
// sizes. It guards the choice of the design: callers of cut instances are served nearly always at
// the first attempt, and no instance relays a multiple of its own load while many can.
func TestPathModel(t *testing.T) {
	for _, fleet := range []struct{ size, zones int }{{6, 3}, {85, 5}, {390, 5}} {
		cuts := map[string]func(n int) bool{
			"a tenth": func(n int) bool { return n%10 == 0 },
			"a zone":  func(n int) bool { return n%fleet.zones == 0 },
			"half":    func(n int) bool { return (n/fleet.zones)%2 == 0 },
		}
		for _, cut := range []string{"a tenth", "a zone", "half"} {
			for _, name := range []string{"one fixed other", "any, at random", "own zone first", "own zone, then other zones"} {
				m := runPathModel(helperChoices[name], fleet.size, fleet.zones, cuts[cut])
				t.Logf("%3d instances, %-8s %-26s served %.3f, asks per request %.2f (%.1f ms), most relayed %3d/s (own %d), between zones %7.1f kB/s",
					fleet.size, cut+":", name, float64(m.served)/float64(m.sent), float64(m.asks)/float64(m.sent),
					float64(m.asks)/float64(m.sent)*float64(modelHelperTime.Milliseconds()), m.mostRelayed, modelRequestRate, float64(m.zoneBytes)/modelSeconds/1000)
				if name == "own zone, then other zones" {
					require.GreaterOrEqual(t, float64(m.served)/float64(m.sent), 0.9)
					require.LessOrEqual(t, m.mostRelayed, 4*modelRequestRate)
				}
			}
		}
	}
}
