package rwfeed

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// waitRecorder is a peer without contents that records the wait that followers ask for.
type waitRecorder chan int64

func (r waitRecorder) HandleRPC(stream drpc.Stream, _ string) error {
	var request FollowRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	select {
	case r <- request.WaitMillis:
	default:
	}
	return send(stream, &FollowResponse{})
}

// TestNoWait checks that a watcher that can't reach the store asks peers to answer at
// once: a peer that has nothing newer would otherwise answer only after the full wait.
func TestNoWait(t *testing.T) {
	for name, c := range map[string]struct {
		noWait func() bool
		want   int64
	}{
		"store unreachable": {func() bool { return true }, 0},
		"store reachable":   {func() bool { return false }, Recency{}.PollWait().Milliseconds()},
		"not a watcher":     {nil, Recency{}.PollWait().Milliseconds()},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			peer := make(waitRecorder, 1)
			go func() { _ = drpcserver.New(peer).Serve(t.Context(), listener) }()
			cache := &Cache{Kind: "k", Apply: func(Batch) {}, Log: logr.Discard()}
			cache.Update(Batch{Revision: 1}, 1)
			f := &Follower{Caches: []*Cache{cache}, NoWait: c.noWait, Peers: func() []string { return []string{listener.Addr().String()} }, Log: logr.Discard()}
			go f.Run(t.Context())
			select {
			case wait := <-peer:
				require.Equal(t, c.want, wait)
			case <-time.After(30 * time.Second):
				require.Fail(t, "the peer received no request")
			}
		})
	}
}
