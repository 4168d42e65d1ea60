package rwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ragwortwall/platform/standin"
)

// fault is a kind of fault: it begins, and returns how it ends.
type fault struct {
	name  string
	begin func(s *Soak, at int) func()
}

// faults are all kinds of fault. at picks what is hurt.
var faults = []fault{
	{"kill", func(s *Soak, at int) func() {
		i := s.instances[at%len(s.instances)]
		i.end(syscall.SIGKILL, time.Second)
		return func() { s.again(i) }
	}},
	{"kill-all", func(s *Soak, _ int) func() {
		var ends []func()
		for _, i := range s.instances {
			i.end(syscall.SIGKILL, time.Second)
			ends = append(ends, func() { s.again(i) })
		}
		return all(ends)
	}},
	{"pause", func(s *Soak, at int) func() {
		i := s.instances[at%len(s.instances)]
		i.signal(syscall.SIGSTOP)
		return func() { i.signal(syscall.SIGCONT) }
	}},
	{"stop", func(s *Soak, at int) func() {
		i := s.instances[at%len(s.instances)]
		return func() {
			i.signal(syscall.SIGCONT)
			i.end(syscall.SIGTERM, stopGrace)
			s.again(i)
		}
	}},
	{"crash", func(s *Soak, at int) func() { return s.restart(&s.models, at) }},
	{"order-crash", func(s *Soak, at int) func() { return s.restart(&s.orders, at) }},
	{"zone-crash", func(s *Soak, at int) func() {
		var ends []func()
		for n := at % zones; n < len(s.models.Servers); n += zones {
			ends = append(ends, s.restart(&s.models, n))
		}
		return all(ends)
	}},
	{"models-down", func(s *Soak, _ int) func() {
		var ends []func()
		for n := range s.models.Servers {
			ends = append(ends, s.restart(&s.models, n))
		}
		return all(ends)
	}},
	{"mute", func(s *Soak, at int) func() {
		server := s.models.At(at)
		server.Mute(true)
		return func() { server.Mute(false) }
	}},
	{"answers-lost", func(s *Soak, _ int) func() {
		lose := func(lose bool) {
			for n := range s.orders.Servers {
				s.orders.At(n).SetLoseAnswers(lose)
			}
		}
		lose(true)
		return func() { lose(false) }
	}},
	{"leave", func(s *Soak, at int) func() {
		s.models.At(at).Leave()
		return s.restartLater(&s.models, at)
	}},
	{"store-down", func(s *Soak, _ int) func() {
		s.store.Down(true)
		return func() { s.store.Down(false) }
	}},
	{"store-slow", func(s *Soak, _ int) func() {
		s.store.SetDelay(storeSlow)
		return func() { s.store.SetDelay(0) }
	}},
	{"store-compact", func(s *Soak, _ int) func() {
		s.store.Compact()
		return func() {}
	}},
	{"model-delay", modelLink(ModeDelay)},
	{"model-reset", modelLink(ModeReset)},
	{"model-one-way", modelLink(ModeOneWay)},
	{"model-silent", modelLink(ModeSilent)},
	{"order-delay", orderLink(ModeDelay)},
	{"order-reset", orderLink(ModeReset)},
	{"order-one-way", orderLink(ModeOneWay)},
	{"order-silent", orderLink(ModeSilent)},
	{"peer-delay", peerLink(ModeDelay)},
	{"peer-reset", peerLink(ModeReset)},
	{"peer-one-way", peerLink(ModeOneWay)},
	{"peer-silent", peerLink(ModeSilent)},
	{"link-delay", link(ModeDelay)},
	{"link-reset", link(ModeReset)},
	{"link-one-way", link(ModeOneWay)},
	{"link-silent", link(ModeSilent)},
}

// storeSlow is the answer time of a slow store, as on the users' slow days.
const storeSlow = 230 * time.Millisecond

func link(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, at int) func() {
		l := s.instances[at%len(s.instances)].link
		l.Set(mode)
		return func() { l.Set(ModeSound) }
	}
}

func modelLink(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, at int) func() { return s.harmLink(s.models.At(at), mode) }
}

func orderLink(mode Mode) func(*Soak, int) func() {
	return func(s *Soak, at int) func() { return s.harmLink(s.orders.At(at), mode) }
}

// harmLink harms the link between all instances and a server.
func (s *Soak) harmLink(server *standin.Server, mode Mode) func() {
	l := s.serverLink(server)
	l.Set(mode)
	return func() { l.Set(ModeSound) }
}

func all(ends []func()) func() {
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (s *Soak) again(i *instance) {
	if err := i.start(); err != nil {
		s.broken("%s does not start again: %v", i.Name, err)
	}
}

func (s *Soak) restart(g *standin.Group, at int) func() {
	start := g.Restart(at)
	return func() {
		if err := start(); err != nil {
			s.broken("a stand-in does not start again: %v", err)
		}
		s.mislead(g, at)
	}
}

// mislead makes some of the servers go on with streams too soon or too late, all the
// time: whoever relays them must see to the order.
func (s *Soak) mislead(g *standin.Group, at int) {
	n := at % len(g.Servers)
	g.At(n).SetResumeOverlap([]int{2, 0, -2, 0, 1, 0, 0, -1}[(n+int(s.Seed%8))%8])
}

func (s *Soak) restartLater(g *standin.Group, at int) func() {
	return func() { s.restart(g, at)() }
}

// Lengths of faults.
const (
	faultLeast = 800 * time.Millisecond
	faultMost  = 3500 * time.Millisecond
	keyWhen    = 0.3 // part of the run after which the second key is taken away
)

// blow is one fault of a schedule.
type blow struct {
	at, length time.Duration
	kind       int
	on         int
}

// schedule returns the faults of a seed. Faults overlap, but for those of the
// same process or server, so that each has its own end.
func schedule(random *rand.Rand, length time.Duration) []blow {
	var blows []blow
	for at := time.Duration(0); at < length; {
		at += time.Duration(float64(faultsEvery) * (0.3 + random.ExpFloat64()))
		blows = append(blows, blow{
			at: at, length: faultLeast + time.Duration(random.Int64N(int64(faultMost-faultLeast))),
			kind: random.IntN(len(faults)), on: random.IntN(1 << 16),
		})
	}
	return blows
}

// harm plays the schedule and waits until all faults have ended.
func (s *Soak) harm(ctx context.Context) {
	began := time.Now()
	var work sync.WaitGroup
	busy := map[string]bool{}
	var mu sync.Mutex
	work.Go(func() {
		time.Sleep(time.Duration(keyWhen * float64(s.Length)))
		s.takeKey()
	})
	for _, b := range schedule(s.random(), s.Length) {
		select {
		case <-ctx.Done():
		case <-time.After(b.at - time.Since(began)):
		}
		target := b.target(s)
		mu.Lock()
		taken := busy[target]
		busy[target] = true
		mu.Unlock()
		if taken || ctx.Err() != nil {
			continue
		}
		kind := faults[b.kind]
		s.mu.Lock()
		s.report.Faults = append(s.report.Faults, fmt.Sprintf("%.1f %s %s %.1f", b.at.Seconds(), kind.name, target, b.length.Seconds()))
		s.mu.Unlock()
		end := kind.begin(s, b.on)
		work.Go(func() {
			time.Sleep(b.length)
			end()
			mu.Lock()
			defer mu.Unlock()
			delete(busy, target)
		})
	}
	work.Wait()
}

// takeKey takes the second key away while one instance stands still for longer
// than the bound: it must not serve by what it knew when it goes on.
func (s *Soak) takeKey() {
	still := s.instances[s.Seed%uint64(len(s.instances))]
	still.signal(syscall.SIGSTOP)
	s.store.Configure(standin.Version{Number: 2, Keys: []string{standin.Key}})
	s.revoked.Store(time.Now().UnixMilli())
	time.Sleep(standin.RevokeTime + time.Second)
	still.signal(syscall.SIGCONT)
}

// target names what a fault hurts: two faults of one target do not overlap.
func (b blow) target(s *Soak) string {
	switch faults[b.kind].name {
	case "kill", "pause", "stop":
		return "process " + s.instances[b.on%len(s.instances)].Name
	case "kill-all":
		return "processes"
	case "crash", "zone-crash", "models-down", "mute", "leave":
		return "models"
	case "model-delay", "model-reset", "model-one-way", "model-silent":
		return "link " + s.models.At(b.on).ID
	case "order-delay", "order-reset", "order-one-way", "order-silent":
		return "link " + s.orders.At(b.on).ID
	case "order-crash", "answers-lost":
		return "orders"
	case "peer-delay", "peer-reset", "peer-one-way", "peer-silent":
		return "peers " + s.instances[b.on%len(s.instances)].Name
	case "store-down", "store-slow", "store-compact":
		return "store"
	default:
		return "link " + s.instances[b.on%len(s.instances)].Name
	}
}
