package rwsoak

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwpeer"
	"ragwortwall/platform"
)

// udpRelay forwards datagrams to a target and injects network faults.
type udpRelay struct {
	address string // at which the relay receives
	conn    net.PacketConn
	target  net.Addr
	mode    atomic.Int32 // holds a Mode
}

func newUDPRelay(target string) (*udpRelay, error) {
	address, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &udpRelay{address: conn.LocalAddr().String(), conn: conn, target: address}
	go r.run()
	return r, nil
}

// run forwards datagrams until conn is closed. In modes other than ModeNormal and
// ModeDelay all datagrams are lost.
func (r *udpRelay) run() {
	const maxDatagramBytes = 64 << 10
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := r.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		content := append([]byte(nil), buffer[:n]...)
		// A datagram that can't be sent is lost, as UDP allows.
		send := func() { _, _ = r.conn.WriteTo(content, r.target) }
		switch Mode(r.mode.Load()) {
		case ModeNormal:
			send()
		case ModeDelay:
			time.AfterFunc(proxyDelay, send)
		default: // the datagram is lost
		}
	}
}

// peerProxyPair holds the proxies through which the other instances reach an instance:
// one for its control connections, one for its notices, and one at the same port for the
// connections that it relays.
type peerProxyPair struct {
	control *Proxy
	notices *udpRelay
	relayed *Proxy
}

func newPeerProxyPair(i *instance) (*peerProxyPair, error) {
	control, err := NewProxy(i.ControlAddress)
	if err != nil {
		return nil, err
	}
	const attempts = 20 // the port may be in use for TCP
	for range attempts {
		var notices *udpRelay
		if notices, err = newUDPRelay(i.NoticeAddress); err != nil {
			return nil, err
		}
		var relayed *Proxy
		if relayed, err = newProxyAt(notices.address, i.NoticeAddress); err == nil {
			return &peerProxyPair{control, notices, relayed}, nil
		}
		_ = notices.conn.Close()
	}
	return nil, err
}

func (p *peerProxyPair) setMode(mode Mode) {
	p.control.SetMode(mode)
	p.relayed.SetMode(mode)
	p.notices.mode.Store(int32(mode)) //nolint:gosec // the modes are small numbers
}

func (p *peerProxyPair) close() {
	p.control.Close()
	p.relayed.Close()
	_ = p.notices.conn.Close()
}

// rewriteMember replaces the peer addresses of an instance in its stored entry
// with those of its proxies. Other objects are returned unchanged.
func (s *Soak) rewriteMember(kind, name string, spec json.RawMessage) json.RawMessage {
	var m rwpeer.Member
	if kind != platform.Instances(nil).Kind || json.Unmarshal(spec, &m) != nil {
		return spec
	}
	for _, i := range append(s.visitors.list(), s.instances...) {
		if i.Name == name {
			m.PeerAddress, m.NoticeAddress = i.peerProxies.control.Address, i.peerProxies.notices.address
		}
	}
	if changed, err := json.Marshal(m); err == nil {
		return changed
	}
	return spec
}

// peerProxyFault returns the inject function of a network fault between an instance and
// the other instances that contact it.
func peerProxyFault(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, index int) func() {
		proxies := s.instances[index%len(s.instances)].peerProxies
		proxies.setMode(mode)
		return func() { proxies.setMode(ModeNormal) }
	}
}
