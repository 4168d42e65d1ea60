package rwserve

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwconfig"
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
	platformTimeout = 2 * time.Second
	moveAfter       = 5 * time.Second
	drainPoll       = 100 * time.Millisecond
	leaveNotice     = time.Second
	shutdownTime    = 2 * time.Second
	headerTimeout   = 10 * time.Second
	idleTimeout     = 2 * time.Minute
)

// Instance is an entry instance. Set the exported fields before Run.
type Instance struct {
	Config  rwconfig.Config
	Network rwnet.Network // towards callers, backend servers and the platform
	Inner   rwnet.Network // between instances; Network if nil
	Log     logr.Logger

	incarnation uint64
	traffic     *rwnet.Traffic // between instances
	peers       *rwnet.Peers
	platform    *rwplatform.Client
	view        *rwmember.View
	settings    *rwsettings.Follower
	owner       *rwslot.Owner
	slots       *rwslot.Client
	book        *rwpoison.Registry
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
	fresh       fresh
	life        context.Context //nolint:containedctx // ends with the process
	route       sync.Mutex      // held while it is decided where copies of a request meet
}

// Init builds the parts. Run calls it; tests may call it before.
func (i *Instance) Init() {
	if i.view != nil {
		return
	}
	if i.Inner == nil {
		i.Inner = i.Network
	}
	i.traffic = &rwnet.Traffic{}
	i.Inner = rwnet.Counted{Network: i.Inner, Traffic: i.traffic}
	i.started = time.Now()
	i.incarnation = rand.Uint64()
	i.peers = rwnet.NewPeers(i.Inner)
	httpClient := rwnet.HTTPClient(i.Network)
	engines := &rwengine.Client{HTTP: httpClient}
	i.platform = &rwplatform.Client{URL: i.Config.Platform, HTTP: httpClient, Timeout: platformTimeout}
	i.view = rwmember.NewView(i.Config.Peer(), i.Config.Peers)
	i.settings = &rwsettings.Follower{Platform: i.platform, View: i.view, Peers: i.peers.Instance, Log: i.Log.WithName("settings")}
	i.owner = &rwslot.Owner{View: i.view, Tree: i.settings.Tree, Engines: engines, Log: i.Log.WithName("owner")}
	i.slots = &rwslot.Client{View: i.view, Owner: i.owner, Peers: i.peers.Instance, Log: i.Log.WithName("slots")}
	i.book = &rwpoison.Registry{}
	i.budget = &rwretry.Budget{}
	i.counters = &rwgeneration.Counters{}
	i.refusals = &rwretry.Refusals{}
	i.initRoles(engines)
}

func (i *Instance) initRoles(engines *rwengine.Client) {
	i.editor = &rwoperate.Editor{Store: i.platform, Settings: i.settings}
	i.mover = &rwmove.Mover{
		Self:   i.Config.Name,
		Tree:   i.settings.Tree,
		Editor: i.editor,
		Loads:  i.slots,
		Tell:   i.tellVerdict,
		Peers:  i.peerNames,
		Pinned: func(route, version string) int { return i.primary.Pinned(route, version) },
		Log:    i.Log.WithName("move"),
	}
	i.decider = &rwmove.Decider{
		Mover: i.mover, View: i.view, Store: i.platform, Orders: engines, Log: i.Log.WithName("decider"),
	}
	i.primary = &rwgeneration.Primary{
		Tree:     i.settings.Tree,
		Slots:    i.slots,
		Engines:  engines,
		Versions: i.mover,
		Book:     i.book,
		Budget:   i.budget,
		Refusals: i.refusals,
		Self:     i.Config.Name,
		Others:   i.others,
		Tell:     i.tell,
		Counters: i.counters,
		Log:      i.Log.WithName("primary"),
	}
	i.ledger = &routedLedger{instance: i, here: rwonce.NewLedger(i.platform, rwonce.DefaultInterval)}
	i.claims = &claims{view: i.view, peers: i.peers.Instance}
	i.gateway = &rwgateway.Gateway{
		View:      i.view,
		Tree:      i.settings.Tree,
		Primaries: &primaries{instance: i},
		Claims:    i.claims,
		Refusals:  i.refusals,
		Here:      i.primary.Runs,
		SendAway:  i.sendAway,
		Services: &rwservice.Proxy{
			Tree:   i.settings.Tree,
			Slots:  i.slots,
			Ledger: i.ledger,
			Budget: i.budget,
			Dial:   i.Network.Dial,
			Log:    i.Log.WithName("service"),
		},
		Counters: i.counters,
		Log:      i.Log.WithName("gateway"),
	}
}

// Run serves until ctx ends, then lets running answers finish or move.
func (i *Instance) Run(ctx context.Context) error {
	i.Init()
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	i.life = life
	var loops sync.WaitGroup
	for _, loop := range i.loops() {
		loops.Go(func() { loop(life) })
	}
	loops.Go(func() { _ = rwnet.Serve(life, listeners.instances, &server{instance: i}) })
	callers := httpServer(life, i.callersHandler())
	operators := httpServer(life, i.operatorsHandler())
	go func() { _ = callers.Serve(listeners.callers) }()
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

func (i *Instance) loops() []func(context.Context) {
	return []func(context.Context){
		i.settings.Run,
		i.owner.Run,
		i.slots.Run,
		i.primary.Run,
		i.exchangeLoop,
		i.listLoop,
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
	if l.instances, err = i.Inner.Listen(i.Config.Instances); err != nil {
		return l, errors.Annotate(err, "instances")
	}
	l.operators, err = i.Network.Listen(i.Config.Operators)
	return l, errors.Annotate(err, "operators")
}

func httpServer(ctx context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// drain sends new work elsewhere at once and waits for what runs here. Answers
// whose primary is here move to another instance after a moment; those whose
// caller is connected here are waited for.
func (i *Instance) drain() {
	i.Log.Info("leaving", "answers", i.gateway.Active(), "generations", i.primary.Running())
	i.view.Leave()
	until := time.Now().Add(i.Config.Drain.Or(rwconfig.DefaultDrain))
	moveAt := time.Now().Add(moveAfter)
	time.Sleep(leaveNotice)
	for time.Now().Before(until) {
		if i.gateway.Active() == 0 && i.primary.Running() == 0 {
			return
		}
		if time.Now().After(moveAt) {
			i.primary.MoveAll()
		}
		time.Sleep(drainPoll)
	}
	i.Log.Info("left with answers running", "answers", i.gateway.Active(), "generations", i.primary.Running())
}

func shutdown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}

func (i *Instance) peerNames() []string {
	var names []string
	for _, m := range i.view.Reachable() {
		names = append(names, m.Name)
	}
	return names
}

// others reports whether another instance takes new work.
func (i *Instance) others() bool {
	for _, name := range i.view.Live() {
		if name != i.Config.Name {
			return true
		}
	}
	return false
}

// Ready reports why this instance should get no requests, or nil.
func (i *Instance) Ready() error {
	if i.view.Leaving() {
		return errors.New("leaving")
	}
	if i.settings.Tree().Empty() {
		return errors.New("no settings yet")
	}
	sees, owns := i.owner.Sees()
	if owns && !sees && i.othersSee() {
		return errors.New("this instance alone can't reach the backend servers")
	}
	return nil
}

// othersSee reports whether other instances reach backend servers. When none
// does, an instance stays ready: the balancer would have no target left.
func (i *Instance) othersSee() bool {
	for _, s := range i.settings.Tree().Servers() {
		if _, mine := i.owner.Pool(s.Name); mine {
			continue
		}
		if load, known := i.slots.Load(s.Name); known && !load.Down {
			return true
		}
	}
	return false
}
