package rwfeed

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"
)

// rpcFollow is the one call between instances: what has changed since.
const rpcFollow = "/feed/follow"

// Ask is what a follower asks a peer.
type Ask struct {
	Have map[string]int64 `json:"have"` // revision of each kind
	Wait int64            `json:"wait"` // in milliseconds
}

// Answer is what the peer holds that is newer.
type Answer struct {
	Kinds map[string]Part `json:"kinds"`
}

// Part is the answer for one kind.
type Part struct {
	Batch
	// Fresh is when it was confirmed, in milliseconds from when the peer took the
	// call; mostly before it.
	Fresh int64 `json:"fresh"`
	Known bool  `json:"known"`
}

// Server answers peers that follow this instance. Set the fields before Run.
type Server struct {
	Address string
	Held    []*Held
	Log     logr.Logger

	whole atomic.Int32 // answers with all objects that are being sent
}

const (
	// waitMost bounds what a peer may ask for.
	waitMost = 5 * time.Second
	// wholeMost is how many peers get all objects at a time: more would keep this
	// instance's link from its callers. The others ask elsewhere.
	wholeMost = 3
)

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		s.Log.Error(err, "no peer can follow this instance")
		return
	}
	if err := drpcserver.New(s).Serve(ctx, listener); err != nil && ctx.Err() == nil {
		s.Log.Error(err, "peers can no longer follow this instance")
	}
}

// HandleRPC answers one call.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != rpcFollow {
		return errors.NotFoundf("call %s", rpc)
	}
	var ask Ask
	if err := stream.MsgRecv(&ask, encoding{}); err != nil {
		return errors.Trace(err)
	}
	taken := rwtime.Now()
	s.wait(stream.Context(), ask)
	answer := Answer{Kinds: map[string]Part{}}
	if lacks(ask) {
		defer s.whole.Add(-1)
		if s.whole.Add(1) > wholeMost {
			return send(stream, &answer)
		}
	}
	for _, h := range s.Held {
		batch, confirmed, _ := h.since(ask.Have[h.Kind])
		answer.Kinds[h.Kind] = Part{Batch: batch, Known: confirmed > 0, Fresh: time.Duration(confirmed - taken).Milliseconds()}
	}
	return send(stream, &answer)
}

// lacks reports whether a peer has nothing yet of a kind, so that it gets all of it.
func lacks(ask Ask) bool {
	for _, revision := range ask.Have {
		if revision == 0 {
			return true
		}
	}
	return false
}

func send(stream drpc.Stream, answer *Answer) error {
	if err := stream.MsgSend(answer, encoding{}); err != nil {
		return errors.Trace(err)
	}
	return stream.CloseSend()
}

// wait waits until one of the kinds has changed, or the time is over.
func (s *Server) wait(ctx context.Context, ask Ask) {
	ctx, cancel := context.WithTimeout(ctx, min(waitMost, time.Duration(ask.Wait)*time.Millisecond))
	defer cancel()
	var work sync.WaitGroup
	for _, h := range s.Held {
		work.Go(func() {
			h.wait(ctx, ask.Have[h.Kind])
			cancel()
		})
	}
	work.Wait()
}

// Follower follows peers while this instance does not watch the store, or has
// lost it. Set the exported fields before Run.
type Follower struct {
	Held  []*Held
	Peers func() []string // addresses to try, the best first; empty when there is no need
	Hurry func() bool     // peers are asked without waiting for a change; nil for never
	Log   logr.Logger

	mu      sync.Mutex
	heard   time.Time // of the last good answer
	reached time.Time // of the last answer, of use or not
	address string
	conn    *drpcconn.Conn
}

// Settings of following a peer.
const (
	// followWait is how long a peer waits for a change.
	followWait = time.Second
	// lackWait is the same for a follower that lacks what it can't serve without,
	// as after a start: the peer may lack it too.
	lackWait = 100 * time.Millisecond
	// lackPause is the pause after the first round of a start in which no peer was
	// of use: callers wait, and the peers have started too. It doubles up to
	// roleInterval.
	lackPause = 20 * time.Millisecond
	// followMore is for the answer, over that wait.
	followMore = 700 * time.Millisecond
	// peerDial is how long a connection to a peer may take.
	peerDial = 300 * time.Millisecond
	// staleMost is the age from which a peer's state is of no more use than the
	// own: two confirmations of a sound watcher.
	staleMost = 2800 * time.Millisecond
	// hurryStale is the same for a watcher that has lost the store: what it hears
	// must be younger than what it has.
	hurryStale = 1700 * time.Millisecond
	// followGather is the pause after an answer with changes, as of a watcher.
	followGather = 100 * time.Millisecond
)

// Following reports whether a peer has answered a short while ago.
func (f *Follower) Following() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.heard) < followWait+followMore
}

// Reached reports whether a peer has answered a short while ago, though it may
// have known no more than this instance.
func (f *Follower) Reached() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.reached) < 2*(followWait+followMore)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.drop()
	pause := lackPause
	for ctx.Err() == nil {
		good := false
		for _, address := range f.inOrder() {
			if good = f.follow(ctx, address); good || ctx.Err() != nil {
				break
			}
		}
		if !good {
			rwtime.Sleep(ctx, pause)
			pause = min(2*pause, roleInterval)
		}
	}
}

// inOrder returns the peers to try: the one that was last of use first, as long
// as it is one of them.
func (f *Follower) inOrder() []string {
	peers := f.Peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := slices.Index(peers, f.address); at > 0 && time.Since(f.heard) < followWait+followMore {
		peers = append([]string{f.address}, slices.Delete(peers, at, at+1)...)
	}
	return peers
}

// follow asks one peer once. It reports whether the answer was of use.
func (f *Follower) follow(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, followWait+followMore)
	defer cancel()
	ask := Ask{Have: map[string]int64{}, Wait: followWait.Milliseconds()}
	for _, h := range f.Held {
		ask.Have[h.Kind] = h.Revision()
		if h.lacking() {
			ask.Wait = lackWait.Milliseconds()
		}
	}
	stale := staleMost
	if f.Hurry != nil && f.Hurry() {
		// The peer may have lost the store with this instance: whoever has not is
		// found by asking all of them.
		ask.Wait, stale = 0, hurryStale
	}
	began := rwtime.Now()
	var answer Answer
	if err := f.call(ctx, address, &ask, &answer); err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.Log.Info("peer lost", "address", address, "cause", err.Error())
		}
		f.drop()
		return false
	}
	f.mu.Lock()
	f.reached = time.Now()
	f.mu.Unlock()
	useful, lacking, changes := true, false, false
	for _, h := range f.Held {
		part := answer.Kinds[h.Kind]
		at := began + rwtime.Boot(part.Fresh*int64(time.Millisecond))
		taken := part.Known && h.Offer(part.Batch, at)
		lacking = lacking || h.lacking()
		useful = useful && (h.Slow || taken && rwtime.Since(at) <= stale)
		changes = changes || taken && len(part.Changes) > 0
	}
	if useful {
		f.mu.Lock()
		f.heard = time.Now()
		f.mu.Unlock()
	}
	if lacking {
		return false // another peer may have what this one lacks too
	}
	if changes {
		rwtime.Sleep(ctx, followGather)
	}
	return useful
}

func (f *Follower) call(ctx context.Context, address string, ask *Ask, answer *Answer) error {
	f.mu.Lock()
	conn := f.conn
	if f.address != address {
		conn = nil
	}
	f.mu.Unlock()
	if conn == nil {
		f.drop()
		dialer := net.Dialer{Timeout: peerDial, KeepAlive: -1}
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return rwerror.New(rwerror.KindUnavailable, "follow another instance", "%s can't be reached", address).WithCause(err)
		}
		conn = drpcconn.New(raw)
		f.mu.Lock()
		f.conn, f.address = conn, address
		f.mu.Unlock()
	}
	return errors.Trace(conn.Invoke(ctx, rpcFollow, encoding{}, ask, answer))
}

func (f *Follower) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		_ = f.conn.Close()
	}
	f.conn, f.address = nil, ""
}
