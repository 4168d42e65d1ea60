package rwpeer_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwpeer"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// newFleet returns the Members of all instances of a fleet that know each other.
func newFleet(t *testing.T, zones, each int) []*rwpeer.Members {
	t.Helper()
	var batch rwfeed.Batch
	var all []*rwpeer.Members
	for zone := range zones {
		for n := range each {
			m := rwpeer.Member{Name: fmt.Sprintf("entry-%d-%d", zone, n), Zone: fmt.Sprint(zone), PeerAddress: fmt.Sprintf("10.%d.0.%d:1", zone, n), NoticeAddress: "10.0.0.1:2"}
			spec, err := json.Marshal(m)
			require.NoError(t, err)
			batch.Changes = append(batch.Changes, rwfeed.Change{Name: m.Name, Revision: 1, Spec: spec})
			all = append(all, &rwpeer.Members{Self: m.Name, Zone: m.Zone, Log: logr.Discard()})
		}
	}
	for _, m := range all {
		m.Apply(batch)
	}
	return all
}

// TestWatchers checks, for fleets of 6 to 390 instances, that each zone has watchers,
// that a follower tries one of its own zone first, and that no watcher is the first
// choice of too many followers.
func TestWatchers(t *testing.T) {
	for _, size := range []struct{ zones, each, maxWatchers int }{{3, 2, 3}, {3, 28, 6}, {5, 78, 30}} {
		t.Run(fmt.Sprint(size.zones*size.each), func(t *testing.T) {
			watchers, followers := 0, map[string]int{}
			for _, m := range newFleet(t, size.zones, size.each) {
				if m.IsWatcher() {
					watchers++
					continue
				}
				first := m.WatcherAddresses()[0]
				require.Contains(t, first, fmt.Sprintf("10.%s.", m.Zone), "a watcher of the own zone comes first")
				followers[first]++
			}
			require.GreaterOrEqual(t, watchers, size.zones)
			require.LessOrEqual(t, watchers, size.maxWatchers)
			for address, n := range followers {
				require.LessOrEqual(t, n, 30, address)
			}
		})
	}
}

// TestLargerFirst guards against overloaded small instances: in a fleet of a few large
// and many small ones, only the large ones watch the store and relay notices.
func TestLargerFirst(t *testing.T) {
	const large, small, each = 500, 100, 28
	size := func(n int) int {
		if n%13 == 5 {
			return large
		}
		return small
	}
	var batch rwfeed.Batch
	var all []*rwpeer.Members
	for n := range each {
		m := rwpeer.Member{Name: fmt.Sprint("entry-", n), Zone: "a", PeerAddress: fmt.Sprint(n), MemoryBytes: size(n)}
		spec, err := json.Marshal(m)
		require.NoError(t, err)
		batch.Changes = append(batch.Changes, rwfeed.Change{Name: m.Name, Revision: 1, Spec: spec})
		all = append(all, &rwpeer.Members{Self: m.Name, Zone: m.Zone, Memory: m.MemoryBytes, Log: logr.Discard()})
	}
	for n, m := range all {
		m.Apply(batch)
		if m.IsWatcher() {
			require.Equal(t, large, size(n))
		}
		require.Equal(t, size(n) == large, m.Large())
		if !m.Large() {
			require.Len(t, rwpeer.Relays(m.ByZone()["a"]), 2)
		}
	}
	equal := make([]rwpeer.Member, 4)
	require.Len(t, rwpeer.Relays(equal), 4, "all instances of equal memory are relays")
	equal[0].MemoryBytes = large
	require.Len(t, rwpeer.Relays(equal), 4, "one larger instance is fewer than minRelays")
	require.Empty(t, rwpeer.Relays(nil))
}

func TestListed(t *testing.T) {
	all := newFleet(t, 1, 2)
	require.Len(t, all[0].Others(), 1)
	require.Equal(t, 2, all[0].Count())
	own := rwpeer.Member{Name: "entry-0-0", Zone: "0", PeerAddress: "10.0.0.0:1", NoticeAddress: "10.0.0.1:2"}
	require.True(t, all[0].ListedAs(own))
	own.NoticeAddress = "10.0.0.1:3"
	require.False(t, all[0].ListedAs(own))
	all[0].Apply(rwfeed.Batch{Changes: []rwfeed.Change{{Name: "entry-0-1", Deleted: true}}})
	require.Equal(t, 1, all[0].Count())
	require.Empty(t, all[0].ByZone())
}
