// Package rwnet holds the network of a process: an interface that TCP and the
// in-memory network of the tests both implement, TLS and traffic counters around it,
// and HTTP clients and pooled drpc connections on top of it.
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
	dialTimeout         = 700 * time.Millisecond
	keepAliveInterval   = 5 * time.Second
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 30 * time.Second
	maxHeaderBytes      = 64 << 10 // of a response
)

// TCP is the TCP network of the host.
type TCP struct{}

// Dial opens a TCP connection to an IP address and port. It gives up after 700 ms.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen returns a listener for TCP connections on an IP address and port.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// TLS wraps a network in mutual TLS, for connections between instances.
type TLS struct {
	Network Network
	Config  *tls.Config
}

// Dial opens a connection and verifies that the peer's certificate is valid for the
// host in address. It returns the error of the wrapped network or of the handshake.
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

// Listen returns a listener for TLS connections, which verifies client certificates
// as Config requires. It returns the error of the wrapped network.
func (t TLS) Listen(address string) (net.Listener, error) {
	l, err := t.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, t.Config), nil
}

// HTTPClient returns an HTTP client that dials over a network. The client doesn't
// follow redirects, ignores proxy settings of the environment and has no timeout.
// Callers must ensure that no request has a body that net/http could send again.
func HTTPClient(n Network) *http.Client {
	return &http.Client{Transport: newTransport(n), CheckRedirect: noRedirect}
}

// UnpooledHTTPClient returns a client like HTTPClient that opens a connection for each
// request, so that what a server still sends for an earlier one can't be taken for its
// response.
func UnpooledHTTPClient(n Network) *http.Client {
	transport := newTransport(n)
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport(n Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
	}
}
