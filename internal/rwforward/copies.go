package rwforward

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpick"
)

// Settings of copies that are made while a stream runs.
const (
	// checkInterval is how often a stream looks after its copy.
	checkInterval = 200 * time.Millisecond
	// renewInterval is how often a copy that was made on order is brought up to
	// date: what came since is read again after a loss.
	renewInterval = 800 * time.Millisecond
	// copyTime is how long an order for a copy may take.
	copyTime = 3 * time.Second
)

// keeper sees to it that a running stream has a copy. The copy that the server
// keeps by itself goes to one place, chosen with the stream; when that place is
// lost, the keeper orders copies to another one.
type keeper struct {
	mu          sync.Mutex
	source      rwbackend.Entry // the server that runs the stream
	target      rwbackend.Entry // the server that has, or gets, the copy
	since       time.Time       // when the target got its first part
	checked     time.Time
	renewed     time.Time
	handle      string
	ordered     bool // the copy is made on order
	ordering    bool
	unsupported bool
}

// placed begins to look after an attempt.
func (k *keeper) placed(n next) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.source, k.target = n.server.Entry, rwbackend.Entry{}
	if n.place.Copied {
		k.target = n.place.Copy.Entry
	}
	k.since, k.checked = time.Now(), time.Now()
	k.handle, k.ordered, k.ordering = "", false, false
}

// copied returns the handle of a copy that was made on order.
func (k *keeper) copied() (source, handle string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.source.Address, k.handle, k.handle != ""
}

// check orders a copy when there is none any more, and renews one that was
// ordered. It is called with each event.
func (k *keeper) check(s *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.unsupported || k.ordering || now.Sub(k.checked) < checkInterval || !s.service.Engine.Moves || !s.run.Begun {
		return
	}
	k.checked = now
	held := k.target.ID != "" && s.f.Directory.Keeps(k.target.ID, k.target.Incarnation, k.since)
	if held && (!k.ordered || now.Sub(k.renewed) < renewInterval) {
		return
	}
	if !held && !k.choose(s) {
		return
	}
	k.ordering, k.renewed = true, now
	go k.order(s.f, s.run, k.source, k.target)
}

// choose finds a new place for the copy.
func (k *keeper) choose(s *stream) bool {
	servers := s.f.Directory.Service(s.service.Name)
	engine := rwpick.EngineSize{Slots: s.service.Engine.Slots, Memory: s.service.Engine.Memory}
	from := rwbackend.View{Entry: k.source}
	place, ok := rwpick.Copy(servers, engine, rwpick.Need{Prompt: s.ask.Prompt, Output: s.ask.Output}, from, func(string) bool { return false })
	if !ok || place.Zone == k.source.Zone {
		return false
	}
	s.f.Log.Info("copy lost", "request", s.ask.ID, "server", k.source.ID, "was", k.target.ID, "next", place.ID)
	k.target, k.since, k.handle, k.ordered = place.Entry, time.Now(), "", true
	s.run.Copy = place.ID
	s.f.Notify(s.run)
	return true
}

func (k *keeper) order(f *Forwarder, run rwbackend.Run, source, target rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTime)
	defer cancel()
	handle, err := f.Engines.Copy(ctx, source.Address, run.ID, target.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ordering = false
	if k.source.ID != source.ID || k.target.ID != target.ID {
		return
	}
	if err != nil {
		f.Log.Info("copy not made", "request", run.ID, "server", source.ID, "target", target.ID, "cause", err.Error())
		k.target = rwbackend.Entry{}
		return
	}
	k.handle = handle
}

// stop frees a copy that was made on order.
func (k *keeper) stop(s *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handle == "" || s.run.Lost {
		return
	}
	handle, address := k.handle, k.source.Address
	k.handle, k.unsupported = "", true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTime)
		defer cancel()
		if err := s.f.Engines.Free(ctx, address, handle); err != nil {
			s.f.Log.Info("copy not freed", "request", s.ask.ID, "cause", err.Error())
		}
	}()
}

// lost notes and tells that a server was lost, and looks at its neighbours when
// several of them were lost at once.
func (s *stream) lost(server rwbackend.View) {
	s.f.Pool.Drop(server.Address)
	if s.f.Directory.Lost(server.ID) {
		s.f.Lost(server.ID)
	}
	for _, e := range s.f.Directory.Alarmed(server.ID) {
		go s.f.look(e)
	}
}

// look finds out whether a server is there.
func (f *Forwarder) look(e rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTime)
	defer cancel()
	if accepted, _ := rwlink.Reached(ctx, e.Address, dialTime/2); accepted {
		return
	}
	f.Log.Info("server lost with its zone", "server", e.ID, "zone", e.Zone)
	f.Pool.Drop(e.Address)
	if f.Directory.Lost(e.ID) {
		f.Lost(e.ID)
	}
}
