package rwpeer_test

import (
	"encoding/json"
	"testing"

	"ragwortwall/internal/rwduty"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwloopback"
	"ragwortwall/internal/rwpeer"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// TestDutyAnnounced guards against instances that don't hear who holds the duties.
func TestDutyAnnounced(t *testing.T) {
	a := rwpeer.Member{Name: "a", Zone: "z", NoticeAddress: rwloopback.Address()}
	b := rwpeer.Member{Name: "b", Zone: "z", NoticeAddress: rwloopback.Address()}
	sender, receiver := newExchange(t, a, a, b), newExchange(t, b, a, b)
	heard := make(chan rwduty.Announcement, 100)
	receiver.HeardDuty = func(a rwduty.Announcement) { heard <- a }
	connect(t, sender, receiver)
	want := rwduty.Announcement{Holder: "a", Fence: 7, Era: 1, Revision: 12}
	require.Eventually(t, func() bool {
		sender.AnnounceDuty(rwduty.Announcement{Holder: "b", Fence: 8, Revision: 13}) // not by its holder
		sender.AnnounceDuty(want)
		return len(heard) > 0
	}, waitTimeout, tick)
	require.Equal(t, want, <-heard)
}

// TestDutyRank checks that each instance has a rank of its own, the largest first, and that the
// former holder isn't waited for.
func TestDutyRank(t *testing.T) {
	memory := map[string]int{"a": 100, "b": 500, "c": 100}
	ranks := func(without string) map[string]int {
		got := map[string]int{}
		for self := range memory {
			m := rwpeer.Members{Self: self, Memory: memory[self], Log: logr.Discard()}
			var batch rwfeed.Batch
			for name, bytes := range memory {
				spec, err := json.Marshal(rwpeer.Member{Name: name, MemoryBytes: bytes})
				require.NoError(t, err)
				batch.Changes = append(batch.Changes, rwfeed.Change{Name: name, Spec: spec})
			}
			m.Apply(batch)
			got[self] = m.DutyRank(without)
		}
		return got
	}
	all := ranks("")
	require.Zero(t, all["b"])
	require.Equal(t, 3, all["a"]+all["c"])
	require.NotEqual(t, all["a"], all["c"])
	without := ranks("b")
	require.Equal(t, 1, without["a"]+without["c"])
}
