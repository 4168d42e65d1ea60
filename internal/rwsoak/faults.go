package rwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"ragwortwall/platform/standin"
)

// fault is a kind of fault. inject starts it at the target with an index and returns
// the function that ends it.
type fault struct {
	name        string
	inject      func(s *Soak, index int) func()
	target      string        // see targetName; if empty, it depends on the name and the index
	maxDuration time.Duration // maxFaultDuration if zero
	duration    time.Duration // random if zero
}

// faults lists all kinds of fault. The index selects the target, modulo the number of
// targets.
var faults = []fault{
	{name: "kill", inject: func(s *Soak, index int) func() {
		i := s.instances[index%len(s.instances)]
		i.terminate(syscall.SIGKILL, time.Second)
		return func() { s.restartInstance(i) }
	}},
	{name: "kill-all", inject: func(s *Soak, _ int) func() {
		var ends []func()
		for _, i := range s.instances {
			i.terminate(syscall.SIGKILL, time.Second)
			ends = append(ends, func() { s.restartInstance(i) })
		}
		return endAll(ends)
	}},
	{name: "pause", inject: func(s *Soak, index int) func() {
		i := s.instances[index%len(s.instances)]
		i.signal(syscall.SIGSTOP)
		return func() { i.signal(syscall.SIGCONT) }
	}},
	{name: "stop", inject: func(s *Soak, index int) func() { // stops and restarts at the fault's end
		i := s.instances[index%len(s.instances)]
		return func() {
			i.signal(syscall.SIGCONT)
			s.stopWith(i)
		}
	}},
	{name: "crash", inject: func(s *Soak, index int) func() { return s.crashServer(&s.modelServers, index) }},
	{name: "order-crash", inject: func(s *Soak, index int) func() { return s.crashServer(&s.orderServers, index) }},
	{name: "zone-crash", inject: func(s *Soak, index int) func() {
		var ends []func()
		for n := index % zones; n < len(s.modelServers.Servers); n += zones {
			ends = append(ends, s.crashServer(&s.modelServers, n))
		}
		return endAll(ends)
	}},
	{name: "models-down", inject: func(s *Soak, _ int) func() {
		var ends []func()
		for n := range s.modelServers.Servers {
			ends = append(ends, s.crashServer(&s.modelServers, n))
		}
		return endAll(ends)
	}},
	{name: "mute", inject: func(s *Soak, index int) func() {
		server := s.modelServers.At(index)
		server.Mute(true)
		return func() { server.Mute(false) }
	}},
	{name: "answers-lost", inject: func(s *Soak, _ int) func() {
		lose := func(lose bool) {
			for n := range s.orderServers.Servers {
				s.orderServers.At(n).SetLoseAnswers(lose)
			}
		}
		lose(true)
		return func() { lose(false) }
	}},
	{name: "leave", inject: func(s *Soak, index int) func() {
		s.modelServers.At(index).StartDraining() // the drained server is replaced at the fault's end
		return s.crashServerLater(&s.modelServers, index)
	}},
	{name: "store-down", inject: func(s *Soak, _ int) func() {
		s.store.SetDown(true)
		return func() { s.store.SetDown(false) }
	}},
	{name: "store-slow", inject: func(s *Soak, _ int) func() {
		s.store.SetDelay(slowStoreDelay)
		return func() { s.store.SetDelay(0) }
	}},
	{name: "store-compact", inject: func(s *Soak, _ int) func() {
		s.store.Compact()
		return func() {}
	}},
	{name: "store-back", inject: func(s *Soak, _ int) func() { // the store comes back as it was at the fault's begin
		s.store.Snapshot()
		return s.restoreStore
	}},
	{name: "model-delay", inject: modelProxyFault(ModeDelay)},
	{name: "model-reset", inject: modelProxyFault(ModeReset)},
	{name: "model-one-way", inject: modelProxyFault(ModeOneWay)},
	{name: "model-silent", inject: modelProxyFault(ModeSilent)},
	{name: "order-delay", inject: orderProxyFault(ModeDelay)},
	{name: "order-reset", inject: orderProxyFault(ModeReset)},
	{name: "order-one-way", inject: orderProxyFault(ModeOneWay)},
	{name: "order-silent", inject: orderProxyFault(ModeSilent)},
	{name: "peer-delay", inject: peerProxyFault(ModeDelay)},
	{name: "peer-reset", inject: peerProxyFault(ModeReset)},
	{name: "peer-one-way", inject: peerProxyFault(ModeOneWay)},
	{name: "peer-silent", inject: peerProxyFault(ModeSilent)},
	{name: "link-delay", inject: storeProxyFault(ModeDelay)},
	{name: "link-reset", inject: storeProxyFault(ModeReset)},
	{name: "link-one-way", inject: storeProxyFault(ModeOneWay)},
	{name: "link-silent", inject: storeProxyFault(ModeSilent)},
}

// slowStoreDelay is the answer time of a slow store, as the users see it on days when
// their store is slow.
const slowStoreDelay = 230 * time.Millisecond

// storeProxyFault returns the inject function of a network fault between an instance
// and the store.
func storeProxyFault(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, index int) func() {
		proxy := s.instances[index%len(s.instances)].storeProxy
		proxy.SetMode(mode)
		return func() { proxy.SetMode(ModeNormal) }
	}
}

func modelProxyFault(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, index int) func() { return s.setServerProxyMode(s.modelServers.At(index), mode) }
}

// orderProxyFault returns the inject function of a network fault between all instances
// and an order server.
func orderProxyFault(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, index int) func() { return s.setServerProxyMode(s.orderServers.At(index), mode) }
}

// setServerProxyMode injects a network fault between all instances and a server. It
// returns the function that ends the fault.
func (s *Soak) setServerProxyMode(server *standin.Server, mode Mode) func() {
	proxy := s.serverProxy(server)
	proxy.SetMode(mode)
	return func() { proxy.SetMode(ModeNormal) }
}

func endAll(ends []func()) func() {
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// restartInstance starts an instance whose process has ended.
func (s *Soak) restartInstance(i *instance) {
	if err := i.start(); err != nil {
		s.addViolation("instance %s does not start again: %v", i.Name, err)
	}
}

// crashServer crashes a server and returns the function that starts its replacement.
func (s *Soak) crashServer(group *standin.Group, index int) func() {
	start := group.Restart(index)
	return func() {
		if err := start(); err != nil {
			s.addViolation("a stand-in server does not start again: %v", err)
		}
		s.setResumeOverlap(group, index)
	}
}

// setResumeOverlap makes some servers resume streams some events before or after the
// requested one, for the whole run: instances must drop repeated events and detect
// gaps.
func (s *Soak) setResumeOverlap(group *standin.Group, index int) {
	n := index % len(group.Servers)
	overlap := []int{2, 0, -2, 0, 1, 0, 0, -1}[(n+int(s.Seed%8))%8]
	if s.PlannedOnly {
		overlap = max(0, overlap) // a server that leaves out events is not sound
	}
	group.At(n).SetResumeOverlap(overlap)
}

// crashServerLater returns a function that crashes a server and starts its
// replacement.
func (s *Soak) crashServerLater(group *standin.Group, index int) func() {
	return func() { s.crashServer(group, index)() }
}

// pathStream is the number of the random source of the path faults.
const pathStream = 9

// Durations of faults, and the time of the revocation.
const (
	minFaultDuration = 800 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	revokeFraction   = 0.3 // fraction of the run after which standin.RevocableKey is revoked
)

// scheduledFault is one fault of a schedule.
type scheduledFault struct {
	start, duration time.Duration
	kind            fault
	targetIndex     int
}

// schedule returns faults of the given kinds for a random source, in order of their start.
// They may overlap.
func schedule(random *rand.Rand, duration time.Duration, kinds []fault) []scheduledFault {
	var planned []scheduledFault
	for start := time.Duration(0); start < duration; {
		start += time.Duration(float64(faultInterval) * (0.3 + random.ExpFloat64()))
		f := scheduledFault{
			start: start, duration: time.Duration(random.Int64N(int64(maxFaultDuration - minFaultDuration))),
			kind: kinds[random.IntN(len(kinds))], targetIndex: random.IntN(1 << 16),
		}
		if limit := f.kind.maxDuration; limit > 0 {
			f.duration %= limit - minFaultDuration
		}
		f.duration += minFaultDuration
		if f.kind.duration > 0 {
			f.duration = f.kind.duration
		}
		planned = append(planned, f)
	}
	return planned
}

// injectFaults runs the schedules of faults and of ordinary events and waits until all of
// them have ended. Each schedule has its own random source, so that a seed's faults stay
// the same when kinds of events are added.
func (s *Soak) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	kinds := plannedWork()
	if !s.PlannedOnly {
		kinds = faults
		running.Go(func() {
			time.Sleep(time.Duration(revokeFraction * float64(s.Duration)))
			s.revokeKey()
		})
	}
	running.Go(func() { s.runSchedule(ctx, schedule(s.newRandom(1), s.Duration, kinds)) })
	running.Go(func() { s.runSchedule(ctx, schedule(s.newRandom(2), s.Duration, s.ordinaryEvents())) })
	if s.Stops {
		running.Go(func() { s.runSchedule(ctx, schedule(s.newRandom(stopsStream), s.Duration, stopEvents)) })
	}
	if s.Paths {
		running.Go(func() { s.runSchedule(ctx, schedule(s.newRandom(pathStream), s.Duration, pathFaults)) })
	}
	if s.Former != "" {
		running.Go(func() { s.runSchedule(ctx, s.upgrades()) })
	}
	running.Wait()
}

// plannedWork returns the faults that are announced: graceful stops of instances and drains
// of servers.
func plannedWork() []fault {
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return f.name != "stop" && f.name != "leave" })
}

// runSchedule injects faults and waits until all have ended. It skips a fault while another
// one of the same target lasts, since the end of one would end both.
func (s *Soak) runSchedule(ctx context.Context, planned []scheduledFault) {
	startedAt := time.Now()
	var running sync.WaitGroup
	busyTargets := map[string]bool{}
	var mu sync.Mutex
	for _, f := range planned {
		select {
		case <-ctx.Done():
		case <-time.After(f.start - time.Since(startedAt)):
		}
		target := f.targetName(s)
		mu.Lock()
		isBusy := busyTargets[target]
		busyTargets[target] = true
		mu.Unlock()
		if isBusy || ctx.Err() != nil {
			continue
		}
		s.mu.Lock()
		s.report.Faults = append(s.report.Faults, fmt.Sprintf("%.1f %s %s %.1f", f.start.Seconds(), f.kind.name, target, f.duration.Seconds()))
		s.mu.Unlock()
		disturbanceEnd, interruptionEnd := s.disturb(target), s.interrupt(f.interrupted(s)...)
		end := f.kind.inject(s, f.targetIndex)
		running.Go(func() {
			time.Sleep(f.duration)
			end()
			disturbanceEnd()
			interruptionEnd()
			mu.Lock()
			defer mu.Unlock()
			delete(busyTargets, target)
		})
	}
	running.Wait()
}

// revokeKey revokes standin.RevocableKey while one instance is paused for longer than
// standin.MaxRevocationDelay. After the pause, that instance must not accept the key
// because of its outdated settings.
func (s *Soak) revokeKey() {
	paused := s.instances[s.Seed%uint64(len(s.instances))]
	defer s.disturb("process " + paused.Name)()
	defer s.interrupt(paused.Name)()
	paused.signal(syscall.SIGSTOP)
	s.configure(func(c *standin.Configuration) { c.Keys = []string{standin.Key} })
	s.revokedAt.Store(time.Now().UnixMilli())
	time.Sleep(standin.MaxRevocationDelay + time.Second)
	paused.signal(syscall.SIGCONT)
}

// targetName names the target of a fault. Faults with the same name don't overlap.
func (f scheduledFault) targetName(s *Soak) string {
	if f.kind.target != "" {
		return f.kind.target
	}
	switch f.kind.name {
	case "kill", "pause", "stop", "stop-again", replacement.name:
		return "process " + s.instances[f.targetIndex%len(s.instances)].Name
	case "kill-all":
		return "processes"
	case "crash", "zone-crash", "models-down", "mute", "leave":
		return "models"
	case "model-delay", "model-reset", "model-one-way", "model-silent":
		return "link " + s.modelServers.At(f.targetIndex).ID
	case "order-delay", "order-reset", "order-one-way", "order-silent":
		return "link " + s.orderServers.At(f.targetIndex).ID
	case "order-crash", "answers-lost":
		return "orders"
	case "peer-delay", "peer-reset", "peer-one-way", "peer-silent":
		return "peers " + s.instances[f.targetIndex%len(s.instances)].Name
	case "store-down", "store-slow", "store-compact", "store-back":
		return "store"
	default:
		return "link " + s.instances[f.targetIndex%len(s.instances)].Name
	}
}
