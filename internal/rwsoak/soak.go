package rwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ragwortwall/platform/standin"

	"github.com/juju/errors"
)

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	Program   string // the instance's program
	Logs      string // folder for the run's logs
	Seed      uint64
	Length    time.Duration // of the faults
	Instances int
	Models    int // servers in each zone

	store     standin.Store
	fleet     standin.Fleet
	models    standin.Group
	orders    standin.Group
	instances []*instance
	links     map[string]*Proxy // to servers, by address
	report    Report
	mu        sync.Mutex
	notRun    map[string]bool // orders of which the caller was told that they did not run
	asked     []string
	revoked   atomic.Int64 // when the second key was taken away, in Unix milliseconds
	turn      atomic.Uint64
}

// Report is what a run brought.
type Report struct {
	Seed       uint64   `json:"seed"`
	Faults     []string `json:"faults"`
	Streams    int      `json:"streams"`
	Unfinished int      `json:"unfinished"`
	Orders     int      `json:"orders"`
	Done       int      `json:"done"`
	Pause      float64  `json:"pause"` // longest between two events, in seconds
	Broken     []string `json:"broken"`
	Logs       string   `json:"logs"`
}

// Sizes of a run.
const (
	zones       = 3
	streamers   = 6
	orderers    = 6
	visitors    = 6
	readyTime   = 20 * time.Second
	streamTime  = 25 * time.Second
	orderTime   = 15 * time.Second // the route's 2 s, and the longest that an instance stands still
	visitTime   = time.Second      // a visitor's patience, so that some always knock
	settleTime  = 8 * time.Second  // after the last fault, until callers must be served
	brokenMost  = 20
	faultsEvery = 700 * time.Millisecond
	stopGrace   = 8 * time.Second
)

// Run runs the soak and returns its report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.report.Seed, s.report.Logs, s.notRun = s.Seed, s.Logs, map[string]bool{}
	if err := os.MkdirAll(s.Logs, 0o750); err != nil {
		return s.report, err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return s.report, err
	}
	callers, done := context.WithCancel(ctx)
	var work sync.WaitGroup
	for n := range streamers {
		work.Go(func() { s.streams(callers, n) })
	}
	for range orderers {
		work.Go(func() { s.sendOrders(callers) })
	}
	for range visitors {
		work.Go(func() { s.visits(callers) })
	}
	s.harm(ctx)
	s.recover(ctx)
	done()
	work.Wait()
	s.judgeOrders()
	return s.report, nil
}

func (s *Soak) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.store.Rewrite = s.relist
	server := &http.Server{Handler: &s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.links = map[string]*Proxy{}
	s.fleet = standin.Fleet{Store: &s.store, PublicAddress: s.front, Pace: 25 * time.Millisecond, Read: 150 * time.Millisecond, Work: 15 * time.Millisecond}
	for n := range zones * s.Models {
		if err := s.add(&s.models, standin.Models, n, true); err != nil {
			return err
		}
	}
	for n := range zones {
		if err := s.add(&s.orders, standin.Orders, n, false); err != nil {
			return err
		}
	}
	s.store.Configure(standin.Version{Number: 1, Keys: []string{standin.Key, standin.Key2}})
	return s.startInstances(listener.Addr().String())
}

// front puts a link before a server.
func (s *Soak) front(had, listens string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.links[had]; ok {
		l.Lead(listens)
		return had, nil
	}
	l, err := NewProxy(listens)
	if err != nil {
		return "", err
	}
	s.links[l.Address] = l
	return l.Address, nil
}

// serverLink is the link to a server.
func (s *Soak) serverLink(server *standin.Server) *Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[server.Address]
}

func (s *Soak) add(g *standin.Group, service string, n int, model bool) error {
	server, err := s.fleet.Start(service, standin.Zone(n%zones), "", model)
	if err != nil {
		return err
	}
	g.Servers = append(g.Servers, server)
	s.mislead(g, n)
	return nil
}

func (s *Soak) startInstances(store string) error {
	var seeds []string
	for n := range s.Instances {
		i, err := newInstance(n, s.Program, s.Logs, store)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		if n < zones {
			seeds = append(seeds, i.peers.calls.Address)
		}
	}
	for _, i := range s.instances {
		i.Seeds = seeds
		if err := i.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(readyTime); ; {
		if s.allReady() {
			return nil
		}
		if time.Now().After(until) {
			return errors.Errorf("the instances are not ready after %s; read %s", readyTime, filepath.Join(s.Logs, "*.log"))
		}
		time.Sleep(standin.RetryInterval)
	}
}

func (s *Soak) allReady() bool {
	for _, i := range s.instances {
		if !i.ready() {
			return false
		}
	}
	return true
}

func (s *Soak) stop() {
	for _, i := range s.instances {
		i.end(syscall.SIGKILL, time.Second)
		i.link.Close()
		i.peers.close()
	}
	for _, g := range []*standin.Group{&s.models, &s.orders} {
		for n := range g.Servers {
			g.At(n).Crash()
		}
	}
	for _, l := range s.links {
		l.Close()
	}
}

// address returns the callers' address of an instance, the next one each time.
func (s *Soak) address() string {
	return s.instances[s.turn.Add(1)%uint64(len(s.instances))].Callers
}

func (s *Soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Broken) < brokenMost {
		s.report.Broken = append(s.report.Broken, fmt.Sprintf(format, args...))
	}
}

// streams asks for one stream after the other.
func (s *Soak) streams(ctx context.Context, caller int) {
	c := standin.NewCaller(standin.Key, s.address)
	for n := 0; ctx.Err() == nil; n++ {
		s.oneStream(ctx, c, fmt.Sprintf("%x%04x", caller+10, n))
	}
}

func (s *Soak) oneStream(ctx context.Context, c *standin.Caller, part string) bool {
	own, cancel := context.WithTimeout(ctx, streamTime)
	defer cancel()
	pause, err := c.Stream(own, part)
	if errors.Is(err, standin.ErrGuaranteeViolated) {
		s.broken("%v", err)
	}
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Streams++
	s.report.Pause = max(s.report.Pause, pause.Seconds())
	if err != nil {
		s.report.Unfinished++
	}
	return err == nil
}

// sendOrders sends one order after the other; each is sent once.
func (s *Soak) sendOrders(ctx context.Context) {
	c := standin.NewCaller(standin.Key, s.address)
	for ctx.Err() == nil {
		s.oneOrder(ctx, c)
		time.Sleep(standin.RetryInterval / 2)
	}
}

func (s *Soak) oneOrder(ctx context.Context, c *standin.Caller) bool {
	own, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	id, status, err := c.Order(own)
	if err != nil {
		s.broken("%v", err)
	}
	if own.Err() != nil && ctx.Err() == nil {
		s.broken("order %s got no answer in %s", id, orderTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Orders++
	s.asked = append(s.asked, id)
	switch status {
	case http.StatusOK:
		s.report.Done++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.notRun[id] = true
	}
	return status == http.StatusOK
}

// judgeOrders checks what the servers ran against what callers were told.
func (s *Soak) judgeOrders() {
	time.Sleep(standin.RetryInterval)
	for _, id := range s.asked {
		runs := s.fleet.Runs(id)
		if runs > 1 {
			s.broken("order %s ran %d times", id, runs)
		}
		if runs > 0 && s.notRun[id] {
			s.broken("order %s ran, though its caller was told that it did not", id)
		}
	}
}

// visits uses the key that is taken away.
func (s *Soak) visits(ctx context.Context) {
	c := standin.NewCaller(standin.Key2, s.address)
	for ctx.Err() == nil {
		sent := time.Now().UnixMilli()
		own, cancel := context.WithTimeout(ctx, visitTime)
		id, _, err := c.Order(own)
		cancel()
		at := s.revoked.Load()
		if err == nil && at > 0 && sent > at+standin.RevokeTime.Milliseconds() && s.fleet.Runs(id) > 0 {
			s.broken("order %s ran %d ms after its key was taken away", id, sent-at)
		}
		time.Sleep(standin.RetryInterval)
	}
}

// recover checks that callers are served once all faults have ended.
func (s *Soak) recover(ctx context.Context) {
	until := time.Now().Add(settleTime)
	for ctx.Err() == nil && !s.allReady() && time.Now().Before(until) {
		time.Sleep(standin.RetryInterval)
	}
	c := standin.NewCaller(standin.Key, s.address)
	if ctx.Err() != nil {
		return
	}
	served := 0
	for n := range 2 * len(s.instances) {
		if s.oneStream(ctx, c, fmt.Sprintf("eeee%04x", n)) && s.oneOrder(ctx, c) {
			served++
		}
	}
	if served < len(s.instances) {
		s.broken("only %d of %d callers were served after the faults had ended", served, 2*len(s.instances))
	}
}

// random is the schedule's source of chance.
func (s *Soak) random() *rand.Rand { return rand.New(rand.NewPCG(s.Seed, 1)) }
