package rwpath

import (
	"context"
	"net"
	"time"

	"ragwortwall/internal/rwlink"
)

// Dialer connects to backend servers. Set the exported fields before first use. A nil Dialer
// opens TCP connections.
type Dialer struct {
	Direct rwlink.DialFunc // nil for TCP
}

// Dial connects to the server at an address.
func (d *Dialer) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return d.direct(ctx, address, timeout)
}

func (d *Dialer) direct(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if d != nil && d.Direct != nil {
		return d.Direct(ctx, address, timeout)
	}
	return rwlink.DialTCP(ctx, address, timeout)
}
