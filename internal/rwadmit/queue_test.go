package rwadmit_test

import (
	"testing"
	"time"

	"ragwortwall/internal/rwadmit"
	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwurgency"

	"github.com/stretchr/testify/require"
)

var (
	start    = time.Unix(1000, 0)
	pilot    = rwurgency.Route{Priority: 0, Target: 4 * time.Second}
	passage  = rwurgency.Route{Priority: 2, Target: 10 * time.Second}
	scale    = rwurgency.NewScale([]rwurgency.Priority{{Value: 1, Set: true}}, []rwurgency.Route{pilot, passage})
	traffic  = rwadmit.Traffic{Instances: 10, Rate: 50}
	engine   = rwadmit.Engine{Slots: 12, Memory: 55_000, Rate: 5000}
	shortest = 4 * time.Second
)

func waiter(r rwurgency.Route, arrived, left time.Duration) *rwadmit.Waiter {
	at := start.Add(arrived)
	u := scale.Of(rwurgency.Priority{Value: 1, Set: true}, r, at.Add(left))
	return &rwadmit.Waiter{Urgency: u, Tokens: 6000, Bytes: 5000, ArrivedAt: at, OnTimeUntil: at.Add(r.Target - 2*time.Second), GoneAfter: at.Add(left - 8*time.Second)}
}

func TestOrder(t *testing.T) {
	var q rwadmit.Queue
	newcomer, back := waiter(passage, time.Second, 25*time.Second), waiter(passage, time.Second, 18*time.Second)
	urgent, late := waiter(pilot, 2*time.Second, 25*time.Second), waiter(passage, -9*time.Second, 25*time.Second)
	many := waiter(passage, 0, 12*time.Second)
	many.Organisation = "many"
	for _, w := range []*rwadmit.Waiter{late, many, newcomer, back, urgent} {
		require.True(t, q.Add(w))
	}
	busy := traffic
	busy.Excessive = func(o string) bool { return o == "many" }
	require.Equal(t, []*rwadmit.Waiter{urgent, back, newcomer, many, late}, q.Sort(busy, start.Add(2*time.Second)),
		"urgent ones, then who came back, newcomers, an organisation far above its usual part, and who can't be on time")
	require.Equal(t, []*rwadmit.Waiter{urgent, many, back, newcomer, late}, q.Sort(traffic, start.Add(2*time.Second)))
	q.Remove(urgent)
	q.Remove(urgent)
	require.Equal(t, 4, q.Len())
}

func TestWaitingIsBounded(t *testing.T) {
	t.Run("number", func(t *testing.T) {
		var q rwadmit.Queue
		for q.Add(waiter(passage, 0, 25*time.Second)) {
			require.LessOrEqual(t, q.Len(), 256)
		}
		require.Equal(t, 256, q.Len())
	})
	t.Run("bytes", func(t *testing.T) {
		var q rwadmit.Queue
		long := waiter(passage, 0, 25*time.Second)
		long.Bytes = 3 << 20
		require.True(t, q.Add(long))
		require.False(t, q.Add(&rwadmit.Waiter{Bytes: 2 << 20}))
		q.Remove(long)
		require.True(t, q.Add(&rwadmit.Waiter{Bytes: 2 << 20}))
	})
}

func TestWhoCannotBearTheWaitIsRefused(t *testing.T) {
	var q rwadmit.Queue
	for range 30 {
		q.Add(waiter(passage, 0, 25*time.Second))
	}
	w := waiter(passage, time.Second, 25*time.Second)
	wait := q.Wait(w, traffic, start.Add(time.Second))
	require.Equal(t, 6*time.Second, wait, "30 are ahead at each of 10 instances, and 50 a second go")
	require.True(t, w.Bears(wait, start.Add(time.Second)))
	require.False(t, w.Bears(wait, start.Add(4*time.Second)))
	require.True(t, w.Bears(wait, start.Add(10*time.Second)), "too late for its target, it may wait for what others leave")
	require.False(t, w.Bears(wait, start.Add(13*time.Second)), "its deadline leaves no time to finish")
	require.Zero(t, q.Wait(waiter(pilot, time.Second, 25*time.Second), traffic, start.Add(time.Second)), "urgent ones go first")
	require.Equal(t, 6*time.Second, w.RetryAfter(wait, start.Add(time.Second)))
	require.Equal(t, 5*time.Second, w.RetryAfter(wait, start.Add(6*time.Second)), "a quarter of what is left")
	require.Equal(t, time.Second, w.RetryAfter(0, start.Add(6*time.Second)))
}

func TestRoomIsLeftForMoreUrgentStreams(t *testing.T) {
	full := rwbackend.View{Committed: 40_000, Runs: 7}
	queued := rwbackend.View{Committed: 20_000, Runs: 2, Backlog: 6000}
	urgent, yielding := rwadmit.NewCeiling(engine, 0, 0, shortest), rwadmit.NewCeiling(engine, 1, 0, shortest)
	aged := rwadmit.NewCeiling(engine, 1, 1, shortest)
	for _, v := range []rwbackend.View{full, queued} {
		require.True(t, urgent.Fits(v, 6000))
		require.False(t, yielding.Fits(v, 6000))
		require.True(t, aged.Fits(v, 6000), "who has waited as long as it can yields nothing")
	}
	require.False(t, urgent.Fits(rwbackend.View{Runs: 12}, 6000))
	require.False(t, urgent.Fits(rwbackend.View{Committed: 50_000}, 6000))
	require.True(t, rwadmit.Ceiling{}.Fits(rwbackend.View{Committed: 60_000, Runs: 20}, 6000))
	lost := rwbackend.View{SilentSinceLoss: true}
	room := rwadmit.NewRoom([]rwbackend.View{full, queued, lost, {Suspect: true}, {Runs: 1}}, engine, yielding, 6000)
	require.Equal(t, 1, room.Streams)
	require.Equal(t, 3, room.Servers)
	require.InDelta(t, 60.0/165, room.Fill, 1e-9)
	require.True(t, room.Ample())
	require.False(t, rwadmit.Room{Servers: 9, Streams: 2}.Ample())
	require.False(t, rwadmit.Room{}.Ample())
}

func TestLessUrgentStreamsGoWithoutCopyFirst(t *testing.T) {
	require.True(t, rwadmit.Room{Fill: 0.7}.AllowsCopy(1))
	require.False(t, rwadmit.Room{Fill: 0.8}.AllowsCopy(1))
	require.True(t, rwadmit.Room{Fill: 0.9}.AllowsCopy(0))
}

func TestInstancesShareTheRoom(t *testing.T) {
	servers := make([]rwbackend.View, 20)
	rounds, gone := 1000, 0
	for n := range rounds {
		var q rwadmit.Queue
		for range 3 {
			q.Add(waiter(passage, 0, 25*time.Second))
		}
		next, refused := q.Round(servers, engine, rwadmit.Traffic{Instances: 70, Rate: 50}, float64(n)/float64(rounds), start)
		require.Empty(t, refused)
		gone += len(next)
	}
	require.InDelta(t, rounds*20/70, gone, 1)
	require.True(t, rwadmit.Excessive(0.5, 0.1))
	require.False(t, rwadmit.Excessive(0.5, 0.3))
}
