package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// Figures of the case "silent", from the moment at which open channels go silent.
const (
	startBefore = 100 * time.Millisecond // another server was started
	drainAt     = 500 * time.Millisecond // a server reports that it drains
	drainBound  = 2 * time.Second        // drain_ms
	serveUntil  = 8 * time.Second        // the draining server goes on
	orderRate   = 60                     // requests a second
)

// Figures of the case "unseen".
const (
	moveAt         = 3200 * time.Millisecond // a roll-out is ordered, from the moment at which channels go silent
	moveSeconds    = 15
	moveFailsEvery = 10 // answers of the bad version
	exposureShare  = 0.1
	exposureSlack  = 50
	movesRate      = 84
)

// runUnseen lets the open channels to the store go silent, while new ones work. Once all instances
// are in touch again, the operator orders a roll-out, to a version that is bad. It must not get
// more than its share of the requests.
func runUnseen(w *world) (bool, error) {
	o := &orders{world: w}
	defer o.close()
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	zones := []string{"amman-a", "amman-b", "amman-c"}
	for _, zone := range zones {
		if _, err := o.start("i-"+zone, zone); err != nil {
			return false, err
		}
	}
	links, err := w.startBehindLinks(zones)
	if err != nil {
		return false, err
	}
	defer closeLinks(links)
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	var load sync.WaitGroup
	sent := &sentTimes{at: map[string]time.Time{}}
	load.Go(func() { w.sendOrders(end, movesRate, sent) })
	time.Sleep(2 * time.Second)
	// An order for another service: all instances have just begun a new watch on the orders.
	w.store.Put("rollouts", standin.ModelService, map[string]any{"service": standin.ModelService, "target": "v2", "duration_s": 60})
	w.log("the operator orders v2 of %s, which has no servers yet", standin.ModelService)
	time.Sleep(startBefore)
	silentAt := time.Now()
	if w.trouble {
		w.log("the open channels of all instances to the store go silent; new ones work")
		for _, l := range links {
			l.silence()
		}
	}
	sleepUntil(silentAt.Add(moveAt))
	w.store.Put("rollouts", standin.OrderService, map[string]any{"service": standin.OrderService, "target": "v2", "duration_s": moveSeconds})
	ordered := time.Now()
	w.log("the operator orders v2 of %s, within %d s", standin.OrderService, moveSeconds)
	for _, zone := range zones {
		if _, err := o.startVersion("i-v2-"+zone, zone, "v2", moveFailsEvery); err != nil {
			return false, err
		}
	}
	sleepUntil(ordered.Add(moveSeconds * time.Second))
	close(end)
	load.Wait()
	w.log("status of the order: %s", w.store.Status("rollouts", standin.OrderService))
	return o.judgeExposure(ordered), nil
}

// judgeExposure reports whether the bad version got more than its share between the order and its
// time budget.
func (o *orders) judgeExposure(ordered time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	total, bad, failed := 0, 0, 0
	bySecond := make([]int, moveSeconds)
	for _, a := range o.arrivals {
		since := a.at.Sub(ordered)
		if since < 0 || since >= moveSeconds*time.Second {
			continue
		}
		total++
		if a.version == "v2" {
			bad++
			bySecond[int(since.Seconds())]++
			if a.failed {
				failed++
			}
		}
	}
	allowed := exposureShare*float64(total) + exposureSlack
	o.world.log("%d requests reached the service in %d s; %d of them the bad version, which failed %d; allowed %.0f; by second: %v", total, moveSeconds, bad, failed, allowed, bySecond)
	return float64(bad) > allowed
}

// runSilent lets the open channels to the store go silent, while new ones work. A server drains
// meanwhile. Instances that are in touch again must not send it requests.
func runSilent(w *world) (bool, error) {
	o := &orders{world: w}
	defer o.close()
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	zones := []string{"amman-a", "amman-b", "amman-c"}
	var first *orderServer
	for _, zone := range zones {
		s, err := o.start("i-"+zone, zone)
		if err != nil {
			return false, err
		}
		first = s
	}
	var links []*link
	machines := []string{"amman-a", "amman-a", "amman-a", "amman-b", "amman-b", "amman-c"} // as on the users' sheet
	for range machines {
		l, err := newLink(w.storeAPI.Listener.Addr().String())
		if err != nil {
			return false, err
		}
		defer l.close()
		links = append(links, l)
		w.storeAddresses = append(w.storeAddresses, l.listener.Addr().String())
	}
	if err := w.startInstances(machines...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	var load sync.WaitGroup
	sent := &sentTimes{at: map[string]time.Time{}}
	load.Go(func() { w.sendOrders(end, orderRate, sent) })
	time.Sleep(2 * time.Second)
	if _, err := o.start("i-new", zones[0]); err != nil {
		return false, err
	}
	time.Sleep(startBefore)
	silentAt := time.Now()
	if w.trouble {
		w.log("the open channels of all instances to the store go silent; new ones work")
		for _, l := range links {
			l.silence()
		}
	}
	sleepUntil(silentAt.Add(drainAt))
	acknowledged := first.register("draining")
	sleepUntil(silentAt.Add(serveUntil))
	close(end)
	load.Wait()
	return o.judgeDrain(first.id, silentAt, acknowledged, sent), nil
}

// judgeDrain reports whether requests reached a draining server too late, taken and sent on by
// instances that had been without a disturbance for contact_ms.
func (o *orders) judgeDrain(server string, silentAt, acknowledged time.Time, sent *sentTimes) bool {
	inTouch, bound := silentAt.Add(contact), acknowledged.Add(drainBound)
	o.mu.Lock()
	defer o.mu.Unlock()
	broken, total := 0, 0
	var latest time.Time
	for _, a := range o.arrivals {
		if total++; a.server != server {
			continue
		}
		latest = a.at
		if at, ok := sent.get(a.id); ok && at.After(inTouch) && a.at.After(bound) {
			broken++
			o.world.log("BROKEN: request %s, sent %.3f s after the channels went silent, reached server %s %.3f s after the ack of its draining", a.id, at.Sub(silentAt).Seconds(), server, a.at.Sub(acknowledged).Seconds())
		}
	}
	o.world.log("%d requests reached servers; the last one at %s came %.3f s after the ack of its draining; %d too late, from instances in touch", total, server, latest.Sub(acknowledged).Seconds(), broken)
	return broken > 0
}

// sentTimes holds when requests were sent, by id.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *sentTimes) get(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[id]
	return at, ok
}

func (s *sentTimes) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = time.Now()
}

// sendOrders sends orders to the instances in turn until the channel is closed.
func (w *world) sendOrders(end <-chan struct{}, rate int, times *sentTimes) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		times.add(id)
		sent.Go(func() { w.orderAs(id, w.instances[n%len(w.instances)]) })
	}
}

// link is a network path whose open channels can go silent for good, without a reset.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	epoch int // channels of earlier ones are silent
	conns []net.Conn
}

func newLink(target string) (*link, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go l.accept()
	return l, nil
}

// startBehindLinks starts an instance in each of the zones, which reaches the store over a link of
// its own.
func (w *world) startBehindLinks(zones []string) ([]*link, error) {
	var links []*link
	for range zones {
		l, err := newLink(w.storeAPI.Listener.Addr().String())
		if err != nil {
			return links, err
		}
		links = append(links, l)
		w.storeAddresses = append(w.storeAddresses, l.listener.Addr().String())
	}
	return links, w.startInstances(zones...)
}

func closeLinks(links []*link) {
	for _, l := range links {
		l.close()
	}
}

// silence makes the open channels silent.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l.mu.Lock()
		epoch := l.epoch
		l.conns = append(l.conns, client, upstream)
		l.mu.Unlock()
		go l.forward(client, upstream, epoch)
		go l.forward(upstream, client, epoch)
	}
}

// forward passes bytes on until either end closes. What comes on a silent channel is dropped, also
// its end.
func (l *link) forward(from, to net.Conn, epoch int) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.epoch != epoch
		l.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if silent {
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
