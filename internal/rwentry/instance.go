package rwentry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwforward"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpeer"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwversion"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Settings of an instance.
const (
	// revocationMargin is the part of the bound for keys after which they are refused.
	revocationMargin = 0.95
	// gcPercent trades processor time for memory, which is priced.
	gcPercent = 50
	// heapFraction is the part of the memory bound that the heap may take.
	heapFraction = 0.7
)

// Stores are the kinds of object that an instance follows.
type Stores struct {
	States  rwfeed.Source
	Servers rwfeed.Source
	Members MemberStore
	Moves   MoveStore
}

// MemberStore keeps the list of instances.
type MemberStore interface {
	rwfeed.Source
	Put(ctx context.Context, name string, spec any) error
}

// MoveStore keeps the orders of version moves.
type MoveStore interface {
	rwfeed.Source
	Record(ctx context.Context, s rwversion.Step) error
}

// Instance is one entry instance. Set the exported fields before Run.
type Instance struct {
	Settings     Settings
	ReadyPath    string // at which the balancer asks
	Stores       Stores
	DecodeState  func(name string, spec json.RawMessage) (*rwroute.Table, error)
	DecodeServer func(name string, spec json.RawMessage) (rwbackend.Entry, error)
	DecodeMove   func(c rwfeed.Change) (rwversion.Order, error)
	Wire         rwforward.Wire
	Engines      rwforward.Engines
	Log          logr.Logger

	feeds     feeds
	directory *rwbackend.Directory
	forwarder *rwforward.Forwarder
	pool      rwlink.Pool
	probe     rwlink.Probe
	counters  rwforward.Counters
	poison    rwpoison.Book
	moves     moves
	members   rwpeer.Members
	exchange  rwpeer.Exchange
	leaving   atomic.Bool
	idle      idleConns
}

// Run serves until ctx ends, and then until what runs has ended.
func (i *Instance) Run(ctx context.Context) error {
	i.limitMemory()
	i.directory = rwbackend.NewDirectory(i.Settings.Name)
	i.members.Self, i.members.Zone, i.members.Memory, i.members.Log = i.Settings.Name, i.Settings.Zone, i.Settings.MemoryLimit, i.Log
	i.exchange.Self, i.exchange.Life, i.exchange.Address = i.Settings.Name, time.Now().UnixMilli(), i.Settings.DatagramAddress
	i.exchange.Members, i.exchange.Directory, i.exchange.Poison, i.exchange.Log = &i.members, i.directory, &i.poison, i.Log
	i.moves.instance = i
	i.exchange.Moves = &i.moves.book
	i.feeds.build(i)
	i.forwarder = &rwforward.Forwarder{
		Zone: i.Settings.Zone, State: i.state, Directory: i.directory, Pool: &i.pool, Probe: &i.probe, Versions: &i.moves.book, Wire: i.Wire, Engines: i.Engines,
		Finder:    &rwforward.Finder{Engines: i.Engines, Directory: i.directory, Log: i.Log},
		Newcomers: &rwforward.Newcomers{Engines: i.Engines, Table: i.feeds.settings.Table, Adopt: i.feeds.serverList.Adopt, Log: i.Log},
		Budget:    &rwretry.Budget{Most: i.retryBudget}, Notify: i.exchange.Tell, Lost: i.exchange.Lost, Poison: &i.poison, Suspect: i.exchange.Suspect, Leaving: i.leaving.Load, Log: i.Log, Count: &i.counters,
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	for _, run := range append(i.feeds.loops(), i.closeIdleConns, i.serveMetrics, i.moves.run, i.register, i.exchange.Run, i.exchange.Hello) {
		work.Go(func() { run(background) })
	}
	return i.serve(ctx)
}

// register lists this instance in the store, unless it is listed already.
func (i *Instance) register(ctx context.Context) {
	const again = time.Second // between tries while the store is away
	member := rwpeer.Member{
		Name: i.Settings.Name, Zone: i.Settings.Zone, Instances: i.Settings.PeerAddress, Notices: i.Settings.DatagramAddress, Memory: i.Settings.MemoryLimit,
	}
	for began := time.Now(); time.Since(began) < registerTimeout; {
		if _, known := i.feeds.peers.Age(); known || !rwtime.Sleep(ctx, registerPollInterval) {
			break
		}
	}
	for ctx.Err() == nil && !i.members.Listed(member) {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		err := i.Stores.Members.Put(call, member.Name, member)
		cancel()
		if err == nil {
			return
		}
		i.Log.Info("not listed yet", "cause", err.Error())
		rwtime.Sleep(ctx, again)
	}
}

const (
	// registerTimeout is how long the list of instances is waited for before this one is
	// written, and how long the write may take.
	registerTimeout      = 2 * time.Second
	registerPollInterval = 100 * time.Millisecond
)

func (i *Instance) limitMemory() {
	debug.SetGCPercent(gcPercent)
	if i.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(i.Settings.MemoryLimit)))
	}
}

// state is the desired state in force.
func (i *Instance) state() rwforward.State {
	s := rwforward.State{Table: i.feeds.settings.Table(), Keys: time.Duration(revocationMargin * float64(i.Settings.RevocationBound))}
	if i.Settings.RevocationBound <= 0 {
		s.Keys = 1<<63 - 1
	}
	age, known := i.feeds.states.Age()
	if !known {
		s.Table = nil
	}
	s.Age = age
	_, s.Listed = i.feeds.servers.Age()
	return s
}

// retryBudget is how many retryBudget this instance may save up: its share of what the
// fleet may make besides a part of the requests.
func (i *Instance) retryBudget() float64 {
	return max(1, retryBudgetFraction*float64(i.Settings.RetryExtra)/float64(i.members.Count()))
}

// retryBudgetFraction is the part of the fleet's allowance that is given out: instances
// may know of different numbers of each other.
const retryBudgetFraction = 0.7

// ready reports whether callers are served as well here as elsewhere.
func (i *Instance) ready() bool {
	state := i.state()
	return state.Table != nil && state.Listed && state.Age <= state.Keys && !i.leaving.Load()
}

func (i *Instance) closeIdleConns(ctx context.Context) {
	rwtime.Every(ctx, time.Second, func() {
		i.pool.Sweep()
		if table := i.feeds.settings.Table(); table != nil && table.Limits.IdleTime > 0 {
			i.idle.closeIdleLongerThan(table.Limits.IdleTime)
		}
	})
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

// Settings of the callers' connections.
const (
	readHeaderTimeout = 10 * time.Second // for a request's head; over the users' limits
	maxHeaderBytes    = 64 << 10         // bytes; over the users' limits
)

func (i *Instance) serve(ctx context.Context) error {
	callers, err := net.Listen("tcp", i.Settings.CallerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	asks, err := net.Listen("tcp", i.Settings.ReadyAddress)
	if err != nil {
		return errors.Trace(err)
	}
	base, cut := context.WithCancel(context.Background())
	defer cut()
	front := &http.Server{
		Handler: i.forwarder, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: i.idle.track,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	ready := &http.Server{Handler: i.readyHandler(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 2)
	go func() { failed <- front.Serve(callers) }()
	go func() { failed <- ready.Serve(asks) }()
	i.Log.Info("started", "notices", i.Settings.DatagramAddress, "instance", i.Settings.Name, "zone", i.Settings.Zone, "callers", i.Settings.CallerAddress)
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	return i.shutdown(front, ready, cut)
}

// Settings of leaving.
const (
	// drainDelay is how long new connections are still taken: the balancer asks
	// each second and drops an instance after two misses.
	drainDelay = 2600 * time.Millisecond
	// forcedCloseReserve is kept of the grace for what is cut at last to be told.
	forcedCloseReserve = 600 * time.Millisecond
	minGracePeriod     = 2 * time.Second
)

// shutdown stops the instance: it says that it is not ready, takes what still
// comes until the balancer has noticed, and ends when all requests are answered.
// Streams that outlast the grace are cut so that their callers go on elsewhere.
func (i *Instance) shutdown(front, ready *http.Server, cut func()) error {
	i.leaving.Store(true)
	i.Log.Info("stopping", "instance", i.Settings.Name)
	began := time.Now()
	grace := max(minGracePeriod, i.Settings.GracePeriod) - forcedCloseReserve
	time.Sleep(min(drainDelay, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), grace-time.Since(began))
	defer cancel()
	err := front.Shutdown(ctx)
	if err != nil {
		i.Log.Info("requests cut", "cause", err.Error())
		cut()
		_ = front.Close()
	}
	_ = ready.Close()
	i.Log.Info("stopped", "instance", i.Settings.Name, "took", time.Since(began).Seconds())
	return nil
}
