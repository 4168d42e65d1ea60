package rwpeer_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwpeer"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// listBesideLeft returns the live instances of a fleet, and the list with entries of ten times
// as many that left.
func listBesideLeft(zones, small int) (live, listed []rwpeer.Member) {
	live = mixedFleet(zones, 0, small)
	for n := range 10 * len(live) {
		listed = append(listed, rwpeer.Member{Name: fmt.Sprint("left-", n), Zone: fmt.Sprint(n % zones), PeerAddress: fmt.Sprintf("10.200.%d.%d:1", n/250, n%250), MemoryBytes: smallMemory})
	}
	return live, append(listed, live...)
}

// TestWatchersGoneForGood guards against zones whose watchers have all left for good, so that
// each instance calls the store itself for ever. Instances ask those that they take for
// watchers, six in a round, as a follower does.
func TestWatchersGoneForGood(t *testing.T) {
	const perRound, rounds = 6, 40
	for _, fleet := range []struct{ zones, small int }{{3, 2}, {5, 78}} {
		t.Run(fmt.Sprint(fleet.zones*fleet.small), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				live, listed := listBesideLeft(fleet.zones, fleet.small)
				all := map[string]*rwpeer.Members{} // by address
				for _, member := range live {
					m := &rwpeer.Members{Self: member.Name, Zone: member.Zone, Memory: member.MemoryBytes, Log: logr.Discard()}
					m.Apply(listOf(t, listed))
					all[member.PeerAddress] = m
				}
				// search asks the first few peers of an instance and reports whether one watches.
				search := func(m *rwpeer.Members) bool {
					asked := m.WatcherAddresses()
					for _, address := range asked[:min(perRound, len(asked))] {
						other, reached := all[address]
						m.RecordReach(address, reached)
						if reached && other.IsWatcher() {
							return true
						}
					}
					return false
				}
				for range rounds {
					for _, m := range all {
						_ = m.IsWatcher() || search(m)
					}
					time.Sleep(time.Second)
				}
				watching := 0
				for address, m := range all {
					if m.IsWatcher() {
						watching++
					} else {
						require.True(t, search(m), "%s finds none that watches", address)
					}
				}
				require.GreaterOrEqual(t, watching, fleet.zones)
				require.LessOrEqual(t, watching, fleet.zones*(2*fleet.small/14+2), "instances that call the store")
			})
		})
	}
}

// TestReach checks what ends that an instance is passed over.
func TestReach(t *testing.T) {
	for name, end := range map[string]func(m *rwpeer.Members, member rwpeer.Member){
		"heard from":    func(m *rwpeer.Members, member rwpeer.Member) { m.RecordHeard(member.Name) },
		"reached":       func(m *rwpeer.Members, member rwpeer.Member) { m.RecordReach(member.PeerAddress, true) },
		"written again": func(m *rwpeer.Members, member rwpeer.Member) { m.Apply(listOf(t, []rwpeer.Member{member})) },
		"time":          func(*rwpeer.Members, rwpeer.Member) { time.Sleep(10 * time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := mixedFleet(1, 1, 2)
				m := &rwpeer.Members{Self: all[2].Name, Zone: all[2].Zone, Memory: all[2].MemoryBytes, Log: logr.Discard()}
				m.Apply(listOf(t, all))
				require.Equal(t, all[0].PeerAddress, m.WatcherAddresses()[0])
				m.RecordReach(all[0].PeerAddress, false)
				require.False(t, slices.Contains(m.WatcherAddresses(), all[0].PeerAddress))
				require.Len(t, m.Reachable(), 1)
				require.Len(t, m.Others(), 2, "it stays listed")
				end(m, all[0])
				require.Equal(t, all[0].PeerAddress, m.WatcherAddresses()[0])
			})
		})
	}
}
