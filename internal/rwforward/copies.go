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
	// copyCheckInterval is how often a stream looks after its copy.
	copyCheckInterval = 200 * time.Millisecond
	// copyRefreshInterval is how often a copy that was made on order is brought up to
	// date: what came since is read again after a loss.
	copyRefreshInterval = 800 * time.Millisecond
	// copyTimeout is how long an order for a copy may take.
	copyTimeout = 3 * time.Second
)

// copyManager sees to it that a running stream has a copy. The copy that the server
// keeps by itself goes to one place, chosen with the stream; when that place is
// lost, the copyManager orders copies to another one.
type copyManager struct {
	mu          sync.Mutex
	runServer   rwbackend.Entry // the server that runs the stream
	copyServer  rwbackend.Entry // the server that has, or gets, the copy
	targetedAt  time.Time       // when the target got its first part
	lastCheck   time.Time
	lastRefresh time.Time
	handle      string
	requested   bool // the copy is made on order
	requesting  bool
	stopped     bool
}

// startAttempt begins to look after an attempt.
func (k *copyManager) startAttempt(n attemptTarget) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runServer, k.copyServer = n.server.Entry, rwbackend.Entry{}
	if n.placement.Copied {
		k.copyServer = n.placement.Copy.Entry
	}
	k.targetedAt, k.lastCheck = time.Now(), time.Now()
	k.handle, k.requested, k.requesting = "", false, false
}

// requestedCopy returns the handle of a copy that was made on order.
func (k *copyManager) requestedCopy() (source, handle string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runServer.Address, k.handle, k.handle != ""
}

// ensureCopy orders a copy when there is none any more, and renews one that was
// ordered. It is called with each event.
func (k *copyManager) ensureCopy(s *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.stopped || k.requesting || now.Sub(k.lastCheck) < copyCheckInterval || !s.service.Engine.Moves || !s.run.Begun {
		return
	}
	k.lastCheck = now
	held := k.copyServer.ID != "" && s.f.Directory.Keeps(k.copyServer.ID, k.copyServer.Incarnation, k.targetedAt)
	if held && (!k.requested || now.Sub(k.lastRefresh) < copyRefreshInterval) {
		return
	}
	if !held && !k.chooseTarget(s) {
		return
	}
	k.requesting, k.lastRefresh = true, now
	go k.requestCopy(s.f, s.run, k.runServer, k.copyServer)
}

// chooseTarget finds a new place for the copy.
func (k *copyManager) chooseTarget(s *stream) bool {
	servers := s.f.Directory.Service(s.service.Name)
	engine := rwpick.EngineSize{Slots: s.service.Engine.Slots, Memory: s.service.Engine.Memory}
	from := rwbackend.View{Entry: k.runServer}
	place, ok := rwpick.Copy(servers, engine, rwpick.Need{Prompt: s.info.Prompt, Output: s.info.Output}, from, func(string) bool { return false })
	if !ok || place.Zone == k.runServer.Zone {
		return false
	}
	s.f.Log.Info("copy lost", "request", s.info.ID, "server", k.runServer.ID, "was", k.copyServer.ID, "next", place.ID)
	k.copyServer, k.targetedAt, k.handle, k.requested = place.Entry, time.Now(), "", true
	s.run.Copy = place.ID
	s.f.Notify(s.run)
	return true
}

func (k *copyManager) requestCopy(f *Forwarder, run rwbackend.Run, source, target rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	handle, err := f.Engines.Copy(ctx, source.Address, run.ID, target.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requesting = false
	if k.runServer.ID != source.ID || k.copyServer.ID != target.ID {
		return
	}
	if err != nil {
		f.Log.Info("copy not made", "request", run.ID, "server", source.ID, "target", target.ID, "cause", err.Error())
		k.copyServer = rwbackend.Entry{}
		return
	}
	k.handle = handle
}

// stop frees a copy that was made on order.
func (k *copyManager) stop(s *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handle == "" || s.run.Lost {
		return
	}
	handle, address := k.handle, k.runServer.Address
	k.handle, k.stopped = "", true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := s.f.Engines.Free(ctx, address, handle); err != nil {
			s.f.Log.Info("copy not freed", "request", s.info.ID, "cause", err.Error())
		}
	}()
}

// markServerLost notes and tells that a server was markServerLost, and looks at its neighbours when
// several of them were markServerLost at once.
func (s *stream) markServerLost(server rwbackend.View) {
	s.f.Pool.Drop(server.Address)
	if s.f.Directory.Lost(server.ID) {
		s.f.Lost(server.ID)
	}
	for _, e := range s.f.Directory.Alarmed(server.ID) {
		go s.f.probeServer(e)
	}
}

// probeServer finds out whether a server is there.
func (f *Forwarder) probeServer(e rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if accepted, _ := rwlink.Reached(ctx, e.Address, dialTimeout/2); accepted {
		return
	}
	f.Log.Info("server lost with its zone", "server", e.ID, "zone", e.Zone)
	f.Pool.Drop(e.Address)
	if f.Directory.Lost(e.ID) {
		f.Lost(e.ID)
	}
}
