package rwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"
)

// Terms of the runs in which losses are hard to judge: an instance can't tell whether servers or
// its paths to them were lost, or whether the store was away or it was cut off from it.
const (
	lossesStream = 15 // number of the random source

	heartbeat   = 1200 * time.Millisecond // of the servers
	entryExpiry = 3 * heartbeat           // until the store removes a silent server's entry

	maxLossesStart = 3 * time.Second // until the instances of a zone leave for good
	minDownTime    = time.Second     // of crashed servers
	maxDownTime    = 3500 * time.Millisecond
	minCrashPause  = 2 * time.Second // between two rounds of the request that crashes servers
	maxCrashPause  = 6 * time.Second
	crashAttempts  = 2 // of a caller in each round, each at another instance

	minStoreCut   = time.Second // of single instances
	maxStoreCut   = 5500 * time.Millisecond
	minCutPause   = 500 * time.Millisecond
	maxCutPause   = 3 * time.Second
	maxLeaveDelay = 1500 * time.Millisecond // from the end of a cut until servers leave
	leaveInterval = 150 * time.Millisecond  // between two of them, at most
	servingTime   = 4 * time.Second         // for which they go on
	leavingShare  = 4                       // one in so many leaves at a time
	leaveServers  = 24

	lossReadPath     = "/looks/loss?at="
	lossReadInterval = 30 * time.Millisecond
	lossReaders      = 4 // for each instance
	lossReadTimeout  = 5 * time.Second
)

// lossesRun is the state of a run with Losses. Runs with an even seed crash all servers of a
// service with a request; in those with an odd one servers leave without a word.
type lossesRun struct {
	sentTo  map[string]sentTo // by id of the request
	left    []departure
	servers standin.Group   // those that leave, the next one first; guarded by leaving
	leaving sync.Mutex      // held while servers leave
	crash   map[string]bool // ids of the requests that crash servers
}

// sentTo is when a request was sent, and to which instance.
type sentTo struct {
	instance string
	at       time.Time
}

// departure is the removal of a server's entry.
type departure struct {
	server *standin.Server
	at     time.Time
}

func (s *Soak) crashesServers() bool { return s.Seed%2 == 0 }

// inOneZone reports whether all instances are in one zone, rather than that one zone's leave.
func (s *Soak) inOneZone() bool { return s.Losses && s.Seed%4 == 0 }

// prepareLosses sets how servers crash, and adds those that leave.
func (s *Soak) prepareLosses() error {
	s.PlannedOnly = true
	s.losses.sentTo, s.losses.crash = map[string]sentTo{}, map[string]bool{}
	if s.crashesServers() {
		random := s.newRandom(lossesStream)
		s.fleet.CrashPath, s.fleet.CrashDelay = poisonPath, 10*time.Millisecond
		s.fleet.RestartDelay = randomBetween(random, minDownTime, maxDownTime)
		s.fleet.NewAddress, s.fleet.EntryExpiry = random.IntN(2) == 0, entryExpiry
		return nil
	}
	for n := range leaveServers {
		if err := s.startServer(&s.losses.servers, standin.OrderService, n, false); err != nil {
			return err
		}
	}
	return nil
}

// runLosses plays the run until ctx ends.
func (s *Soak) runLosses(ctx context.Context) {
	random := s.newRandom(lossesStream + 1)
	var running sync.WaitGroup
	running.Go(func() { s.readBesideLosses(ctx) })
	if s.crashesServers() {
		zone, after := random.IntN(zones), time.Duration(random.Int64N(int64(maxLossesStart)))
		if !s.inOneZone() {
			running.Go(func() { s.loseZone(ctx, zone, after) })
		}
		running.Go(func() { s.crashAllServers(ctx, s.newRandom(lossesStream+2)) })
	}
	running.Go(func() { s.cutFromStore(ctx, s.newRandom(lossesStream+3)) })
	running.Wait()
}

// loseZone kills the instances of a zone, which come back at the end of the run only.
func (s *Soak) loseZone(ctx context.Context, zone int, after time.Duration) {
	sleepUntil(ctx, after)
	for _, i := range s.instances {
		if i.Zone == standin.Zone(zone) {
			disturbed, interrupted := s.disturb("process "+i.Name), s.interrupt(i.Name)
			i.terminate(syscall.SIGKILL, time.Second)
			defer func() {
				s.restartInstance(i)
				disturbed()
				interrupted()
			}()
		}
	}
	<-ctx.Done()
}

// crashAllServers has a caller send the request that crashes servers, and repeat it at another
// instance, again and again.
func (s *Soak) crashAllServers(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		order := random.Perm(len(s.instances))
		for _, n := range order[:min(crashAttempts, len(order))] {
			s.sendLossRead(ctx, s.instances[n], poisonPath, true)
		}
		rwtime.Sleep(ctx, randomBetween(random, minCrashPause, maxCrashPause))
	}
}

// sendLossRead sends a read to an instance and records it.
func (s *Soak) sendLossRead(ctx context.Context, i *instance, path string, crashes bool) {
	ctx, cancel := context.WithTimeout(ctx, lossReadTimeout)
	defer cancel()
	c := standin.NewCaller(standin.Key, func() string { return i.CallerAddress })
	_, _ = c.SendPlain(ctx, http.MethodGet, path, func(id string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.losses.sentTo[id] = sentTo{i.Name, time.Now()}
		s.losses.crash[id] = crashes
	})
}

// readBesideLosses sends sound reads to all instances until ctx ends.
func (s *Soak) readBesideLosses(ctx context.Context) {
	var running sync.WaitGroup
	for _, i := range s.instances {
		for k := range lossReaders {
			running.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					s.sendLossRead(ctx, i, fmt.Sprintf("%s%d-%d", lossReadPath, k, n), false)
					rwtime.Sleep(ctx, lossReadInterval)
				}
			})
		}
	}
	running.Wait()
}

// cutFromStore cuts single instances off from the store, one after the other, and half of the time
// another one beside it. Just after a cut servers leave.
func (s *Soak) cutFromStore(ctx context.Context, random *rand.Rand) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for ctx.Err() == nil {
		order := random.Perm(len(s.instances))
		cut := order[:1+random.IntN(2)]
		length := randomBetween(random, minStoreCut, maxStoreCut)
		var ends []func()
		for _, n := range cut {
			i := s.instances[n]
			disturbed := s.disturb("link " + i.Name)
			i.storeProxy.SetMode(ModeSilent)
			ends = append(ends, func() {
				i.storeProxy.Heal()
				disturbed()
			})
		}
		rwtime.Sleep(ctx, length)
		endAll(ends)()
		if !s.crashesServers() && ctx.Err() == nil {
			delay, seed := time.Duration(random.Int64N(int64(maxLeaveDelay))), random.Uint64()
			leaving.Go(func() {
				sleepUntil(ctx, delay)
				s.leaveWithoutWord(rand.New(rand.NewPCG(s.Seed, seed)))
			})
		}
		rwtime.Sleep(ctx, randomBetween(random, minCutPause, maxCutPause))
	}
}

// leaveWithoutWord removes the entries of some order servers, which go on for servingTime, and
// starts others.
func (s *Soak) leaveWithoutWord(random *rand.Rand) {
	s.losses.leaving.Lock()
	defer s.losses.leaving.Unlock()
	for range leaveServers / leavingShare {
		server := s.losses.servers.Servers[0]
		s.losses.servers.Servers = s.losses.servers.Servers[1:]
		s.store.Delete("servers", server.ID)
		s.mu.Lock()
		s.losses.left = append(s.losses.left, departure{server, time.Now()})
		s.mu.Unlock()
		time.AfterFunc(servingTime, server.Crash)
		if err := s.startServer(&s.losses.servers, standin.OrderService, random.IntN(zones), false); err != nil {
			s.addViolation("a stand-in server does not start: %v", err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(leaveInterval))))
	}
}

// checkLosses checks that the request was kept from the servers once it was known, and that servers
// that left got no requests from instances in touch.
func (s *Soak) checkLosses() {
	s.checkLossCrashes()
	for _, d := range s.losses.left {
		late := 0
		for id, sent := range s.losses.sentTo {
			for _, arrival := range s.fleet.Record(id).Arrivals {
				if arrival.Server == d.server.Address && arrival.At.Sub(d.at) > drainTime && s.inTouch(sent.instance, sent.at) {
					late++
				}
			}
		}
		if late > 0 {
			s.addViolation("DRAIN: server %s got %d requests from instances in touch later than %s after its entry was removed", d.server.ID, late, drainTime)
		}
	}
}

func (s *Soak) checkLossCrashes() {
	crashes := s.fleet.Crashes()
	if !s.Losses || len(crashes) < 3 {
		return
	}
	late := map[string]bool{}
	for id, crashing := range s.losses.crash {
		sent := s.losses.sentTo[id]
		arrivals := s.fleet.Record(id).Arrivals
		reached := slices.ContainsFunc(arrivals, func(a standin.Arrival) bool { return a.At.Sub(crashes[2].At) > contactTime })
		if crashing && reached && s.inTouch(sent.instance, sent.at) {
			late[id] = true
		}
	}
	if len(late) > maxLateRetries {
		s.addViolation("BUDGET: a request that crashes servers reached them in %d retries by instances in touch later than %s after the third crash; %d crashed in all", len(late), contactTime, len(crashes))
	}
}
