package rwnet

import (
	"context"
	"net"
	"time"

	"ragwortwall/internal/rwwire"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

const (
	poolAll    = 4096
	poolPeer   = 512
	poolExpiry = time.Minute
)

// Peers holds pooled connections to other instances. A drpc connection carries
// one call at a time, so each running stream has a connection of its own.
type Peers struct {
	network Network
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPeers returns an empty pool over a network.
func NewPeers(n Network) *Peers {
	return &Peers{
		network: n,
		pool:    drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Capacity: poolAll, KeyCapacity: poolPeer, Expiration: poolExpiry}),
	}
}

// Instance returns the client of the instance at an address.
func (p *Peers) Instance(address string) rwwire.DRPCInstanceClient {
	return rwwire.NewDRPCInstanceClient(p.pool.Get(context.Background(), address, p.dial))
}

func (p *Peers) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(conn), nil
}

// Close closes all idle connections.
func (p *Peers) Close() error { return p.pool.Close() }

// Serve answers the calls of other instances until ctx ends.
func Serve(ctx context.Context, l net.Listener, server rwwire.DRPCInstanceServer) error {
	mux := drpcmux.New()
	if err := rwwire.DRPCRegisterInstance(mux, server); err != nil {
		return err
	}
	return drpcserver.New(drpc.Handler(mux)).Serve(ctx, l)
}
