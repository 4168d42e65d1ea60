package rwpath

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Server is a listed backend server.
type Server struct {
	ID, Service, Zone, Address string
}

// Helper is another instance that may relay connections.
type Helper struct {
	Zone    string // availability zone
	Address string // of its relay
}

// Dialer connects to backend servers. Set the exported fields before first use. A nil Dialer
// opens TCP connections.
type Dialer struct {
	Direct  rwlink.DialFunc                       // nil for TCP
	Locate  func(address string) (Server, bool)   // returns the listed server at an address; nil for none
	Servers func(service string) []Server         // lists the servers of a service
	Helpers func() []Helper                       // lists the other instances, the preferred ones first
	Broken  func(service string, since time.Time) // called when the path to a service is found broken; failures since a time say nothing about its servers
	Count   func(name string)                     // counts an event
	Log     logr.Logger

	mu       sync.Mutex
	paths    map[string]*path     // by service
	unfit    map[string]time.Time // until when helpers are not asked, by address
	recovery chan struct{}        // wakes Run; made on demand
}

// path is what is known of the direct path to the servers of a service.
type path struct {
	unreached map[string]failure // servers not reached since the last direct connection, by id
	since     time.Time          // of the first of these failures
	broken    bool
	brokenAt  time.Time
	told      chan struct{} // closed when Broken has returned
	next      int           // index of the server that is tried next for recovery
	reached   int           // direct connections in a row since it was broken
	asking    chan struct{} // closed when the question to other instances ends; nil if there is none
	askedAt   time.Time     // end of the last one
}

// failure is a server that was not reached.
type failure struct {
	zone      string
	askedAt   time.Time // when another instance was last asked for it
	confirmed bool      // others did not reach it either, when asked
}

// Timing of doubts about a path.
const (
	// doubtTTL is how long a failure to reach a server counts.
	doubtTTL = 3 * time.Second
	// askInterval is the shortest time between two questions to other instances about one
	// server. It bounds them while servers are down.
	askInterval = 500 * time.Millisecond
	// questionInterval is the pause between two questions about one service.
	questionInterval = 50 * time.Millisecond
	// recoveryInterval is the time between two direct connections over a broken path.
	recoveryInterval = 250 * time.Millisecond
	// recoveryTimeout limits such a connection.
	recoveryTimeout = 200 * time.Millisecond
	// recoveredConns is how many direct connections in a row end a broken path.
	recoveredConns = 2
)

// relayedConn is a connection through another instance.
type relayedConn struct {
	*net.TCPConn

	endsCleanly bool // its relay ends it with a reset unless the server has ended its own
}

// Relayed marks the connection as relayed, see rwlink.Conn.
func (*relayedConn) Relayed() bool { return true }

// EndsCleanly reports whether the end of the connection is that of the server's, see rwlink.Conn.
// Otherwise the relay may have been killed.
func (c *relayedConn) EndsCleanly() bool { return c.endsCleanly }

// Dial connects to the server at an address. timeout applies to the direct connection. The
// cause of an error is ErrServerUnreached if other instances don't reach the server either.
func (d *Dialer) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	server, known := d.locate(address)
	if known && d.IsBroken(server.Service) {
		c, err := d.dialRelayed(ctx, server)
		if err == nil || !errors.Is(err, errNoHelper) {
			return c, err
		}
	}
	c, err := d.direct(ctx, address, timeout)
	if !known {
		return c, err
	}
	if err == nil {
		d.recordReached(server.Service)
		return c, nil
	}
	if ctx.Err() != nil || !d.recordUnreached(server) {
		return nil, err
	}
	asked, begun, confirmed := d.beginQuestion(server)
	switch {
	case confirmed:
		return nil, fmt.Errorf("%w: %w", ErrServerUnreached, err)
	case asked != nil:
		// Another connection is finding out whether the path is broken.
		select {
		case <-asked:
		case <-ctx.Done():
		}
		if d.IsBroken(server.Service) {
			return d.dialRelayed(ctx, server)
		}
		return nil, err
	case !begun:
		return nil, err
	}
	defer d.endQuestion(server.Service)
	relayed, askErr := d.dialRelayed(ctx, server)
	if askErr != nil {
		d.Log.Info("path to a server in doubt", "server", server.ID, "service", server.Service, "cause", err.Error(), "asked", askErr.Error())
		if errors.Is(askErr, ErrServerUnreached) {
			d.confirm(server)
			return nil, fmt.Errorf("%w: %w", ErrServerUnreached, err)
		}
		return nil, err
	}
	d.markBroken(server)
	return relayed, nil
}

// maxVerified limits the servers that Verify connects to.
const maxVerified = 3

// Verify finds out whether the path to a service is broken, by connections to servers in
// different zones until one succeeds. timeout applies to each direct one. If it is broken, Broken
// has returned when Verify does.
func (d *Dialer) Verify(ctx context.Context, service string, timeout time.Duration) {
	if d == nil || d.awaitBroken(ctx, service) {
		return
	}
	defer d.awaitBroken(ctx, service)
	zones := map[string]bool{}
	for _, s := range d.servers(service) {
		if zones[s.Zone] || len(zones) == maxVerified {
			continue
		}
		zones[s.Zone] = true
		if c, err := d.Dial(ctx, s.Address, timeout); err == nil {
			_ = c.Close()
			return
		}
	}
}

// awaitBroken reports whether the path to a service is broken, and waits until Broken has
// returned.
func (d *Dialer) awaitBroken(ctx context.Context, service string) bool {
	d.mu.Lock()
	p := d.pathLocked(service)
	broken, told := p.broken, p.told
	d.mu.Unlock()
	if !broken {
		return false
	}
	select {
	case <-told:
	case <-ctx.Done():
	}
	return true
}

// Reach is whether a server accepts connections.
type Reach int

// The reaches of a server.
const (
	ReachUnknown   Reach = iota // it is not reached from here, and nobody can tell whether it is the server
	ReachAccepts                // from here or from another instance
	ReachUnreached              // neither from here nor from others
	ReachSilent                 // the attempt from here timed out: its machine is gone, or this process is short of time
)

// Check finds out whether a server accepts connections. timeout applies to the direct one.
func (d *Dialer) Check(ctx context.Context, address string, timeout time.Duration) Reach {
	accepted, answered := rwlink.TryConnect(ctx, d.direct, address, timeout)
	if accepted {
		return ReachAccepts
	}
	unreached := ReachUnreached
	if !answered {
		unreached = ReachSilent
	}
	server, known := d.locate(address)
	if !known {
		return unreached
	}
	c, err := d.dialRelayed(ctx, server)
	switch {
	case err == nil:
		_ = c.Close()
		return ReachAccepts
	case errors.Is(err, ErrServerUnreached):
		return ReachUnreached
	case !d.InDoubt(server.Service):
		return unreached
	}
	return ReachUnknown
}

// IsBroken reports whether the direct path to a service is broken.
func (d *Dialer) IsBroken(service string) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.paths[service]
	return p != nil && p.broken
}

// InDoubt reports whether a failure to reach a server of a service may be one of the path: it
// is broken, or servers in several zones could not be reached in a row.
func (d *Dialer) InDoubt(service string) bool {
	if d == nil {
		return false
	}
	servers := d.servers(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.paths[service]
	return p != nil && (p.broken || p.inDoubt(servers))
}

// BrokenServices returns the services whose direct path is broken.
func (d *Dialer) BrokenServices() []string {
	var services []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, p := range d.paths {
		if p.broken {
			services = append(services, service)
		}
	}
	return services
}

func (d *Dialer) direct(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if d != nil && d.Direct != nil {
		return d.Direct(ctx, address, timeout)
	}
	return rwlink.DialTCP(ctx, address, timeout)
}

func (d *Dialer) locate(address string) (Server, bool) {
	if d == nil || d.Locate == nil {
		return Server{}, false
	}
	return d.Locate(address)
}

func (d *Dialer) servers(service string) []Server {
	if d.Servers == nil {
		return nil
	}
	return d.Servers(service)
}

func (d *Dialer) count(name string) {
	if d.Count != nil {
		d.Count(name)
	}
}

// pathLocked returns the path to a service.
func (d *Dialer) pathLocked(service string) *path {
	if d.paths == nil {
		d.paths = map[string]*path{}
	}
	p, ok := d.paths[service]
	if !ok {
		p = &path{unreached: map[string]failure{}}
		d.paths[service] = p
	}
	return p
}

func (d *Dialer) recordReached(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.paths[service]; p != nil && !p.broken {
		clear(p.unreached)
	}
}

// recordUnreached records that a server could not be reached directly. It reports whether
// the path is in doubt.
func (d *Dialer) recordUnreached(server Server) bool {
	servers := d.servers(server.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pathLocked(server.Service)
	if len(p.unreached) == 0 || time.Since(p.since) > doubtTTL {
		clear(p.unreached)
		p.since = time.Now()
	}
	f := p.unreached[server.ID]
	f.zone = server.Zone
	p.unreached[server.ID] = f
	return p.broken || p.inDoubt(servers)
}

// inDoubt reports whether servers in several zones, or all servers, were not reached in a row.
func (p *path) inDoubt(servers []Server) bool {
	if len(p.unreached) == 0 || time.Since(p.since) > doubtTTL {
		return false
	}
	first := ""
	for _, f := range p.unreached {
		if first == "" {
			first = f.zone
		}
		if f.zone != first {
			return true
		}
	}
	for _, s := range servers {
		if _, failed := p.unreached[s.ID]; !failed {
			return false
		}
	}
	return true
}

// beginQuestion begins a question to other instances about a server. confirmed reports that they
// have just said that they don't reach it. Otherwise asked is closed when the question about
// the same service ends that is already under way, if there is one. If it is nil the caller
// asks, unless begun is false: the last question is too recent.
func (d *Dialer) beginQuestion(server Server) (asked <-chan struct{}, begun, confirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pathLocked(server.Service)
	f := p.unreached[server.ID]
	recent := time.Since(f.askedAt) < askInterval
	switch {
	case recent && f.confirmed:
		return nil, false, true
	case p.asking != nil:
		return p.asking, false, false
	case recent || time.Since(p.askedAt) < questionInterval:
		return nil, false, false
	}
	p.asking = make(chan struct{})
	p.unreached[server.ID] = failure{zone: server.Zone, askedAt: time.Now()}
	return nil, true, false
}

func (d *Dialer) endQuestion(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pathLocked(service)
	close(p.asking)
	p.asking, p.askedAt = nil, time.Now()
}

// confirm records that others did not reach a server either.
func (d *Dialer) confirm(server Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.pathLocked(server.Service).unreached[server.ID]; ok {
		f.confirmed = true
		d.paths[server.Service].unreached[server.ID] = f
	}
}

// markBroken records that another instance reaches a server that this one does not.
func (d *Dialer) markBroken(server Server) {
	d.mu.Lock()
	p := d.pathLocked(server.Service)
	if p.broken {
		d.mu.Unlock()
		return
	}
	p.broken, p.brokenAt, p.reached = true, time.Now(), 0
	told := make(chan struct{})
	p.told = told
	since, unreached := p.since, len(p.unreached)
	recovery := d.recoveryLocked()
	d.mu.Unlock()
	d.count("paths_broken")
	d.Log.Info("path to a service is broken; connecting through other instances", "service", server.Service, "server", server.ID,
		"unreached", unreached, "after", time.Since(since).Seconds())
	if d.Broken != nil {
		d.Broken(server.Service, since)
	}
	close(told)
	select {
	case recovery <- struct{}{}:
	default:
	}
}

func (d *Dialer) recoveryLocked() chan struct{} {
	if d.recovery == nil {
		d.recovery = make(chan struct{}, 1)
	}
	return d.recovery
}

// Run finds out when broken paths are back, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	d.mu.Lock()
	recovery := d.recoveryLocked()
	d.mu.Unlock()
	for ctx.Err() == nil {
		services := d.BrokenServices()
		if len(services) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-recovery:
				continue
			}
		}
		if !rwtime.Sleep(ctx, recoveryInterval) {
			return
		}
		var tries sync.WaitGroup
		for _, service := range services {
			tries.Go(func() { d.tryRecovery(ctx, service) })
		}
		tries.Wait()
	}
}

// tryRecovery connects to one server of a service directly, another one each time.
func (d *Dialer) tryRecovery(ctx context.Context, service string) {
	servers := d.servers(service)
	d.mu.Lock()
	p := d.pathLocked(service)
	p.next++
	next, brokenAt := p.next, p.brokenAt
	d.mu.Unlock()
	accepted := len(servers) == 0 // without servers there is no path to judge
	if len(servers) > 0 {
		accepted, _ = rwlink.TryConnect(ctx, d.direct, servers[next%len(servers)].Address, recoveryTimeout)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !accepted {
		p.reached = 0
		return
	}
	if p.reached++; p.reached < recoveredConns && len(servers) > 0 {
		return
	}
	p.broken = false
	clear(p.unreached)
	d.Log.Info("path to a service is back", "service", service, "after", time.Since(brokenAt).Seconds())
}

var errNoHelper = rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After", "no other instance relays connections")
