package rwserve

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwconfig"
	"ragwortwall/internal/rwconn"
	"ragwortwall/internal/rwengine"
	"ragwortwall/internal/rwgateway"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwmove"
	"ragwortwall/internal/rwnet"
	"ragwortwall/internal/rwonce"
	"ragwortwall/internal/rwoperate"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwservice"
	"ragwortwall/internal/rwsettings"
	"ragwortwall/internal/rwslot"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

const (
	platformTimeout   = 2 * time.Second
	drainMoveDelay    = 5 * time.Second // from the start of draining until generations move
	drainPollInterval = 100 * time.Millisecond
	leaveDelay        = time.Second // for other instances to learn that this one leaves
	shutdownTimeout   = 2 * time.Second
	headerTimeout     = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Instance is an entry instance. Set the exported fields before calling Init or Run.
type Instance struct {
	Config      rwconfig.Config
	Network     rwnet.Network // for callers, operators, backend servers and the platform
	PeerNetwork rwnet.Network // for connections between instances; Network if nil
	Log         logr.Logger

	incarnation uint64
	traffic     *rwnet.Traffic // traffic between instances
	peers       *rwnet.PeerPool
	platform    *rwplatform.Client
	view        *rwmember.View
	settings    *rwsettings.Follower
	owner       *rwslot.Owner
	slots       *rwslot.Client
	suspicions  *rwpoison.Registry
	budget      *rwretry.Budget
	counters    *rwgeneration.Counters
	refusals    *rwretry.Refusals
	primary     *rwgeneration.Primary
	gateway     *rwgateway.Gateway
	claims      *claims
	ledger      *routedLedger
	editor      *rwoperate.Editor
	mover       *rwmove.Mover
	decider     *rwmove.Decider
	started     time.Time
	memory      *rwaccount.Memory // what is held for clients
	shares      rwaccount.Shares
	callers     rwconn.Conns
	loadChanges loadChanges
	baseCtx     context.Context //nolint:containedctx // cancelled after draining
	placementMu sync.Mutex      // serialises the choice of the primary for copies of a request
}

// Init builds the components. Run calls it. Tests may call it earlier; further calls
// do nothing.
func (i *Instance) Init() {
	if i.view != nil {
		return
	}
	if i.PeerNetwork == nil {
		i.PeerNetwork = i.Network
	}
	i.traffic = &rwnet.Traffic{}
	i.PeerNetwork = rwnet.CountingNetwork{Network: i.PeerNetwork, Traffic: i.traffic}
	i.started = time.Now()
	i.initBounds()
	i.incarnation = rand.Uint64()
	i.peers = rwnet.NewPeerPool(i.PeerNetwork)
	httpClient := rwnet.HTTPClient(i.Network)
	engines := &rwengine.Client{HTTP: httpClient, Streams: rwnet.UnpooledHTTPClient(i.Network)}
	i.platform = &rwplatform.Client{URL: i.Config.Platform, HTTP: httpClient, Timeout: platformTimeout}
	i.view = rwmember.NewView(i.Config.Peer(), i.Config.Peers)
	i.settings = &rwsettings.Follower{Platform: i.platform, View: i.view, Peers: i.peers.InstanceClient, OnAway: i.announceAway, Log: i.Log.WithName("settings")}
	i.owner = &rwslot.Owner{View: i.view, Tree: i.settings.Tree, Engines: engines, Log: i.Log.WithName("owner")}
	i.slots = &rwslot.Client{View: i.view, Owner: i.owner, Peers: i.peers.InstanceClient, Log: i.Log.WithName("slots")}
	i.suspicions = &rwpoison.Registry{}
	i.budget = &rwretry.Budget{}
	i.counters = &rwgeneration.Counters{}
	i.refusals = &rwretry.Refusals{}
	i.initComponents(engines)
}

// initComponents builds the components that depend on the shared clients and state.
func (i *Instance) initComponents(engines *rwengine.Client) {
	i.editor = &rwoperate.Editor{Store: i.platform, Settings: i.settings}
	i.settings.Restorer = i.editor
	i.mover = &rwmove.Mover{
		Self:      i.Config.Name,
		Tree:      i.settings.Tree,
		Editor:    i.editor,
		Loads:     i.slots,
		Broadcast: i.sendVerdict,
		Peers:     i.peerNames,
		Pinned:    func(route, version string) int { return i.primary.CountPinned(route, version) },
		Log:       i.Log.WithName("move"),
	}
	i.decider = &rwmove.Decider{
		Mover: i.mover, View: i.view, Store: i.platform, Engines: engines, Log: i.Log.WithName("decider"),
	}
	i.primary = &rwgeneration.Primary{
		Tree:              i.settings.Tree,
		Slots:             i.slots,
		Engines:           engines,
		Versions:          i.mover,
		Suspicions:        i.suspicions,
		Budget:            i.budget,
		Refusals:          i.refusals,
		Self:              i.Config.Name,
		HasOtherInstances: i.hasLivePeer,
		NotifySuspicion:   i.sendSuspicion,
		Counters:          i.counters,
		Log:               i.Log.WithName("primary"),
	}
	i.ledger = &routedLedger{instance: i, local: rwonce.NewLedger(i.platform, rwonce.DefaultCommitInterval, i.Log.WithName("once"))}
	i.claims = &claims{view: i.view, peers: i.peers.InstanceClient}
	i.gateway = &rwgateway.Gateway{
		View:          i.view,
		Tree:          i.settings.Tree,
		Primaries:     &primaryClient{instance: i},
		Claims:        i.claims,
		Refusals:      i.refusals,
		IsPrimaryHere: i.primary.HasRequest,
		TrySetPrimary: i.trySetPrimary,
		Services: &rwservice.Proxy{
			Tree:   i.settings.Tree,
			Slots:  i.slots,
			Ledger: i.ledger,
			Budget: i.budget,
			Dial:   i.Network.Dial,
			Memory: i.memory,
			Log:    i.Log.WithName("service"),

			Suspicions:      i.suspicions,
			NotifySuspicion: i.sendServiceSuspicion,
		},
		Counters: i.counters,
		Log:      i.Log.WithName("gateway"),
		Memory:   i.memory,
	}
}

// Run serves until ctx is cancelled, then drains: running answers finish here or move
// to other instances. It returns an error only if a listener can't be opened.
func (i *Instance) Run(ctx context.Context) error {
	i.Init()
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	baseCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	i.baseCtx = baseCtx
	var loops sync.WaitGroup
	for _, loop := range i.loops() {
		loops.Go(func() { loop(baseCtx) })
	}
	loops.Go(func() { _ = rwnet.Serve(baseCtx, listeners.instances, &server{instance: i}, i.instanceBounds()) })
	callers := httpServer(baseCtx, i.callers.Handler(i.callersHandler()), i.callers.Track)
	operators := httpServer(baseCtx, i.operatorsHandler(), i.operatorsDoor().Track)
	operators.ReadTimeout = operatorTimeout
	go func() { _ = callers.Serve(i.callers.Wrap(listeners.callers)) }()
	go func() { _ = operators.Serve(listeners.operators) }()
	i.Log.Info("serving", "callers", i.Config.Callers, "operators", i.Config.Operators, "zone", i.Config.Zone)
	<-ctx.Done()
	i.drain()
	shutdown(callers, operators)
	stop()
	_ = i.peers.Close()
	loops.Wait()
	i.Log.Info("stopped")
	return nil
}

// loops returns the background loops that run until draining has finished.
func (i *Instance) loops() []func(context.Context) {
	return []func(context.Context){
		i.settings.Run,
		i.owner.Run,
		i.slots.Run,
		i.primary.Run,
		i.exchangeLoop,
		i.instanceListLoop,
		i.decider.Run,
		i.quarantineLoop,
	}
}

type listeners struct {
	callers, instances, operators net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = i.Network.Listen(i.Config.Callers); err != nil {
		return l, errors.Annotate(err, "callers")
	}
	if l.instances, err = i.PeerNetwork.Listen(i.Config.Instances); err != nil {
		return l, errors.Annotate(err, "instances")
	}
	l.operators, err = i.Network.Listen(i.Config.Operators)
	return l, errors.Annotate(err, "operators")
}

func httpServer(ctx context.Context, handler http.Handler, track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		ConnState:         track,
		MaxHeaderBytes:    maxHeaderBytes,
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// drain marks this instance as leaving, so that new work goes to other instances,
// and waits for running answers until the drain timeout of the configuration.
// Generations whose primary is here move to other instances after drainMoveDelay.
// Answers whose callers are connected here run to their end.
func (i *Instance) drain() {
	i.Log.Info("leaving", "answers", i.gateway.Active(), "generations", i.primary.CountRunning())
	i.view.MarkLeaving()
	until := time.Now().Add(i.Config.DrainTimeout.Or(rwconfig.DefaultDrainTimeout))
	moveAt := time.Now().Add(drainMoveDelay)
	time.Sleep(leaveDelay)
	for time.Now().Before(until) {
		if i.gateway.Active() == 0 && i.primary.CountRunning() == 0 {
			return
		}
		if time.Now().After(moveAt) {
			i.primary.MoveAll()
		}
		time.Sleep(drainPollInterval)
	}
	i.Log.Info("drain timed out with answers still running", "answers", i.gateway.Active(), "generations", i.primary.CountRunning())
}

// shutdown shuts the servers down and closes those that take longer than
// shutdownTimeout in total.
func shutdown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}

// peerNames returns the names of the reachable members.
func (i *Instance) peerNames() []string {
	var names []string
	for _, m := range i.view.Reachable() {
		names = append(names, m.Name)
	}
	return names
}

// hasLivePeer reports whether another instance accepts new work.
func (i *Instance) hasLivePeer() bool {
	for _, name := range i.view.Live() {
		if name != i.Config.Name {
			return true
		}
	}
	return false
}

// Ready returns nil if this instance can serve requests, or else the reason why the
// load balancer should send it none.
func (i *Instance) Ready() error {
	if i.view.Leaving() {
		return errors.New("leaving")
	}
	if i.settings.Tree().Empty() {
		return errors.New("settings not loaded yet")
	}
	anyUp, ownsAny := i.owner.AnyServerUp()
	if ownsAny && !anyUp && i.peersReachServers() {
		return errors.New("backend servers are unreachable from this instance but reachable from others")
	}
	return nil
}

// peersReachServers reports whether another instance can reach a backend server. If
// none can, this instance stays ready, since otherwise the load balancer would have
// no target left.
func (i *Instance) peersReachServers() bool {
	for _, s := range i.settings.Tree().Servers() {
		if _, owned := i.owner.Pool(s.Name); owned {
			continue
		}
		if load, known := i.slots.Load(s.Name); known && !load.Down {
			return true
		}
	}
	return false
}
