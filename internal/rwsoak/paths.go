package rwsoak

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync"
	"time"

	"ragwortwall/internal/rwloopback"
	"ragwortwall/platform/standin"

	"github.com/juju/errors"
)

// serverPaths are the paths of one instance to the servers: a proxy for each, whose address the
// instance gets from its view of the store.
type serverPaths struct {
	storeView *httptest.Server

	mu      sync.Mutex
	mode    Mode
	proxies map[string]*Proxy // by the server's public address
}

// serverAddress matches the address in the entry of a server.
var serverAddress = regexp.MustCompile(`"address":"([0-9.:]+)"`)

// newServerPaths starts the paths of an instance.
func newServerPaths(store http.Handler) *serverPaths {
	p := &serverPaths{proxies: map[string]*Proxy{}}
	p.storeView = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(p.rewrite(answer.Body.Bytes())) // the instance may have left
	}))
	return p
}

// rewrite replaces the addresses of servers by those of the proxies.
func (p *serverPaths) rewrite(body []byte) []byte {
	return serverAddress.ReplaceAllFunc(body, func(match []byte) []byte {
		public := string(serverAddress.FindSubmatch(match)[1])
		address, err := p.addressFor(public)
		if err != nil {
			return match
		}
		return bytes.Replace(match, []byte(public), []byte(address), 1)
	})
}

func (p *serverPaths) addressFor(public string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy, ok := p.proxies[public]
	if !ok {
		var err error
		// The address must be there again after connections were refused.
		if proxy, err = newProxyAt(rwloopback.Address(), public); err != nil {
			return "", err
		}
		proxy.SetMode(p.mode)
		p.proxies[public] = proxy
	}
	return proxy.Address, nil
}

// publicAddress returns the public address of the server behind a proxy.
func (p *serverPaths) publicAddress(address string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for public, proxy := range p.proxies {
		if proxy.Address == address {
			return public, true
		}
	}
	return "", false
}

func (p *serverPaths) setMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for _, proxy := range p.proxies {
		proxy.SetMode(mode)
	}
}

func (p *serverPaths) close() {
	p.storeView.CloseClientConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.proxies {
		proxy.Close()
	}
}

// resolveAddress returns the address under which the servers know each other.
func (s *Soak) resolveAddress(address string) string {
	for _, i := range s.instances {
		if public, ok := i.serverPaths.publicAddress(address); ok {
			return public
		}
	}
	return address
}

// Terms of the users' rule on instances that lost their paths to all servers.
const (
	pathContactTime = 3 * time.Second // from the beginning of a cut until it holds
	pathExtra       = 10              // requests that may fail besides a third
	pathFaultTime   = 5 * time.Second
	pathResetTime   = 300 * time.Millisecond // for which plain requests on reset connections are excused
)

// pathFaults cut instances from all servers. All that is sent on connections that live on
// arrives.
var pathFaults = []fault{
	{name: "paths-reset", target: "paths", duration: pathFaultTime, inject: pathFault(ModeRefuse, 1)},
	{name: "paths-refused", target: "paths", duration: pathFaultTime, inject: pathFault(ModeRefuseNew, 1)},
	{name: "paths-reset-half", target: "paths", duration: pathFaultTime, inject: pathFault(ModeRefuse, 2)},
	{name: "paths-store", target: "paths", inject: func(s *Soak, index int) func() {
		i := s.instances[index%len(s.instances)]
		i.storeProxy.SetMode(ModeSilent)
		s.resetPaths([]*instance{i}, ModeRefuse)
		return func() {
			i.storeProxy.SetMode(ModeNormal)
			s.resetPaths([]*instance{i}, ModeNormal)
		}
	}},
}

// resetPaths changes the mode of the instances' paths, which resets their connections.
func (s *Soak) resetPaths(instances []*instance, mode Mode) {
	var names []string
	for _, i := range instances {
		names = append(names, i.Name)
	}
	time.AfterFunc(pathResetTime, s.interrupt(names...))
	for _, i := range instances {
		i.serverPaths.setMode(mode)
	}
}

// pathFault cuts the instances of a zone, or with part 2 every second one, from all servers, and
// checks how their callers are served from pathContactTime on.
func pathFault(mode Mode, part int) func(*Soak, int) func() {
	return func(s *Soak, index int) func() {
		var cut []*instance
		for n, i := range s.instances {
			if part == 2 && (n+index)%2 == 0 || part == 1 && n%zones == index%zones {
				cut = append(cut, i)
			}
		}
		s.resetPaths(cut, mode)
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			s.checkPathOrders(cut, stop)
		}()
		return func() {
			close(stop)
			<-ended
			s.resetPaths(cut, ModeNormal)
		}
	}
}

// checkPathOrders sends orders to instances that are cut from the servers until stop is closed,
// and checks that enough are served. Without PlannedOnly other faults may have a part in it.
func (s *Soak) checkPathOrders(cut []*instance, stop <-chan struct{}) {
	select {
	case <-stop:
		return
	case <-time.After(pathContactTime):
	}
	sent, served := 0, 0
	for n := 0; ; n++ {
		i := cut[n%len(cut)]
		c := standin.NewCaller(standin.Key, func() string { return i.CallerAddress })
		begun := time.Now()
		id, status, err := c.Order(s.ctx)
		if err != nil {
			s.addViolation("%v", err)
		}
		select {
		case <-stop:
			if s.PlannedOnly && 3*served < 2*sent && sent-served > pathExtra {
				s.addViolation("instances that lost their paths to the servers served %d of %d orders at the first attempt", served, sent)
			}
			return
		case <-time.After(standin.RetryInterval / 2):
		}
		s.mu.Lock()
		s.recordOrderLocked(id, status)
		if !s.interrupted([]string{i.Name}, begun, time.Now()) {
			sent++
			if status == http.StatusOK {
				served++
			}
		}
		s.mu.Unlock()
	}
}

// relisten makes a proxy accept connections again at its address, which another process may
// have taken for a moment.
func relisten(address string) (net.Listener, error) {
	const attempts = 50
	var err error
	for range attempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, errors.Annotatef(err, "proxy %s", address)
}
