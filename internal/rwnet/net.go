// Package rwnet is how a process reaches others: an interface that TCP and the
// tests' in-memory network both meet, and pooled drpc connections on top.
package rwnet

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Network opens and accepts connections.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

const (
	dialTimeout    = 700 * time.Millisecond
	keepAlive      = 5 * time.Second
	idlePerServer  = 256
	idleConnection = 30 * time.Second
)

// TCP is the network of the machine.
type TCP struct{}

// Dial opens a TCP connection to an IP number and port.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen accepts TCP connections.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// TLS wraps a network in mutual TLS between instances.
type TLS struct {
	Network Network
	Config  *tls.Config
}

// Dial opens a connection and checks the peer's certificate.
func (t TLS) Dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := t.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	config := t.Config.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address)
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// Listen accepts connections of peers that show a certificate.
func (t TLS) Listen(address string) (net.Listener, error) {
	l, err := t.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, t.Config), nil
}

// HTTPClient returns a client over a network. It follows no redirects, takes no
// proxy from the environment and has no time limit of its own. The caller sees
// to it that no request has a body that net/http could send again.
func HTTPClient(n Network) *http.Client {
	return &http.Client{Transport: transport(n), CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func transport(n Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleConnection,
	}
}
