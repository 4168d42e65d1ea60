package rwsoak

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwpeer"
	"ragwortwall/platform"
)

// relay carries datagrams to a target.
type relay struct {
	address string
	conn    net.PacketConn
	target  net.Addr
	mode    atomic.Int32 // a Mode
}

func newRelay(target string) (*relay, error) {
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{address: conn.LocalAddr().String(), conn: conn, target: to}
	go r.run()
	return r, nil
}

func (r *relay) run() {
	const datagramMost = 64 << 10 // bytes
	buffer := make([]byte, datagramMost)
	for {
		n, _, err := r.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		content := append([]byte(nil), buffer[:n]...)
		// A datagram that can't be sent is lost, as on any network.
		send := func() { _, _ = r.conn.WriteTo(content, r.target) }
		switch Mode(r.mode.Load()) {
		case ModeSound:
			send()
		case ModeDelay:
			time.AfterFunc(linkDelay, send)
		default: // lost
		}
	}
}

// peerLinks are the links from the other instances to one.
type peerLinks struct {
	calls   *Proxy
	notices *relay
}

func newPeerLinks(i *instance) (*peerLinks, error) {
	calls, err := NewProxy(i.Control)
	if err != nil {
		return nil, err
	}
	notices, err := newRelay(i.Datagrams)
	if err != nil {
		return nil, err
	}
	return &peerLinks{calls, notices}, nil
}

func (l *peerLinks) set(mode Mode) {
	l.calls.Set(mode)
	l.notices.mode.Store(int32(mode)) //nolint:gosec // a handful of modes
}

func (l *peerLinks) close() {
	l.calls.Close()
	_ = l.notices.conn.Close()
}

// relist has the others reach an instance by its links.
func (s *Soak) relist(kind, name string, spec json.RawMessage) json.RawMessage {
	var m rwpeer.Member
	if kind != platform.Instances(nil).Name || json.Unmarshal(spec, &m) != nil {
		return spec
	}
	for _, i := range s.instances {
		if i.Name == name {
			m.PeerAddress, m.NoticeAddress = i.peers.calls.Address, i.peers.notices.address
		}
	}
	if changed, err := json.Marshal(m); err == nil {
		return changed
	}
	return spec
}

func peerLink(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, at int) func() {
		l := s.instances[at%len(s.instances)].peers
		l.set(mode)
		return func() { l.set(ModeSound) }
	}
}
