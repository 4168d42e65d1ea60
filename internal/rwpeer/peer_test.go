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

// listed returns all instances of a fleet, each with what it knows.
func listed(t *testing.T, zones, each int) []*rwpeer.Members {
	t.Helper()
	var batch rwfeed.Batch
	var all []*rwpeer.Members
	for zone := range zones {
		for n := range each {
			m := rwpeer.Member{Name: fmt.Sprintf("entry-%d-%d", zone, n), Zone: fmt.Sprint(zone), Instances: fmt.Sprintf("10.%d.0.%d:1", zone, n), Notices: "10.0.0.1:2"}
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

// TestWatchers: from 6 to 390 instances each zone has watchers, and each watcher
// about as many followers, whom it serves first.
func TestWatchers(t *testing.T) {
	for _, size := range []struct{ zones, each, most int }{{3, 2, 3}, {3, 28, 6}, {5, 78, 30}} {
		t.Run(fmt.Sprint(size.zones*size.each), func(t *testing.T) {
			watchers, followers := 0, map[string]int{}
			for _, m := range listed(t, size.zones, size.each) {
				if m.Watches() {
					watchers++
					continue
				}
				first := m.Watchers()[0]
				require.Contains(t, first, fmt.Sprintf("10.%s.", m.Zone), "the own zone's first")
				followers[first]++
			}
			require.GreaterOrEqual(t, watchers, size.zones)
			require.LessOrEqual(t, watchers, size.most)
			for address, n := range followers {
				require.LessOrEqual(t, n, 30, address)
			}
		})
	}
}

// TestLargerFirst answers the load of a fleet of a few large and many small
// instances: what is done for the others is done by the large ones.
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
		m := rwpeer.Member{Name: fmt.Sprint("entry-", n), Zone: "a", Instances: fmt.Sprint(n), Memory: size(n)}
		spec, err := json.Marshal(m)
		require.NoError(t, err)
		batch.Changes = append(batch.Changes, rwfeed.Change{Name: m.Name, Revision: 1, Spec: spec})
		all = append(all, &rwpeer.Members{Self: m.Name, Zone: m.Zone, Memory: m.Memory, Log: logr.Discard()})
	}
	for n, m := range all {
		m.Apply(batch)
		if m.Watches() {
			require.Equal(t, large, size(n))
		}
		require.Equal(t, size(n) == large, m.Large())
		if !m.Large() {
			require.Len(t, rwpeer.Relays(m.Zones()["a"]), 2)
		}
	}
	equal := make([]rwpeer.Member, 4)
	require.Len(t, rwpeer.Relays(equal), 4, "nobody is larger")
	equal[0].Memory = large
	require.Len(t, rwpeer.Relays(equal), 4, "one alone is no relay")
	require.Empty(t, rwpeer.Relays(nil))
}

func TestListed(t *testing.T) {
	all := listed(t, 1, 2)
	require.Len(t, all[0].Others(), 1)
	require.Equal(t, 2, all[0].Count())
	own := rwpeer.Member{Name: "entry-0-0", Zone: "0", Instances: "10.0.0.0:1", Notices: "10.0.0.1:2"}
	require.True(t, all[0].Listed(own))
	own.Notices = "10.0.0.1:3"
	require.False(t, all[0].Listed(own))
	all[0].Apply(rwfeed.Batch{Changes: []rwfeed.Change{{Name: "entry-0-1", Gone: true}}})
	require.Equal(t, 1, all[0].Count())
	require.Empty(t, all[0].Zones())
}
