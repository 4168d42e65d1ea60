package rwnet

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the traffic of a network: bytes, dials that succeeded and writes.
type Traffic struct {
	Sent     atomic.Int64 // bytes
	Received atomic.Int64 // bytes
	Dials    atomic.Int64
	Writes   atomic.Int64
}

// CountingNetwork wraps a network and counts its traffic.
type CountingNetwork struct {
	Network Network
	Traffic *Traffic
}

// Dial opens a connection whose traffic is counted. It returns the error of the
// wrapped network.
func (c CountingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.Traffic.Dials.Add(1)
	return countingConn{Conn: conn, traffic: c.Traffic}, nil
}

// Listen returns a listener whose connections' traffic is counted. It returns the
// error of the wrapped network.
func (c CountingNetwork) Listen(address string) (net.Listener, error) {
	l, err := c.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return countingListener{Listener: l, traffic: c.Traffic}, nil
}

type countingListener struct {
	net.Listener

	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}

type countingConn struct {
	net.Conn

	traffic *Traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	c.traffic.Writes.Add(1)
	return n, err
}
