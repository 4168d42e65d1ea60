package rwnet

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts what passes over a network.
type Traffic struct {
	Sent     atomic.Int64 // bytes
	Received atomic.Int64 // bytes
	Dials    atomic.Int64
	Writes   atomic.Int64
}

// Counted is a network whose traffic is counted.
type Counted struct {
	Network Network
	Traffic *Traffic
}

// Dial opens a connection.
func (c Counted) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.Traffic.Dials.Add(1)
	return countedConn{Conn: conn, traffic: c.Traffic}, nil
}

// Listen accepts connections.
func (c Counted) Listen(address string) (net.Listener, error) {
	l, err := c.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return countedListener{Listener: l, traffic: c.Traffic}, nil
}

type countedListener struct {
	net.Listener

	traffic *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn

	traffic *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	c.traffic.Writes.Add(1)
	return n, err
}
