package rwsoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ragwortwall/platform/standin"

	"github.com/juju/errors"
)

// Soak is one soak run. Set the exported fields before Run or Measure.
type Soak struct {
	Program       string // path of the instance's executable
	Former        string // that of another build, with which all instances start and which Program replaces; "" for none
	Logs          string // directory for logs
	Seed          uint64
	Duration      time.Duration // time for which faults are injected; for Measure, the duration of each phase
	Instances     int
	ModelsPerZone int  // model servers in each zone
	Poison        bool // a request that crashes each server that runs it is sent all the while
	PlannedOnly   bool // no faults but graceful stops of instances and drains of servers
	Limits        bool // servers name limits on the requests that they take
	Statements    bool // servers say that they leave or want no requests for a while
	Reads         bool // Poison with reads without a prompt that have a new query each time
	Paths         bool // instances lose their paths to all servers, or also to the store
	Stops         bool // no faults but stops, reloads and changes of settings, in series that overlap
	Outside       bool // crowds of clients outside the limits come, and instances have the smallest machine's limits
	Parts         bool // requests with a part of a prompt that crashes servers are sent, all different
	Visitors      bool // instances leave for good and new ones come, one after the other, and keys are taken away; PlannedOnly besides
	Losses        bool // losses that are hard to judge, see lossesRun; PlannedOnly besides
	Duties        bool // whoever holds the duties is killed, paused, cut off and stopped, one after the other

	ctx            context.Context //nolint:containedctx // of the run
	store          standin.Store
	fleet          standin.Fleet
	modelServers   standin.Group
	orderServers   standin.Group
	instances      []*instance
	serverProxies  map[string]*Proxy // proxies in front of the servers, by the proxy's address
	report         Report
	mu             sync.Mutex
	reportedNotRun map[string]bool // ids of orders whose caller was told that they did not run
	orderIDs       []string
	revokedAt      atomic.Int64      // Unix milliseconds at which standin.RevocableKey was revoked; 0 before
	addressTurn    atomic.Uint64     // counts the calls of nextAddress
	poisonSentTo   map[string]string // names of instances, by id of the request that crashes servers
	disturbances   []disturbance
	interruptions  []disturbance
	cutRequests    []cutRequest
	partRequests   []sentRequest // with the part that crashes servers
	soundRequests  []sentRequest // beside them
	configuration  standin.Configuration
	limitSentTo    map[string]string // names of instances, by id of the requests of sendLimitReads
	limitedServers []*standin.Server // that named a limit
	stopSignals    []stopSignal
	sayingServers  []*standin.Server // that said that they leave or want a pause
	cloud          *standin.Cloud    // nil without Duties
	cloudServer    *httptest.Server
	holders        int // of the duties that were disturbed
	visitors       instanceList
	visits         atomic.Int64 // visitors that have left
	losses         lossesRun
}

// instanceList is a list of instances that grows.
type instanceList struct {
	mu  sync.Mutex
	all []*instance
}

func (l *instanceList) add(i *instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, i)
}

func (l *instanceList) list() []*instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// Report is the result of a soak run.
type Report struct {
	Seed         uint64   `json:"seed"`
	Faults       []string `json:"faults"` // start in seconds, name, target and duration in seconds of each fault
	Streams      int      `json:"streams"`
	Unfinished   int      `json:"unfinished"` // streams that did not end as complete
	Prefills     int      `json:"reads"`      // prompts that model servers read from their start
	Orders       int      `json:"orders"`
	OrdersDone   int      `json:"done"`
	LongestPause float64  `json:"pause"`        // longest pause between two events of a stream, in seconds
	Violations   []string `json:"broken"`       // messages of failed checks, at most maxViolations
	Crashes      int      `json:"crashes"`      // of servers, by the requests that crash them
	Kept         int      `json:"kept"`         // requests on kept connections
	KeptStreams  int      `json:"kept_streams"` // streams on kept connections
	CutStreams   int      `json:"cut_streams"`  // attempts whose connection ended early
	Cut          int      `json:"cut"`          // of these, those whose connection ended without a complete answer
	LateParts    int      `json:"late_parts"`   // arrivals at servers that count against maxLateParts
	SoundBefore  Share    `json:"sound_before"` // requests beside those with the crashing part
	SoundAfter   Share    `json:"sound_after"`
	Holders      int      `json:"holders"`    // of the duties that were disturbed
	DutyCalls    int      `json:"duty_calls"` // accepted reports and orders of servers
	Logs         string   `json:"logs"`

	Visits    int `json:"visits,omitempty"`     // of instances that left for good
	KeyChecks int `json:"key_checks,omitempty"` // of keys that were taken away

	Crowds          int `json:"crowds,omitempty"` // of clients outside the limits
	PeakMemory      int `json:"memory,omitempty"` // of an instance beside them, in MB
	PeakDescriptors int `json:"descriptors,omitempty"`
}

// Numbers of callers, timeouts and limits of a run.
const (
	zones             = 3
	streamCallers     = 6
	callersPerSession = 2 // different prompts with the same last part
	orderCallers      = 6
	revokedKeyCallers = 6
	startupTimeout    = 20 * time.Second
	streamTimeout     = 25 * time.Second
	orderTimeout      = 15 * time.Second // more than the route's timeout of 2 s plus the longest pause of an instance
	revokedKeyTimeout = time.Second      // short, so that requests with the revoked key keep coming
	recoveryTimeout   = 8 * time.Second  // longest wait for ready instances after the last fault
	maxViolations     = 20
	faultInterval     = 700 * time.Millisecond // scale of the random time between two faults
	stopTimeout       = 8 * time.Second
)

// Run runs the soak and returns its report. It returns an error only if the
// setup fails; violated guarantees are in the report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.report.Seed, s.report.Logs, s.reportedNotRun, s.poisonSentTo = s.Seed, s.Logs, map[string]bool{}, map[string]string{}
	s.limitSentTo, s.ctx = map[string]string{}, ctx
	if err := os.MkdirAll(s.Logs, 0o750); err != nil {
		return s.report, err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return s.report, err
	}
	callers, stopCallers := context.WithCancel(ctx)
	var running sync.WaitGroup
	for n := range streamCallers {
		running.Go(func() { s.runStreams(callers, n) })
	}
	for range orderCallers {
		running.Go(func() { s.runOrders(callers) })
	}
	for range revokedKeyCallers {
		running.Go(func() { s.runRevokedKeyOrders(callers) })
	}
	if s.Poison {
		running.Go(func() { s.sendPoison(callers) })
	}
	if s.Parts {
		running.Go(func() { s.sendParts(callers) })
	}
	if s.Limits || s.Statements {
		running.Go(func() { s.sendLimitReads(callers) })
	}
	if s.Limits {
		running.Go(func() { s.changeLimits(callers) })
	}
	if s.Statements {
		running.Go(func() { s.sayStatements(callers) })
	}
	if s.Outside {
		running.Go(func() { s.sendOutside(callers) })
	}
	running.Go(func() { s.runKept(callers) })
	if s.Stops {
		for n, i := range s.instances {
			random := s.newRandom(uint64(1000 + n)) //nolint:gosec // small numbers
			running.Go(func() { s.runKeptStreams(callers, i, random) })
		}
	}
	faults, endFaults := context.WithCancel(ctx)
	var holders sync.WaitGroup
	if s.Duties {
		holders.Go(func() { s.disturbHolders(faults) })
	}
	if s.Visitors {
		holders.Go(func() { s.runVisitors(faults) })
		holders.Go(func() { s.changeKeys(faults) })
	}
	if s.Losses {
		holders.Go(func() { s.runLosses(faults) })
	}
	s.injectFaults(ctx)
	endFaults()
	holders.Wait()
	s.report.Visits = int(s.visits.Load())
	s.checkRecovery(ctx)
	s.checkDuties()
	stopCallers()
	running.Wait()
	s.checkOrders()
	s.checkPoison()
	s.checkParts()
	s.checkLimits()
	s.checkStatements()
	s.checkLosses()
	s.checkCuts()
	s.checkMixed()
	s.report.Prefills = s.fleet.Prefills()
	return s.report, nil
}

func (s *Soak) start() error {
	s.store.Rewrite = s.rewriteMember
	s.serverProxies = map[string]*Proxy{}
	s.fleet = standin.Fleet{Store: &s.store, PublicAddress: s.proxyAddress, Resolve: s.resolveAddress, EventInterval: 25 * time.Millisecond, PrefillTime: 150 * time.Millisecond, FirstEventDelay: 20 * time.Millisecond, OrderTime: 15 * time.Millisecond, KeepRecords: true}
	for n := range zones * s.ModelsPerZone {
		if err := s.startServer(&s.modelServers, standin.ModelService, n, true); err != nil {
			return err
		}
	}
	for n := range zones {
		if err := s.startServer(&s.orderServers, standin.OrderService, n, false); err != nil {
			return err
		}
	}
	if s.Stops {
		s.PlannedOnly, s.fleet.EventInterval = true, stopsEventInterval
	}
	if s.Visitors {
		s.PlannedOnly = true
	}
	if s.Poison || s.Reads {
		s.fleet.CrashPath, s.fleet.RestartDelay = []string{poisonPath, poisonDraftPath}[s.Seed%2], poisonDownTime
	}
	if s.Reads {
		s.Poison, s.fleet.CrashPath = true, poisonPath
	}
	if s.Losses {
		if err := s.prepareLosses(); err != nil {
			return err
		}
	}
	if s.Parts {
		s.fleet.CrashPart, s.fleet.RestartDelay = crashPart, poisonDownTime
	}
	s.configure(func(c *standin.Configuration) { c.Keys = []string{standin.Key, standin.RevocableKey} })
	return s.startInstances()
}

// proxyAddress starts a proxy in front of a server and returns the proxy's address. A
// server that replaces another gets the proxy of its predecessor.
func (s *Soak) proxyAddress(previous, listenAddress string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if proxy, ok := s.serverProxies[previous]; ok {
		proxy.SetTarget(listenAddress)
		return previous, nil
	}
	proxy, err := NewProxy(listenAddress)
	if err != nil {
		return "", err
	}
	s.serverProxies[proxy.Address] = proxy
	return proxy.Address, nil
}

// serverProxy returns the proxy in front of a server.
func (s *Soak) serverProxy(server *standin.Server) *Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serverProxies[server.Address]
}

// startServer starts server n of a group, in the zones in turn. model is true for a
// server of the model service.
func (s *Soak) startServer(group *standin.Group, service string, n int, model bool) error {
	server, err := s.fleet.Start(service, standin.Zone(n%zones), "", model)
	if err != nil {
		return err
	}
	group.Servers = append(group.Servers, server)
	s.setResumeOverlap(group, n)
	return nil
}

// startInstances starts the instances and waits until all are ready.
func (s *Soak) startInstances() error {
	var seeds []string
	cloud := ""
	if s.Duties {
		cloud = s.startCloud()
	}
	for n := range s.Instances {
		i, err := newInstance(n, cmp.Or(s.Former, s.Program), s.Logs, &s.store)
		if err != nil {
			return err
		}
		if s.Paths {
			// Each one in a zone of its own watches the store. An instance that follows
			// another one would get that one's addresses of the servers.
			i.Zone = standin.Zone(n)
		}
		s.limitOutside(i)
		i.CloudAddress = cloud
		if s.Losses {
			i.Heartbeat = heartbeat
		}
		if s.inOneZone() {
			i.Zone = standin.Zone(0)
		}
		s.instances = append(s.instances, i)
		if n < zones {
			seeds = append(seeds, i.peerProxies.control.Address)
		}
	}
	for _, i := range s.instances {
		if !s.Paths { // without seeds, an instance watches the store from its start
			i.Seeds = seeds
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startupTimeout); ; {
		if s.allReady() {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("the instances are not ready after %s; see their logs, %s", startupTimeout, filepath.Join(s.Logs, "*.log"))
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
	for _, i := range append(s.visitors.list(), s.instances...) {
		i.terminate(syscall.SIGKILL, time.Second)
		i.storeProxy.Close()
		i.serverPaths.close()
		i.peerProxies.close()
	}
	for _, group := range []*standin.Group{&s.modelServers, &s.orderServers} {
		for n := range group.Servers {
			group.At(n).Crash()
		}
	}
	s.fleet.Close()
	if s.cloudServer != nil {
		s.cloudServer.CloseClientConnections()
		s.cloudServer.Close()
	}
	for _, proxy := range s.serverProxies {
		proxy.Close()
	}
}

// nextAddress returns the address for callers of the next instance in turn.
func (s *Soak) nextAddress() string {
	return s.instances[s.addressTurn.Add(1)%uint64(len(s.instances))].CallerAddress
}

// addViolation adds a violated guarantee to the report, up to maxViolations of them.
func (s *Soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Violations) < maxViolations {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
	}
}

// runStreams reads one stream after another until ctx ends.
func (s *Soak) runStreams(ctx context.Context, caller int) {
	c := standin.NewCaller(standin.Key, s.nextAddress)
	c.OnCut = s.recordCutStream
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("%x%04x", caller+10, n)
		session := fmt.Sprintf("5e55%x%04x", caller/callersPerSession, n)
		if s.Former == "" && n%2 == 0 {
			prompt = session // its other callers ask for the same; former builds mix up such streams
		}
		s.readStream(ctx, c, session, prompt)
	}
}

// readStream reads one stream, records the result and reports whether the stream is
// complete.
func (s *Soak) readStream(ctx context.Context, c *standin.Caller, session, prompt string) bool {
	streamCtx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	pause, err := c.StreamInSession(streamCtx, session, prompt)
	if errors.Is(err, standin.ErrGuaranteeViolated) {
		s.addViolation("%v", err)
	}
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Streams++
	s.report.LongestPause = max(s.report.LongestPause, pause.Seconds())
	if err != nil {
		s.report.Unfinished++
	}
	return err == nil
}

// runOrders sends one order after another until ctx ends, each of them once.
func (s *Soak) runOrders(ctx context.Context) {
	c := standin.NewCaller(standin.Key, s.nextAddress)
	for ctx.Err() == nil {
		s.sendOrder(ctx, c)
		time.Sleep(standin.RetryInterval / 2)
	}
}

// sendOrder sends one order, records the answer and reports whether the order was done.
func (s *Soak) sendOrder(ctx context.Context, c *standin.Caller) bool {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	id, status, err := c.Order(orderCtx)
	if err != nil {
		s.addViolation("%v", err)
	}
	if orderCtx.Err() != nil && ctx.Err() == nil {
		s.addViolation("order %s got no answer within %s", id, orderTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Orders++
	if status == http.StatusOK {
		s.report.OrdersDone++
	}
	s.recordOrderLocked(id, status)
	return status == http.StatusOK
}

// recordOrderLocked records what the caller of an order was told. The caller of
// recordOrderLocked must hold mu.
func (s *Soak) recordOrderLocked(id string, status int) {
	s.orderIDs = append(s.orderIDs, id)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.reportedNotRun[id] = true
	}
}

// checkOrders compares the orders that servers executed with the answers that
// callers got.
func (s *Soak) checkOrders() {
	time.Sleep(standin.RetryInterval)
	for _, id := range s.orderIDs {
		runs := s.fleet.Runs(id)
		if runs > 1 {
			s.addViolation("order %s ran %d times", id, runs)
		}
		if runs > 0 && s.reportedNotRun[id] {
			s.addViolation("order %s ran, though its caller was told that it did not", id)
		}
	}
}

// checkMixed checks that no stream went on from the memory of another caller's.
func (s *Soak) checkMixed() {
	for _, id := range s.fleet.Mixed() {
		s.addViolation("request %s went on from the memory of another caller's stream", id)
	}
}

// runRevokedKeyOrders sends orders with standin.RevocableKey and checks that no order
// runs that was sent more than standin.MaxRevocationDelay after the key's revocation.
func (s *Soak) runRevokedKeyOrders(ctx context.Context) {
	c := standin.NewCaller(standin.RevocableKey, s.nextAddress)
	for ctx.Err() == nil {
		sentMillis := time.Now().UnixMilli()
		orderCtx, cancel := context.WithTimeout(ctx, revokedKeyTimeout)
		id, _, err := c.Order(orderCtx)
		cancel()
		revokedMillis := s.revokedAt.Load()
		if err == nil && revokedMillis > 0 && sentMillis > revokedMillis+standin.MaxRevocationDelay.Milliseconds() && s.fleet.Runs(id) > 0 {
			s.addViolation("order %s ran, though it was sent %d ms after its key was revoked", id, sentMillis-revokedMillis)
		}
		time.Sleep(standin.RetryInterval)
	}
}

// checkRecovery is called when all faults have ended. It waits until all instances are
// ready, for recoveryTimeout at most, and checks that at least half of the callers are
// served.
func (s *Soak) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for ctx.Err() == nil && !s.allReady() && time.Now().Before(deadline) {
		time.Sleep(standin.RetryInterval)
	}
	c := standin.NewCaller(standin.Key, s.nextAddress)
	if ctx.Err() != nil {
		return
	}
	served := 0
	for n := range 2 * len(s.instances) {
		prompt := fmt.Sprintf("eeee%04x", n)
		if s.readStream(ctx, c, prompt, prompt) && s.sendOrder(ctx, c) {
			served++
		}
	}
	if served < len(s.instances) {
		s.addViolation("only %d of %d callers were served after all faults had ended", served, 2*len(s.instances))
	}
}

// newRandom returns a random source; each has a stream of its own.
func (s *Soak) newRandom(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }
