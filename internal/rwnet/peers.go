package rwnet

import (
	"context"
	"net"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwwire"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

const (
	maxPooledConns        = 4096
	maxPooledConnsPerPeer = 512
	pooledConnIdleTimeout = time.Minute
)

// PeerPool is a pool of drpc connections to other instances. A drpc connection carries
// one call at a time, so each open stream occupies a connection.
type PeerPool struct {
	network Network
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPeerPool returns an empty pool that dials over a network.
func NewPeerPool(n Network) *PeerPool {
	return &PeerPool{
		network: n,
		pool:    drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Capacity: maxPooledConns, KeyCapacity: maxPooledConnsPerPeer, Expiration: pooledConnIdleTimeout}),
	}
}

// InstanceClient returns a client for the instance at an address. The client dials when
// it makes a call and the pool has no idle connection.
func (p *PeerPool) InstanceClient(address string) rwwire.DRPCInstanceClient {
	return rwwire.NewDRPCInstanceClient(p.pool.Get(context.Background(), address, p.dial))
}

func (p *PeerPool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(conn), nil
}

// Close closes all idle connections and returns their errors.
func (p *PeerPool) Close() error { return p.pool.Close() }

// Bounds are what other instances, or whoever else connects, may take of this one.
type Bounds struct {
	MaxConns int               // zero for no limit
	Memory   *rwaccount.Memory // for messages that aren't whole; nil for no limit
	Count    func()            // called for each connection that is closed for a bound
}

// Serve passes the calls of other instances on l to server until ctx ends. It returns
// an error when the server can't be registered or l fails.
func Serve(ctx context.Context, l net.Listener, server rwwire.DRPCInstanceServer, bounds Bounds) error {
	mux := drpcmux.New()
	if err := rwwire.DRPCRegisterInstance(mux, server); err != nil {
		return err
	}
	bounded := &rwaccount.Listener{Listener: l, Max: bounds.MaxConns, Count: bounds.Count}
	return drpcserver.New(drpc.Handler(mux)).Serve(ctx, messageListener{bounded, bounds.Memory, bounds.Count})
}
