package rwforward

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwall/internal/rwadmit"
	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
)

// Waiting for room before the first attempt of a stream, where the routes of a service differ
// in priority. Package rwadmit decides; here is what waits, and what wakes it.

const (
	// minTurnInterval and maxTurnInterval are the times between two rounds in which waiting
	// streams are let go. Notices of runs take a few milliseconds; the spread keeps
	// instances from letting their streams go at the same moment.
	minTurnInterval = 60 * time.Millisecond
	maxTurnInterval = 140 * time.Millisecond
	// recentPlacements is the time over which the streams that all instances place are counted, and
	// trafficAge how long a count is used.
	recentPlacements = 3 * time.Second
	trafficAge       = 300 * time.Millisecond
	// minLife is how long a stream is assumed to take at least.
	minLife = time.Second
	// silentTrials is the part of the streams that can wait that may try a server which was lost
	// and isn't known to be back.
	silentTrials = 0.2
	// turnMargin is left of the target for what follows the wait: the server's connection and
	// the way of the first event.
	turnMargin = 200 * time.Millisecond
	// organisationDigits is the length of an organisation's digest in notices.
	organisationDigits = 6
)

// turns holds the streams that wait at this instance, by service. The zero value is ready to
// use.
type turns struct {
	mu       sync.Mutex
	services map[string]*serviceTurns
}

// serviceTurns holds those of one service. It is guarded by the mutex of turns.
type serviceTurns struct {
	queue     rwadmit.Queue
	waiting   map[*rwadmit.Waiter]*turn
	running   bool // rounds are held
	traffic   rwadmit.Traffic
	trafficAt time.Time
	life      time.Duration // of a stream, with traffic
}

// turn is one stream's place in the queue.
type turn struct {
	stream *stream
	result chan error // nil when it may go
}

// competes reports whether the stream may have to wait: it has not begun, and others of its
// service are more or less urgent.
func (s *stream) competes() bool {
	e := s.service.Engine
	return s.urgency.Graded() && e.Slots > 0 && e.Memory > 0 && s.attempts == 0 && !s.info.Resumed && !s.headerSent
}

// awaitTurn returns where the next attempt runs, as awaitTarget does, once it is the stream's
// turn.
func (s *stream) awaitTurn() (attemptTarget, error) {
	if !s.competes() {
		return s.awaitTarget()
	}
	w := s.waiter(time.Now(), s.f.streamLife(s.service.Name))
	for lost := false; ; lost = true {
		if err := s.takeTurn(w, lost); err != nil {
			return attemptTarget{}, err
		}
		target, err := s.awaitTarget()
		if err == nil || !s.noRoom || s.ceiling == (rwadmit.Ceiling{}) {
			return target, err
		}
	}
}

// takeTurn waits for the stream's turn. lost says that others took the room when it had its turn
// before.
func (s *stream) takeTurn(w *rwadmit.Waiter, lost bool) error {
	now := time.Now()
	s.ceiling = w.Ceiling(s.engine(), now)
	room := s.room(s.ceiling)
	if room.Servers == 0 {
		s.ceiling = rwadmit.Ceiling{} // no server is known to work: as without turns
		return nil
	}
	t := s.f.turns.of(s.service.Name)
	s.f.turns.mu.Lock()
	traffic := s.f.trafficLocked(t, s.service.Name, now)
	verdict, wait := t.queue.Arrive(w, room, traffic, now, lost)
	if verdict != rwadmit.Waits {
		s.f.turns.mu.Unlock()
		if verdict == rwadmit.Goes {
			return nil
		}
		s.countTurn("rejected")
		return s.noTurnError(w, wait, room, traffic)
	}
	own := &turn{stream: s, result: make(chan error, 1)}
	t.waiting[w] = own
	if !t.running {
		t.running = true
		go s.f.holdRounds(s.service.Name, t)
	}
	ahead := t.queue.Len() - 1
	s.f.turns.mu.Unlock()
	if !lost {
		s.countTurn("waited")
	}
	s.f.Log.Info("stream waits for room", "request", s.info.ID, "grade", s.grade(), "here", ahead, "expected", wait.Seconds(), "room", room.Streams,
		"fill", room.Fill, "servers", room.Servers, "instances", traffic.Instances, "rate", traffic.Rate, "again", lost)
	select {
	case err := <-own.result:
		if err != nil {
			return err
		}
		s.f.Counters.recordLatency(latencyTurn, time.Since(now))
		s.f.Log.Info("stream's turn", "request", s.info.ID, "waited", time.Since(now).Seconds(), "aged", w.Aged(time.Now()))
		s.ceiling = w.Ceiling(s.engine(), time.Now())
		return nil
	case <-s.r.Context().Done():
		s.f.turns.leave(t, w)
		s.countTurn("left")
		return s.r.Context().Err()
	}
}

// of returns the streams that wait for a service.
func (q *turns) of(service string) *serviceTurns {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.services == nil {
		q.services = map[string]*serviceTurns{}
	}
	t, ok := q.services[service]
	if !ok {
		t = &serviceTurns{waiting: map[*rwadmit.Waiter]*turn{}}
		q.services[service] = t
	}
	return t
}

func (q *turns) leave(t *serviceTurns, w *rwadmit.Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t.queue.Remove(w)
	delete(t.waiting, w)
}

// holdRounds lets the waiting streams of a service go in turn, until none waits.
func (f *Forwarder) holdRounds(service string, t *serviceTurns) {
	for {
		time.Sleep(minTurnInterval + rand.N(maxTurnInterval-minTurnInterval))
		f.turns.mu.Lock()
		f.holdRoundLocked(service, t, time.Now())
		t.running = t.queue.Len() > 0
		running := t.running
		f.turns.mu.Unlock()
		if !running {
			return
		}
	}
}

// holdRoundLocked lets those go whose turn it is, and refuses those that have no time left. All
// are refused when the instance stops: it takes no part in what comes after.
func (f *Forwarder) holdRoundLocked(service string, t *serviceTurns, now time.Time) {
	if len(t.waiting) == 0 {
		return
	}
	if f.ShuttingDown() {
		for w := range t.waiting {
			t.endLocked(w, stoppingError(0))
		}
		return
	}
	traffic := f.trafficLocked(t, service, now)
	engine := t.anyStream().engine()
	next, refused := t.queue.Round(f.Directory.Service(service), engine, traffic, rand.Float64(), now)
	for _, w := range refused {
		s := t.waiting[w].stream
		s.countTurn("expired")
		t.endLocked(w, s.noTurnError(w, t.queue.Wait(w, traffic, now), s.room(w.Ceiling(engine, now)), traffic))
	}
	for _, w := range next {
		t.endLocked(w, nil)
	}
}

// anyStream returns one of the waiting streams.
func (t *serviceTurns) anyStream() *stream {
	for _, own := range t.waiting {
		return own.stream
	}
	return nil
}

// endLocked ends a stream's wait.
func (t *serviceTurns) endLocked(w *rwadmit.Waiter, err error) {
	own := t.waiting[w]
	t.queue.Remove(w)
	delete(t.waiting, w)
	own.result <- err
}

// trafficLocked returns what all instances do with a service's streams.
func (f *Forwarder) trafficLocked(t *serviceTurns, service string, now time.Time) rwadmit.Traffic {
	if now.Sub(t.trafficAt) < trafficAge {
		return t.traffic
	}
	flow := f.Directory.Flow(service, recentPlacements)
	t.trafficAt, t.life = now, max(flow.Life, minLife)
	t.traffic = rwadmit.Traffic{
		Instances: 1, Rate: float64(flow.Running) / t.life.Seconds(),
		Excessive: func(organisation string) bool {
			recent, before, ok := flow.Parts(organisation)
			return ok && rwadmit.Excessive(recent, before)
		},
	}
	if f.Instances != nil {
		t.traffic.Instances = max(1, f.Instances())
	}
	return t.traffic
}

// streamLife returns how long streams of a service take.
func (f *Forwarder) streamLife(service string) time.Duration {
	t := f.turns.of(service)
	f.turns.mu.Lock()
	defer f.turns.mu.Unlock()
	f.trafficLocked(t, service, time.Now())
	return t.life
}

// waiter returns the stream's entry in the queue.
func (s *stream) waiter(now time.Time, life time.Duration) *rwadmit.Waiter {
	prefill := time.Duration(float64(s.info.Prompt) / max(1, s.f.Directory.PrefillRate()) * float64(time.Second))
	before := time.Duration(0) // since the caller's first attempt, if this is a later one
	if s.info.Deadline > 0 {
		before = max(0, s.route.Timeout-s.info.Deadline)
	}
	target := s.urgency.Target() - before - prefill - turnMargin
	if s.urgency.Yield() > 0 {
		target -= rwadmit.Backlog(s.urgency.Shortest())
	}
	return &rwadmit.Waiter{
		Urgency: s.urgency, Organisation: s.organisation(), Tokens: s.info.Prompt + s.info.MaxOutput, Bytes: len(s.body),
		ArrivedAt: now, OnTimeUntil: s.startedAt.Add(target), GoneAfter: s.deadline.Add(-life),
	}
}

func (s *stream) engine() rwadmit.Engine {
	return rwadmit.Engine{Slots: s.service.Engine.Slots, Memory: s.service.Engine.Memory, Rate: s.f.Directory.PrefillRate()}
}

// room returns what the service's servers have left below a ceiling.
func (s *stream) room(c rwadmit.Ceiling) rwadmit.Room {
	return rwadmit.NewRoom(s.f.Directory.Service(s.service.Name), s.engine(), c, s.info.Prompt+s.info.MaxOutput)
}

// belowCeiling returns the servers that may get the stream by its urgency.
func (s *stream) belowCeiling(servers []rwbackend.View) []rwbackend.View {
	if s.ceiling == (rwadmit.Ceiling{}) {
		return servers
	}
	var fit []rwbackend.View
	trial := s.urgency.Yield() > 0 && rand.Float64() < silentTrials
	for _, v := range servers {
		if (trial || rwadmit.Sound(v)) && s.ceiling.Fits(v, s.info.Prompt+s.info.MaxOutput) {
			fit = append(fit, v)
		}
	}
	return fit
}

// leaveOutCopy drops the copy of a stream that makes way for more urgent ones.
func (s *stream) leaveOutCopy(target *attemptTarget) {
	if !target.placement.Copied || !s.urgency.Graded() || s.room(rwadmit.Ceiling{}).AllowsCopy(s.urgency.Rank()) {
		return
	}
	target.placement.Copied = false
	s.f.Counters.increment(fmt.Sprintf("copies_left_out_%d", s.grade()))
}

func (s *stream) grade() int {
	grade, _ := s.urgency.Grade()
	return grade
}

// organisation returns the digest by which the streams of an organisation are counted.
func (s *stream) organisation() string {
	if !s.urgency.Graded() || s.org.Name == "" {
		return ""
	}
	return digest(s.org.Name)[:organisationDigits]
}

func (s *stream) countTurn(what string) {
	s.f.Counters.increment(fmt.Sprintf("turns_%s_%d", what, s.grade()))
}

// noTurnError is returned for a stream that would have its turn too late.
func (s *stream) noTurnError(w *rwadmit.Waiter, wait time.Duration, room rwadmit.Room, t rwadmit.Traffic) error {
	now := time.Now()
	return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After",
		"its turn would come in %s, and it can wait for %s: room for %d streams at %d model servers, %d instances place %.1f a second",
		wait.Round(time.Millisecond), w.OnTimeUntil.Sub(now).Round(time.Millisecond), room.Streams, room.Servers, t.Instances, t.Rate).WithRetryAfter(w.RetryAfter(wait, now))
}
