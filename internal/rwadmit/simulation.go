package rwadmit

import (
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwpick"
	"ragwortwall/internal/rwurgency"
)

// Simulation plays a burst of streams of two routes without a network: the less urgent ones come
// five times as often as usual for 12 s, the urgent ones three times for 6 s of it, and a third of the
// servers is lost for 5 s.
type Simulation struct {
	Instances int
	Staleness time.Duration // after which instances see what others placed
	Unordered bool          // as without this package: nobody waits, and every stream has a copy
	Seed      uint64
}

// Outcome counts the streams of a route.
type Outcome struct {
	Asked, OnTime, Late, Refused, Lost int
	Preempted                          int // of those that ran
}

// Share returns the part of the streams that began on time.
func (o Outcome) Share() float64 { return float64(o.OnTime) / float64(max(1, o.Asked)) }

// Sizes of the simulated servers and streams.
const (
	simulatedServers = 96
	simulatedStep    = 20 * time.Millisecond
	simulatedTime    = 40 * time.Second
	simulatedPrompt  = 5200 // tokens
	simulatedOutput  = 1170
	simulatedTimeout = 25 * time.Second
)

var simulatedEngine = Engine{Slots: 12, Memory: 55_000, Rate: 5000}

// simulatedStream is one stream from its caller's first attempt to its end.
type simulatedStream struct {
	route     int
	firstAt   time.Time
	instance  int
	server    int
	copyAt    int // server of the copy; -1 for none
	placedAt  time.Time
	prefill   float64 // tokens left
	output    float64 // the same
	returned  bool
	startedAt time.Time
}

// simulation is the state of a play.
type simulation struct {
	Simulation
	random   *rand.Rand
	demand   *rand.Rand // the same callers come whatever is decided
	now      time.Time
	scale    rwurgency.Scale
	routes   []rwurgency.Route
	running  [][]*simulatedStream // by server
	copies   []int                // tokens of copies, by server
	views    [][]rwbackend.View   // the latest ones, as all instances saw them
	own      [][]*simulatedStream // placed by each instance and not seen by all yet
	queues   []Queue
	waiting  map[*Waiter]*simulatedStream
	returns  []*simulatedStream // refused callers, by when they come back (placedAt)
	outcomes []Outcome
}

// Run plays the burst and returns the outcomes of the urgent and the other route.
func (s Simulation) Run() []Outcome {
	p := &simulation{
		Simulation: s, random: rand.New(rand.NewPCG(s.Seed, 1)), demand: rand.New(rand.NewPCG(s.Seed, 2)), now: time.Unix(1000, 0),
		routes:  []rwurgency.Route{{Target: 4 * time.Second}, {Priority: 2, Target: 10 * time.Second}},
		running: make([][]*simulatedStream, simulatedServers), copies: make([]int, simulatedServers),
		own: make([][]*simulatedStream, s.Instances), queues: make([]Queue, s.Instances), waiting: map[*Waiter]*simulatedStream{},
		outcomes: make([]Outcome, 2),
	}
	p.scale = rwurgency.NewScale([]rwurgency.Priority{{Value: 1, Set: true}}, p.routes)
	for began := p.now; p.now.Before(began.Add(simulatedTime)); p.now = p.now.Add(simulatedStep) {
		p.step(p.now.Sub(began))
	}
	return p.outcomes
}

func between(at time.Duration, from, to int) bool {
	return at >= time.Duration(from)*time.Second && at < time.Duration(to)*time.Second
}

func (p *simulation) isDark(server int, at time.Duration) bool {
	return server%3 == 0 && between(at, 9, 14)
}

func (p *simulation) step(at time.Duration) {
	perSecond := []float64{2.6, 22.4}
	if between(at, 5, 17) {
		perSecond[1] *= 5
	}
	if between(at, 8, 14) {
		perSecond[0] *= 3
	}
	if between(at, 30, 40) {
		perSecond = []float64{0, 0} // what runs ends
	}
	p.serve(at)
	p.look(at)
	for route, rate := range perSecond {
		for range int(rate*simulatedStep.Seconds() + p.demand.Float64()) {
			p.outcomes[route].Asked++
			p.arrive(&simulatedStream{route: route, firstAt: p.now})
		}
	}
	for _, r := range slices.Clone(p.returns) {
		if !p.now.Before(r.placedAt) {
			p.returns = slices.DeleteFunc(p.returns, func(o *simulatedStream) bool { return o == r })
			p.arrive(r)
		}
	}
	for n := range p.queues {
		if p.queues[n].Len() > 0 && p.random.IntN(5) == 0 { // each 100 ms in the mean
			p.round(n)
		}
	}
}

// look adds what the servers do now to what instances will see.
func (p *simulation) look(at time.Duration) {
	views := make([]rwbackend.View, simulatedServers)
	for n, streams := range p.running {
		v := rwbackend.View{Entry: rwbackend.Entry{ID: string(rune('A' + n)), Zone: string(rune('a' + n%3))}, Runs: len(streams), Committed: p.copies[n], Suspect: p.isDark(n, at)}
		for _, s := range streams {
			v.Committed += simulatedPrompt + simulatedOutput
			v.Backlog += int(s.prefill)
		}
		views[n] = v
	}
	p.views = append(p.views, views)
	if past := int(p.Staleness/simulatedStep) + 1; len(p.views) > past {
		p.views = p.views[len(p.views)-past:]
	}
}

// seen returns the servers as an instance sees them.
func (p *simulation) seen(instance int) []rwbackend.View {
	views := slices.Clone(p.views[0])
	p.own[instance] = slices.DeleteFunc(p.own[instance], func(s *simulatedStream) bool { return p.now.Sub(s.placedAt) > p.Staleness })
	for _, s := range p.own[instance] {
		views[s.server].Runs++
		views[s.server].Committed += simulatedPrompt + simulatedOutput
		views[s.server].Backlog += simulatedPrompt
		if s.copyAt >= 0 {
			views[s.copyAt].Committed += simulatedPrompt + simulatedOutput
		}
	}
	return views
}

func (p *simulation) traffic() Traffic {
	running := 0
	for _, streams := range p.running {
		running += len(streams)
	}
	const life = 8
	return Traffic{Instances: p.Instances, Rate: float64(running) / life}
}

func (p *simulation) arrive(s *simulatedStream) {
	s.instance = p.random.IntN(p.Instances)
	views := p.seen(s.instance)
	if p.Unordered {
		if !p.place(s, views, Ceiling{}, true) {
			p.refuse(s, time.Second/2)
		}
		return
	}
	route := p.routes[s.route]
	u := p.scale.Of(rwurgency.Priority{Value: 1, Set: true}, route, s.firstAt.Add(simulatedTimeout))
	w := &Waiter{Urgency: u, Tokens: simulatedPrompt + simulatedOutput, ArrivedAt: p.now, OnTimeUntil: s.firstAt.Add(route.Target - 2200*time.Millisecond), GoneAfter: s.firstAt.Add(simulatedTimeout - 8*time.Second)}
	room := NewRoom(views, simulatedEngine, w.Ceiling(simulatedEngine, p.now), w.Tokens)
	verdict, wait := p.queues[s.instance].Arrive(w, room, p.traffic(), p.now, false)
	switch verdict {
	case Goes:
		if !p.place(s, views, w.Ceiling(simulatedEngine, p.now), room.AllowsCopy(u.Rank())) {
			p.refuse(s, time.Second/2)
		}
	case Waits:
		p.waiting[w] = s
	default:
		p.refuse(s, w.RetryAfter(wait, p.now))
	}
}

func (p *simulation) round(instance int) {
	views := p.seen(instance)
	next, refused := p.queues[instance].Round(views, simulatedEngine, p.traffic(), p.random.Float64(), p.now)
	for _, w := range next {
		s := p.waiting[w]
		room := NewRoom(views, simulatedEngine, Ceiling{}, w.Tokens)
		if !p.place(s, p.seen(instance), w.Ceiling(simulatedEngine, p.now), room.AllowsCopy(w.Urgency.Rank())) {
			p.queues[instance].Add(w)
			continue
		}
		delete(p.waiting, w)
	}
	for _, w := range refused {
		p.refuse(p.waiting[w], w.RetryAfter(0, p.now))
		delete(p.waiting, w)
	}
}

// place places a stream and its copy. It reports false if it sees no server with room.
func (p *simulation) place(s *simulatedStream, views []rwbackend.View, c Ceiling, copied bool) bool {
	var fit []rwbackend.View
	for _, v := range views {
		if !v.Suspect && c.Fits(v, simulatedPrompt+simulatedOutput) {
			fit = append(fit, v)
		}
	}
	need := rwpick.Need{Prompt: simulatedPrompt, Output: simulatedOutput, Prefill: simulatedPrompt}
	placement, ok := rwpick.Stream(fit, rwpick.EngineSize{Slots: simulatedEngine.Slots, Memory: simulatedEngine.Memory}, need, func(string) bool { return false })
	if !ok {
		return false
	}
	index := func(v rwbackend.View) int {
		return slices.IndexFunc(views, func(o rwbackend.View) bool { return o.ID == v.ID })
	}
	s.server, s.copyAt, s.placedAt, s.prefill, s.output = index(placement.Server), -1, p.now, simulatedPrompt, simulatedOutput
	if placement.Copied && copied {
		s.copyAt = index(placement.Copy)
		p.copies[s.copyAt] += simulatedPrompt + simulatedOutput
	}
	p.running[s.server] = append(p.running[s.server], s)
	p.own[s.instance] = append(p.own[s.instance], s)
	return true
}

// refuse sends a caller away; each comes back once.
func (p *simulation) refuse(s *simulatedStream, after time.Duration) {
	if s.returned {
		p.outcomes[s.route].Refused++
		return
	}
	s.returned = true
	s.placedAt = p.now.Add(time.Duration(float64(after) * (1 + p.random.Float64()/3)))
	p.returns = append(p.returns, s)
}

// serve runs the servers for a step: prompts are read in chunks between the tokens of the others.
func (p *simulation) serve(at time.Duration) {
	const chunkTime, tokenTime = 28.0, 3.5 // milliseconds a token, while prompts are read and else
	for n := range p.running {
		if p.isDark(n, at) {
			p.lose(n)
			continue
		}
		streams := p.held(n)
		ms := float64(simulatedStep.Milliseconds())
		tokens := ms / tokenTime
		if p.readPrompts(streams, ms/1000*simulatedEngine.Rate) {
			tokens = ms / chunkTime
		}
		for _, s := range streams {
			if s.prefill > 0 {
				continue
			}
			if s.output -= tokens; s.output <= 0 {
				p.end(s)
			}
		}
	}
}

// lose ends the streams of a server that is dark. Those that have not begun are placed anew.
func (p *simulation) lose(server int) {
	for _, s := range slices.Clone(p.running[server]) {
		p.end(s)
		if s.startedAt.IsZero() {
			p.arrive(s)
			continue
		}
		p.outcomes[s.route].Lost++
	}
}

// held returns the streams that a server's memory holds, the first ones first and urgent ones
// before others if they are ordered. Another one that was held is preempted, and reads its
// prompt again later.
func (p *simulation) held(server int) []*simulatedStream {
	streams := slices.Clone(p.running[server])
	if !p.Unordered {
		slices.SortStableFunc(streams, func(a, b *simulatedStream) int { return a.route - b.route })
	}
	fit := max(0, simulatedEngine.Memory-p.copies[server]) / (simulatedPrompt + simulatedOutput)
	for _, s := range streams[min(fit, len(streams)):] {
		if s.prefill < simulatedPrompt {
			p.outcomes[s.route].Preempted++
			s.prefill = simulatedPrompt
		}
	}
	return streams[:min(fit, len(streams))]
}

// readPrompts reads the prompts of streams in their order. It reports whether there were any.
func (p *simulation) readPrompts(streams []*simulatedStream, tokens float64) bool {
	reading := false
	for _, s := range streams {
		if s.prefill <= 0 || tokens <= 0 {
			continue
		}
		reading = true
		read := min(tokens, s.prefill)
		s.prefill -= read
		tokens -= read
		if s.prefill <= 0 && s.startedAt.IsZero() {
			s.startedAt = p.now
			if p.now.Sub(s.firstAt) <= p.routes[s.route].Target {
				p.outcomes[s.route].OnTime++
			} else {
				p.outcomes[s.route].Late++
			}
		}
	}
	return reading
}

func (p *simulation) end(s *simulatedStream) {
	p.running[s.server] = slices.DeleteFunc(p.running[s.server], func(o *simulatedStream) bool { return o == s })
	if s.copyAt >= 0 {
		p.copies[s.copyAt] -= simulatedPrompt + simulatedOutput
	}
}
