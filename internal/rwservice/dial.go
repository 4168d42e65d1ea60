package rwservice

import (
	"context"
	"net"
	"time"

	"ragwortwall/internal/rwtime"

	"github.com/juju/errors"
)

const dialRetryInterval = 50 * time.Millisecond

// dial connects to a server. One that neither accepts nor refuses a connection may only be
// silent for a while: if the route has no other server for the call, it tries again until
// ctx ends or the caller has left.
func (c *call) dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		raw, err := c.proxy.Dial(ctx, address)
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return raw, err
		}
		if !rwtime.Sleep(ctx, dialRetryInterval) || c.request.Context().Err() != nil || len(c.serversByLoad()) > 0 {
			return nil, err
		}
	}
}
