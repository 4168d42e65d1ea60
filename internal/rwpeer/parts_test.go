package rwpeer_test

import (
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwloopback"
	"ragwortwall/internal/rwpart"
	"ragwortwall/internal/rwpeer"

	"github.com/stretchr/testify/require"
)

// lossOf returns the loss of the n-th server, each in a zone of its own.
func lossOf(n int) rwpart.Loss {
	return rwpart.Loss{Process: rwpart.NewProcess(fmt.Sprint("i-", n), 1), Zone: rwpart.NewZone(fmt.Sprint("z", n)), Version: rwpart.NewVersion("v1"), Request: rwpart.Request(n), Begun: true}
}

func holds(x *rwpeer.Exchange, parts int) func() bool {
	return func() bool { return len(x.Parts.Held()) == parts }
}

// TestHeldPartSurvivesLostDatagram guards against instances that don't know of a held part
// because one datagram was lost, and against a release that doesn't reach them.
func TestHeldPartSurvivesLostDatagram(t *testing.T) {
	a := rwpeer.Member{Name: "a", Zone: "z", NoticeAddress: rwloopback.Address()}
	b := rwpeer.Member{Name: "b", Zone: "z", NoticeAddress: rwloopback.Address()}
	receiver := newExchange(t, b, a, b)
	b.NoticeAddress = newLossyLink(t, b.NoticeAddress, `"findings":[`)
	sender := newExchange(t, a, a, b)
	connect(t, sender, receiver)
	part := rwpart.NewKey("org", "model", "aa")
	for n := range 3 {
		sender.Parts.RecordLoss(part, lossOf(n))
	}
	sender.AnnounceLosses([]rwpart.Key{part})
	require.Eventually(t, holds(receiver, 1), waitTimeout, tick)
	cleared := sender.Parts.RecordSound([]rwpart.Key{part}, rwpart.NewVersion("v1"), time.Now())
	sender.AnnounceFindings(cleared)
	require.Eventually(t, holds(receiver, 0), waitTimeout, tick)
}

// TestTrialTold guards against instances that try a held part while another one does.
func TestTrialTold(t *testing.T) {
	t.Parallel()
	a := rwpeer.Member{Name: "a", Zone: "z", NoticeAddress: rwloopback.Address()}
	b := rwpeer.Member{Name: "b", Zone: "z", NoticeAddress: rwloopback.Address()}
	sender, receiver := newExchange(t, a, a, b), newExchange(t, b, a, b)
	connect(t, sender, receiver)
	part, version := rwpart.NewKey("org", "model", "aa"), rwpart.NewVersion("v1")
	for n := range 3 {
		l := lossOf(n)
		l.Plain = true
		sender.Parts.RecordLoss(part, l)
	}
	sender.AnnounceLosses([]rwpart.Key{part})
	require.Eventually(t, holds(receiver, 1), waitTimeout, tick)
	const longestFirstTrial = 4500 * time.Millisecond // after the hold, for any key
	time.Sleep(longestFirstTrial)                     // both may try the part now
	trial, _ := sender.Parts.Admit([]rwpart.Key{part}, version)
	require.True(t, trial)
	sender.AnnounceTrial([]rwpart.Key{part})
	time.Sleep(10 * tick)
	trial, _ = receiver.Parts.Admit([]rwpart.Key{part}, version)
	require.False(t, trial)
}

// TestManyHeldParts guards against notices on parts that don't fit into one packet.
func TestManyHeldParts(t *testing.T) {
	a := rwpeer.Member{Name: "a", Zone: "z", NoticeAddress: rwloopback.Address()}
	b := rwpeer.Member{Name: "b", Zone: "z", NoticeAddress: rwloopback.Address()}
	sender, receiver := newExchange(t, a, a, b), newExchange(t, b, a, b)
	connect(t, sender, receiver)
	const count = 30
	parts := make([]rwpart.Key, count)
	for n := range parts {
		parts[n] = rwpart.NewKey("org", "model", fmt.Sprint(n))
		for server := range 6 {
			sender.Parts.RecordLoss(parts[n], lossOf(server))
		}
	}
	sender.AnnounceLosses(parts)
	require.Eventually(t, holds(receiver, count), waitTimeout, tick)
}
