package rwnet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"
)

// TestFrames guards against messages that are charged after they have ended, or not at all.
func TestFrames(t *testing.T) {
	data := make([]byte, 1000)
	first := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: data, ID: drpcwire.ID{Stream: 300, Message: 1}, Kind: drpcwire.KindMessage})
	last := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: data, ID: drpcwire.ID{Stream: 300, Message: 1}, Kind: drpcwire.KindMessage, Done: true})
	empty := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 301, Message: 1}, Kind: drpcwire.KindClose, Done: true})
	all := append(append(append([]byte{}, first...), last...), empty...)
	for _, step := range []int{1, 7, len(all)} {
		var f frames
		var most int64
		for at := 0; at < len(all); at += step {
			f.add(all[at:min(at+step, len(all))])
			most = max(most, f.pending)
		}
		require.Zero(t, f.pending)
		if step < len(all) {
			require.GreaterOrEqual(t, most, int64(1990))
		}
	}
	var f frames
	f.add(first)
	require.Equal(t, int64(1000), f.pending)
}
