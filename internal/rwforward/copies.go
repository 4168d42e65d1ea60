package rwforward

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwadmit"
	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpick"
)

// Limits of copies that are requested while a stream runs.
const (
	// copyCheckInterval is how often a stream checks its copy.
	copyCheckInterval = 200 * time.Millisecond
	// copyRefreshInterval is how often a requested copy is brought up to date. After
	// a loss, tokens added since the last refresh must be prefilled again.
	copyRefreshInterval = 800 * time.Millisecond
	// copyTimeout limits one call that makes or frees a copy.
	copyTimeout = 3 * time.Second
)

// copyManager keeps a copy of a running stream's KV cache on a second server. The
// server that runs the stream replicates by itself to one server, which is named in the
// request; when that one is lost, the copyManager requests copies on another.
type copyManager struct {
	mu          sync.Mutex
	runServer   rwbackend.Entry // runs the stream
	copyServer  rwbackend.Entry // holds or receives the copy; zero if there is none
	targetedAt  time.Time       // when copyServer was chosen
	lastCheck   time.Time
	lastRefresh time.Time
	handle      string // of the requested copy; empty if there is none
	requested   bool   // the copy is made through EngineClient.Copy, not by the server itself
	requesting  bool   // a call of EngineClient.Copy is in flight
	stopped     bool   // a requested copy was freed; request no more copies
}

// startAttempt resets the state for a new attempt.
func (k *copyManager) startAttempt(target attemptTarget) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runServer, k.copyServer = target.server.Entry, rwbackend.Entry{}
	if target.placement.Copied {
		k.copyServer = target.placement.Copy.Entry
	}
	k.targetedAt, k.lastCheck = time.Now(), time.Now()
	k.handle, k.requested, k.requesting = "", false, false
}

// requestedCopy returns the address of the server that runs the stream and the handle
// of the requested copy. ok is false if there is none.
func (k *copyManager) requestedCopy() (source, handle string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runServer.Address, k.handle, k.handle != ""
}

// ensureCopy requests a copy if the last one was lost, and refreshes a requested one.
// It is called for each event and acts once per copyCheckInterval.
func (k *copyManager) ensureCopy(s *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.stopped || k.requesting || now.Sub(k.lastCheck) < copyCheckInterval || !s.service.Engine.Moves || !s.run.Started {
		return
	}
	k.lastCheck = now
	held := k.copyServer.ID != "" && s.f.Directory.MayStillHold(k.copyServer.ID, k.copyServer.Incarnation, k.targetedAt)
	if held && (!k.requested || now.Sub(k.lastRefresh) < copyRefreshInterval) {
		return
	}
	if !held && s.urgency.Graded() && !s.room(rwadmit.Ceiling{}).AllowsCopy(s.urgency.Rank()) {
		return
	}
	if s.f.Directory.IsPaused(k.runServer) || !s.f.Limits.Take(limitedServer(k.runServer)) || !held && !k.chooseTarget(s) {
		return
	}
	k.requesting, k.lastRefresh = true, now
	go k.requestCopy(s.f, s.run, k.runServer, k.copyServer)
}

// chooseTarget chooses a new server for the copy and publishes it. It reports whether
// there is one in another zone than the stream's server.
func (k *copyManager) chooseTarget(s *stream) bool {
	servers := s.f.Directory.Service(s.service.Name)
	engine := s.engineSize()
	runServer := rwbackend.View{Entry: k.runServer}
	server, ok := rwpick.Copy(servers, engine, rwpick.Need{Prompt: s.info.Prompt, Output: s.info.MaxOutput}, runServer, func(string) bool { return false })
	if !ok || server.Zone == k.runServer.Zone {
		return false
	}
	s.f.Log.Info("copy lost, requesting another", "request", s.info.ID, "server", k.runServer.ID, "was", k.copyServer.ID, "next", server.ID)
	k.copyServer, k.targetedAt, k.handle, k.requested = server.Entry, time.Now(), "", true
	s.run.Copy = server.ID
	s.publishRun()
	return true
}

// requestCopy makes or refreshes the copy. A failure clears copyServer.
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
		f.Log.Info("copy failed", "request", run.ID, "server", source.ID, "target", target.ID, "cause", err.Error())
		k.copyServer = rwbackend.Entry{}
		return
	}
	k.handle = handle
}

// stop frees a requested copy, unless the stream was interrupted and may be resumed
// from it.
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
		if err := s.f.Engines.ReleaseCopy(ctx, address, handle); err != nil {
			s.f.Log.Info("could not free copy", "request", s.info.ID, "cause", err.Error())
		}
	}()
}

// markServerLost records and publishes the loss of a server. If several servers of its
// zone were lost at about the same time, it probes the others. Nothing is recorded if the
// path to it may be what was lost.
func (s *stream) markServerLost(server rwbackend.View, cause error) {
	s.f.Pool.Drop(server.Address)
	if s.pathMayBeLost(cause) {
		return
	}
	if s.f.Directory.RecordLoss(server.ID) {
		s.f.NotifyServerLost(server.ID)
	}
	for _, e := range s.f.Directory.ServersToProbe(server.ID) {
		go s.f.probeServer(e)
	}
}

// probeServer marks a server as lost if it does not accept a connection.
func (f *Forwarder) probeServer(e rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if accepted, _ := rwlink.TryConnect(ctx, f.Dialer.Dial, e.Address, dialTimeout/2); accepted {
		return
	}
	if f.Dialer.InDoubt(e.Service) {
		return
	}
	f.Log.Info("server unreachable after other losses in its zone", "server", e.ID, "zone", e.Zone)
	f.Pool.Drop(e.Address)
	if f.Directory.RecordLoss(e.ID) {
		f.NotifyServerLost(e.ID)
	}
}
