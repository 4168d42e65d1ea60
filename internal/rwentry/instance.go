package rwentry

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwconn"
	"ragwortwall/internal/rwduty"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwforward"
	"ragwortwall/internal/rwlimit"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwloss"
	"ragwortwall/internal/rwpart"
	"ragwortwall/internal/rwpath"
	"ragwortwall/internal/rwpeer"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwusage"
	"ragwortwall/internal/rwversion"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Limits of the process.
const (
	// revocationMargin is the fraction of Settings.RevocationBound after which an
	// unconfirmed state no longer admits requests with API keys.
	revocationMargin = 0.95
	// gcPercent is the garbage collector's target (GOGC). It is low because memory
	// costs more than processor time.
	gcPercent = 50
	// heapFraction is the fraction of Settings.MemoryLimit that becomes the runtime's
	// soft memory limit.
	heapFraction = 0.7
)

// Stores are the sources of the objects that an instance follows.
type Stores struct {
	States  rwfeed.Source
	Servers rwfeed.Source
	Members MemberStore
	Moves   MoveStore

	Quarantines QuarantineStore
	Duties      rwduty.Store        // nil if this instance has none
	Usage       rwusage.WindowStore // the same

	Era *rwfeed.Era // of the store; what was written in an older one may be gone
}

// MemberStore reads and writes the list of instances.
type MemberStore interface {
	rwfeed.Source
	Put(ctx context.Context, name string, spec any) error
	// Remove deletes an entry unless it has changed since the given position.
	Remove(ctx context.Context, name string, read rwfeed.Position) error
}

// MoveStore reads the orders of version moves and records their progress.
type MoveStore interface {
	rwfeed.Source
	Record(ctx context.Context, s rwversion.Step) error
}

// Instance is one entry instance. Set the exported fields before Run.
type Instance struct {
	Settings     Settings
	ReadyPath    string // path of the load balancer's readiness check
	Stores       Stores
	DecodeState  func(name string, spec json.RawMessage) (*rwroute.Table, error)
	DecodeServer func(name string, spec json.RawMessage) (rwbackend.Entry, error)
	DecodeMove   func(c rwfeed.Change) (rwversion.Move, error)
	Wire         rwforward.HeaderCodec
	Engines      rwforward.EngineClient
	DutyClient   DutyClient     // carries out the duties; nil if this instance has none
	Dialer       *rwpath.Dialer // connects to the backend servers
	Absence      rwpeer.Absence // decides which entries of instances are removed
	Log          logr.Logger

	feeds      feeds
	directory  *rwbackend.Directory
	forwarder  *rwforward.Forwarder
	pool       rwlink.Pool
	probe      rwlink.Prober
	counters   rwforward.Counters
	poison     rwpoison.Registry
	parts      rwpart.Registry
	openLosses rwloss.Ledger
	limits     rwlimit.Limiter
	moves      moves
	suspects   quarantines
	duties     duties
	members    rwpeer.Members
	exchange   rwpeer.Exchange
	leaving    atomic.Bool
	drained    atomic.Bool // the load balancer has noticed that the instance is shutting down
	relay      *rwpath.Relay
	graceEnd   atomic.Pointer[time.Time] // when requests are ended; nil while the instance is not shutting down
	callers    rwconn.Conns
	memory     *rwaccount.Memory
	shares     rwaccount.Shares
	crowded    atomic.Int64 // connections and heads that have found no room since the last log line
}

// Run serves callers until ctx ends. It then shuts down gracefully and waits for
// the background loops to end.
func (i *Instance) Run(ctx context.Context) error {
	i.limitMemory()
	i.memory = rwaccount.NewMemory(i.Settings.MemoryLimit)
	i.shares = rwaccount.NewShares(cmp.Or(i.Settings.Descriptors, rwaccount.ProcessDescriptors()))
	i.directory = rwbackend.NewDirectory(i.Settings.Name)
	i.members.Self, i.members.Zone, i.members.Memory, i.members.Log = i.Settings.Name, i.Settings.Zone, i.Settings.MemoryLimit, i.Log
	i.members.Bootstrap = i.Settings.Bootstrap
	i.exchange.Self, i.exchange.Incarnation, i.exchange.Address = i.Settings.Name, time.Now().UnixMilli(), i.Settings.DatagramAddress
	i.exchange.Members, i.exchange.Directory, i.exchange.Poison, i.exchange.Log = &i.members, i.directory, &i.poison, i.Log
	i.exchange.Parts, i.exchange.Limits = &i.parts, &i.limits
	i.limits.Self, i.limits.Peers, i.limits.Count, i.limits.Log = i.Settings.Name, &i.exchange, i.counters.Increment, i.Log
	i.poison.CrashThreshold = rwforward.QuarantineCrashes
	i.parts.TrialRank = func(part rwpart.Key) int { return i.members.RankFor(part.String()) }
	i.openLosses.Rule.Expiry, i.openLosses.Directory, i.openLosses.ListAge = missedHeartbeats*i.Settings.HeartbeatInterval, i.directory, i.feeds.servers.Lag
	i.moves.instance, i.suspects.instance = i, i
	i.exchange.Moves = &i.moves.tracker
	i.feeds.build(i)
	i.duties.build(i)
	i.relay = i.buildPaths()
	ending, endRequests := context.WithCancel(context.Background())
	defer endRequests()
	i.forwarder = &rwforward.Forwarder{
		Zone: i.Settings.Zone, State: i.state, Directory: i.directory, Pool: &i.pool, Probe: &i.probe, Dialer: i.Dialer, Versions: &i.moves.tracker, Wire: i.Wire, Engines: i.Engines,
		Finder:       &rwforward.HolderFinder{Engines: i.Engines, Directory: i.directory, Limits: &i.limits, Log: i.Log},
		Replacements: &rwforward.ReplacementVerifier{Engines: i.Engines, Table: i.feeds.desiredState.Table, Adopt: i.feeds.serverList.AddUnlisted, Log: i.Log},
		Budget:       &rwretry.Budget{Capacity: i.retryBudget}, NotifyRun: i.exchange.AnnounceRun, NotifyServerLost: i.exchange.AnnounceLoss, NotifyServerFull: i.exchange.AnnounceFull, Poison: &i.poison, OpenLosses: &i.openLosses, NotifySuspicion: i.exchange.AnnounceSuspicion,
		Parts: &i.parts, NotifyParts: &i.exchange, Limits: &i.limits, Instances: i.members.Count, Usage: i.duties.usageCounter(), ShuttingDown: i.leaving.Load, GraceLeft: i.graceLeft, Drained: i.drained.Load, Ending: ending, Log: i.Log, Counters: &i.counters, Memory: i.memory,
	}
	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	defer loops.Wait()
	defer stop()
	for _, run := range append(append(i.feeds.loops(), i.duties.loops()...), i.expire, i.listenMetrics(), i.moves.run, i.moves.watchCapacity, i.suspects.run, i.register, i.removeAbsent, i.exchange.Run, i.exchange.Hello, i.Dialer.Run, i.relay.Run) {
		loops.Go(func() { run(backgroundCtx) })
	}
	return i.serve(ctx, endRequests)
}

// graceLeft returns the time until requests are ended, and whether the instance is shutting
// down.
func (i *Instance) graceLeft() (time.Duration, bool) {
	end := i.graceEnd.Load()
	if end == nil {
		return 0, false
	}
	return time.Until(*end), true
}

func (i *Instance) limitMemory() {
	debug.SetGCPercent(gcPercent)
	if i.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(i.Settings.MemoryLimit)))
	}
}

// state returns the desired state and its age. Table is nil until the desired state
// is known.
func (i *Instance) state() rwforward.State {
	s := rwforward.State{Table: i.feeds.desiredState.Table(), MaxKeyAge: time.Duration(revocationMargin * float64(i.Settings.RevocationBound))}
	if i.Settings.RevocationBound <= 0 {
		s.MaxKeyAge = 1<<63 - 1
	}
	age, known := i.feeds.states.Age()
	if !known {
		s.Table = nil
	}
	s.Age = age
	_, s.ServersKnown = i.feeds.servers.Age()
	return s
}

// retryBudget returns the maximum number of retries that this instance may save up:
// its share of Settings.RetryExtra.
func (i *Instance) retryBudget() float64 {
	return max(1, retryBudgetFraction*float64(i.Settings.RetryExtra)/float64(i.members.Count()))
}

// retryBudgetFraction is the fraction of Settings.RetryExtra that is divided among the
// instances. It is below 1 because an instance that does not know all others takes too
// large a share.
const retryBudgetFraction = 0.7

// ready reports whether this instance can serve callers: it knows the desired state
// and the backend servers, its state is recent enough to admit API keys, and it is
// not shutting down.
func (i *Instance) ready() bool {
	state := i.state()
	return state.Table != nil && state.ServersKnown && state.Age <= state.MaxKeyAge && !i.leaving.Load()
}

// expire closes idle connections to servers and from callers, and deletes expired
// suspicions, once per second until ctx ends.
func (i *Instance) expire(ctx context.Context) {
	rwtime.Every(ctx, time.Second, func() {
		i.pool.Sweep()
		i.poison.Sweep()
		i.parts.Sweep()
		i.limits.Sweep(i.isListed)
		if crowded := i.crowded.Swap(0); crowded > 0 {
			i.Log.Info("connections closed to make room", "count", crowded, "held", i.memory.Held(), "limit", i.shares.Callers)
		}
		if table := i.feeds.desiredState.Table(); table != nil {
			if closed := i.callers.CloseIdle(); closed > 0 {
				i.Log.Info("idle connections closed", "count", closed, "limit", table.Limits.IdleTime.Seconds(), "version", table.Version)
			}
		}
	})
}

// countCrowd counts a connection that was closed, or refused, to make room for others.
func (i *Instance) countCrowd(name string) {
	i.counters.Increment(name)
	i.crowded.Add(1)
}

// isListed reports whether the list of servers has a server's process.
func (i *Instance) isListed(s rwlimit.Server) bool {
	e, ok := i.directory.Entry(s.ID)
	return ok && e.Incarnation == s.Incarnation
}

// maxIdle returns how long a caller's connection may be idle; zero for no limit.
func (i *Instance) maxIdle() time.Duration {
	if table := i.feeds.desiredState.Table(); table != nil {
		return table.Limits.IdleTime
	}
	return 0
}

func (i *Instance) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+i.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Limits of the servers' connections.
const (
	readHeaderTimeout = 10 * time.Second // above the limits that users may set
	maxHeaderBytes    = 64 << 10         // above the limits that users may set
	readerTimeout     = 30 * time.Second // to read a response to a request without a route
)

// smallServer returns a server for short requests of operators' tools. It counts the connections
// that it closes for others under a name.
func (i *Instance) smallServer(handler http.Handler, counter string) *http.Server {
	const (
		timeout     = 10 * time.Second
		idleTimeout = time.Minute
		headerBytes = 4 << 10
	)
	door := &rwaccount.Door{Max: i.shares.Small, Count: func() { i.countCrowd(counter) }}
	return &http.Server{Handler: handler, ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ConnState: door.Track}
}

// serve serves callers until ctx ends, and shuts down. endRequests ends the requests that run at
// most once.
func (i *Instance) serve(ctx context.Context, endRequests func()) error {
	callerListener, err := net.Listen("tcp", i.Settings.CallerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	readyListener, err := net.Listen("tcp", i.Settings.ReadyAddress)
	if err != nil {
		return errors.Trace(err)
	}
	i.callers.MaxIdle, i.callers.Max, i.callers.Memory, i.callers.Count = i.maxIdle, i.shares.Callers, i.memory, i.countCrowd
	i.callers.ReaderTimeout = readerTimeout
	baseCtx, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	callerServer := &http.Server{
		Handler: i.callers.Handler(i.forwarder), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: i.callers.Track,
		BaseContext: func(net.Listener) context.Context { return baseCtx },
	}
	readyServer := i.smallServer(i.readyHandler(), "ready_closed")
	errs := make(chan error, 2)
	go func() { errs <- callerServer.Serve(i.callers.Wrap(callerListener)) }()
	go func() { errs <- readyServer.Serve(readyListener) }()
	i.Log.Info("started", "notices", i.Settings.DatagramAddress, "instance", i.Settings.Name, "zone", i.Settings.Zone, "callers", i.Settings.CallerAddress)
	select {
	case err := <-errs:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	return i.shutdown(callerListener, callerServer, readyServer, func() {
		endRequests()
		cancelRequests()
	})
}

// Timing of the shutdown.
const (
	// drainDelay is how long new connections are still accepted after the stop signal:
	// the load balancer checks readiness every second and drops an instance after two
	// failed checks.
	drainDelay = 2600 * time.Millisecond
	// forcedCloseReserve is kept at the end of the grace period so that callers of
	// cancelled requests still get a response.
	forcedCloseReserve = 600 * time.Millisecond
	// lastAnswerTime is the part of it for writing these responses.
	lastAnswerTime = 400 * time.Millisecond
	minGracePeriod = 2 * time.Second
)

// shutdown stops the instance. It reports not ready, accepts connections until the
// load balancer has noticed, and waits for all requests to be answered. Streams that
// outlast the grace period are cancelled, so that their callers resume at another
// instance.
func (i *Instance) shutdown(callerListener net.Listener, callerServer, readyServer *http.Server, cancelRequests func()) error {
	start := time.Now()
	gracePeriod := max(minGracePeriod, i.Settings.GracePeriod) - forcedCloseReserve
	graceEnd := start.Add(gracePeriod)
	i.graceEnd.Store(&graceEnd)
	i.leaving.Store(true)
	i.Log.Info("stopping", "instance", i.Settings.Name)
	go i.duties.release()
	time.Sleep(min(drainDelay, gracePeriod/2))
	i.drained.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), gracePeriod-time.Since(start))
	defer cancel()
	_ = callerListener.Close()
	if err := i.callers.Shutdown(ctx); err != nil {
		i.Log.Info("grace period is over, cancelling the remaining requests", "cause", err.Error())
		cancelRequests()
		answerCtx, cancel := context.WithTimeout(context.Background(), lastAnswerTime)
		defer cancel()
		_ = i.callers.Shutdown(answerCtx) // connections that are still open are closed next
	}
	i.relay.Wait(ctx)
	i.duties.flush()
	_ = callerServer.Close()
	_ = readyServer.Close()
	i.Log.Info("stopped", "instance", i.Settings.Name, "took", time.Since(start).Seconds())
	return nil
}
