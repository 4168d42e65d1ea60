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

// asked is a peer that knows nothing and notes how long it was asked to wait.
type asked chan int64

func (a asked) HandleRPC(stream drpc.Stream, _ string) error {
	var ask Ask
	if err := stream.MsgRecv(&ask, encoding{}); err != nil {
		return err
	}
	select {
	case a <- ask.Wait:
	default:
	}
	return send(stream, &Answer{})
}

// TestHurry: a peer that knows no more would answer only after the wait that it was
// asked for, so that a watcher which has lost the store asks for none.
func TestHurry(t *testing.T) {
	for name, c := range map[string]struct {
		hurry func() bool
		want  int64
	}{
		"lost the store": {func() bool { return true }, 0},
		"sound":          {func() bool { return false }, followWait.Milliseconds()},
		"a follower":     {nil, followWait.Milliseconds()},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			peer := make(asked, 1)
			go func() { _ = drpcserver.New(peer).Serve(t.Context(), listener) }()
			held := &Held{Kind: "k", Apply: func(Batch) {}, Log: logr.Discard()}
			held.Offer(Batch{Revision: 1}, 1)
			f := &Follower{Held: []*Held{held}, Hurry: c.hurry, Peers: func() []string { return []string{listener.Addr().String()} }, Log: logr.Discard()}
			go f.Run(t.Context())
			select {
			case wait := <-peer:
				require.Equal(t, c.want, wait)
			case <-time.After(30 * time.Second):
				require.Fail(t, "the peer was not asked")
			}
		})
	}
}
