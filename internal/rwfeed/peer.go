package rwfeed

import (
	"context"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	// followMethod is the path of the call that returns changes since given revisions.
	followMethod = "/feed/follow"
	// identifyMethod is the path of the call that returns the instance's name. Former builds
	// answer it with an error that names the method.
	identifyMethod = "/feed/identify"
)

// Identity is the response of an instance that is asked who it is.
type Identity struct {
	Name string `json:"name"`
}

// Identify reports whether the instance with a name answers at an address. An instance of a
// former build counts as any.
func Identify(ctx context.Context, address, name string) bool {
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	var response Identity
	if err := conn.Invoke(ctx, identifyMethod, encoding{}, &Identity{Name: name}, &response); err != nil {
		return strings.Contains(err.Error(), identifyMethod)
	}
	return response.Name == name
}

// FollowRequest asks a peer for the changes since the follower's positions.
type FollowRequest struct {
	Revisions  map[string]int64 `json:"have"`           // revisions of the follower's caches, by kind
	Eras       map[string]int64 `json:"eras,omitempty"` // their eras, without those that are zero
	LagMillis  map[string]int64 `json:"lags,omitempty"` // their lags in milliseconds: a newer confirmation ends the wait; none without a kind's entry
	WaitMillis int64            `json:"wait"`           // how long the peer waits for a change, in milliseconds
	Current    bool             `json:"current"`        // the peer must not wait if the store doesn't answer it
}

func (r FollowRequest) position(kind string) Position {
	return Position{Era: r.Eras[kind], Revision: r.Revisions[kind]}
}

// complete returns until when the contents of the follower's cache are complete, for a
// request that was received at the given time; zero if it doesn't say.
func (r FollowRequest) complete(kind string, receivedAt rwtime.BootTime) rwtime.BootTime {
	lag, ok := r.LagMillis[kind]
	if !ok {
		return 0
	}
	return receivedAt - rwtime.BootTime(time.Duration(lag)*time.Millisecond)
}

// FollowResponse holds the peer's newer objects, by kind.
type FollowResponse struct {
	Kinds map[string]KindUpdate `json:"kinds"`
	Away  bool                  `json:"away,omitempty"` // the store doesn't answer the peer now
	// Available is the period in which the store has answered the peer or those that it
	// follows; nil if it hasn't, or from a former build.
	Available *SpanOffsets `json:"available,omitempty"`
}

// KindUpdate holds the changes of one kind.
type KindUpdate struct {
	Batch
	// ConfirmedOffsetMillis is when the store confirmed the contents, in milliseconds
	// relative to when the peer received the request; mostly negative.
	ConfirmedOffsetMillis int64 `json:"fresh"`
	// CompleteOffsetMillis is until when the contents are complete, in the same way; nil from a
	// former build, whose contents are so until they were confirmed.
	CompleteOffsetMillis *int64 `json:"complete,omitempty"`
	Known                bool   `json:"known"` // the peer has received this kind
}

// times returns when the store confirmed the contents of a response, and until when they are
// complete, on the clock of the follower that sent the request at the given time.
func (u KindUpdate) times(sentAt rwtime.BootTime) (confirmed, complete rwtime.BootTime) {
	at := func(offsetMillis int64) rwtime.BootTime {
		return sentAt + rwtime.BootTime(time.Duration(offsetMillis)*time.Millisecond)
	}
	confirmed = at(u.ConfirmedOffsetMillis)
	if u.CompleteOffsetMillis == nil {
		return confirmed, confirmed
	}
	return confirmed, max(confirmed, at(*u.CompleteOffsetMillis))
}

// PeerServer answers instances that follow this one. Set the exported fields before Run.
type PeerServer struct {
	Name    string // of this instance
	Address string
	Caches  []*Cache
	Current func() bool // reports whether the store answers this instance itself; nil for always
	Changed *Signal     // notified when Current changes; may be nil
	Log     logr.Logger

	Availability *Availability // of the store; nil to tell nothing of it

	MaxConns    int    // connections of followers; zero for no limit
	CountClosed func() // called for each connection that is closed for others; nil for nothing

	fullResponses atomic.Int32 // number of responses with all objects that are being sent
}

const (
	// maxFollowWait limits the wait that a follower may ask for.
	maxFollowWait = 5 * time.Second
	// maxFullResponses limits the concurrent responses that hold all objects: more
	// would take the link's bandwidth from callers. Other followers get an empty
	// response and ask another peer.
	maxFullResponses = 3
	// maxRequestBytes limits a follower's request, and what is kept of one that isn't whole.
	maxRequestBytes = 64 << 10
)

// Run serves followers until ctx ends.
func (s *PeerServer) Run(ctx context.Context) {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		s.Log.Error(err, "cannot listen for followers")
		return
	}
	bounded := &rwaccount.Listener{Listener: listener, Max: s.MaxConns, Count: s.CountClosed}
	options := drpcserver.Options{Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxRequestBytes}}}
	if err := drpcserver.NewWithOptions(s, options).Serve(ctx, bounded); err != nil && ctx.Err() == nil {
		s.Log.Error(err, "stopped serving followers")
	}
}

// HandleRPC serves one call of a follower.
func (s *PeerServer) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case followMethod:
		return s.serveFollower(stream)
	case identifyMethod:
		return send(stream, &Identity{Name: s.Name})
	}
	return errors.NotFoundf("RPC method %s", rpc)
}

func (s *PeerServer) serveFollower(stream drpc.Stream) error {
	var request FollowRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return errors.Trace(err)
	}
	receivedAt := rwtime.Now()
	s.waitForChange(stream.Context(), request, receivedAt)
	response := FollowResponse{Kinds: map[string]KindUpdate{}, Away: !s.current()}
	if s.needsAllObjects(request) {
		defer s.fullResponses.Add(-1)
		if s.fullResponses.Add(1) > maxFullResponses {
			return send(stream, &response)
		}
	}
	for _, cache := range s.Caches {
		now, _ := cache.changesSince(request.position(cache.Kind))
		complete := offsetMillis(now.complete, receivedAt)
		response.Kinds[cache.Kind] = KindUpdate{Batch: now.Batch, Known: now.confirmed > 0, ConfirmedOffsetMillis: offsetMillis(now.confirmed, receivedAt), CompleteOffsetMillis: &complete}
	}
	response.Available = s.Availability.Span().offsets(receivedAt) // not before the contents
	return send(stream, &response)
}

// offsetMillis returns a time relative to another one, in milliseconds. It is rounded down:
// contents must not get younger on their way from instance to instance.
func offsetMillis(at, from rwtime.BootTime) int64 {
	return int64(math.Floor(float64(at-from) / float64(time.Millisecond)))
}

// needsAllObjects reports whether a follower has no objects yet of some kind, or those
// of an older era, so that the response holds all of them.
func (s *PeerServer) needsAllObjects(request FollowRequest) bool {
	for _, cache := range s.Caches {
		have := request.position(cache.Kind)
		if have.Revision == 0 || have.Era < cache.Position().Era {
			return true
		}
	}
	return false
}

func send(stream drpc.Stream, response any) error {
	if err := stream.MsgSend(response, encoding{}); err != nil {
		return errors.Trace(err)
	}
	return stream.CloseSend()
}

func (s *PeerServer) current() bool { return s.Current == nil || s.Current() }

// waitForChange blocks until one of the kinds has changed or was confirmed anew, or the
// requested wait is over. A follower that reads only from current peers doesn't wait for one
// that is not.
func (s *PeerServer) waitForChange(ctx context.Context, request FollowRequest, receivedAt rwtime.BootTime) {
	ctx, cancel := context.WithTimeout(ctx, min(maxFollowWait, time.Duration(request.WaitMillis)*time.Millisecond))
	defer cancel()
	var wg sync.WaitGroup
	if request.Current {
		wg.Go(func() {
			for ctx.Err() == nil {
				changed := s.Changed.Wait()
				if !s.current() {
					cancel()
					return
				}
				select {
				case <-ctx.Done():
				case <-changed:
				}
			}
		})
	}
	for _, cache := range s.Caches {
		wg.Go(func() {
			cache.waitForChange(ctx, request.position(cache.Kind), request.complete(cache.Kind, receivedAt))
			cancel()
		})
	}
	wg.Wait()
}

// Follower updates the caches from peers while this instance does not watch the store
// or can't reach it. Set the exported fields before Run.
type Follower struct {
	Caches []*Cache
	Era    *Era            // records the eras that peers have seen
	Peers  func() []string // addresses to try, the best first; empty if no peer is needed
	NoWait func() bool     // reports whether peers must answer without waiting for a change; nil for never
	Wake   *Signal         // ends the pauses between rounds over the peers; may be nil
	Log    logr.Logger

	Availability *Availability // of the store; nil to record nothing

	Recency   Recency // of the settings: for how long peers wait, and how old their contents may be
	Confirmed func()  // called when a peer has confirmed the contents anew; may be nil

	Reached func(address string, reached bool) // called when a peer has responded, and when it couldn't be connected to or was silent; may be nil

	mu           sync.Mutex
	following    bool            // the connected peer is current and responds in time
	searching    bool            // it was, and no other one has been found since
	next         int             // index of the first peer of the next round, while searching
	complete     rwtime.BootTime // until when peers have confirmed all contents with a bound on their age; zero if none has
	lastResponse time.Time       // of the last response, useful or not
	address      string          // of the peer that conn leads to; empty if there is none
	conn         *drpcconn.Conn
}

// Timing of calls to peers.
const (
	// bootstrapFollowWait replaces Recency.PollWait while a kind needed to serve callers is
	// missing, as after a start: the peer may lack it too.
	bootstrapFollowWait = 100 * time.Millisecond
	// minFollowBackoff is the pause after the first round over all peers without a
	// useful response. It is short as callers may be waiting and the peers may have
	// just started too. The pause doubles each time, up to roleCheckInterval, or to
	// maxSearchBackoff after a peer was lost.
	minFollowBackoff = 20 * time.Millisecond
	maxSearchBackoff = time.Second
	// maxSearchPeers limits the peers of one round of a search.
	maxSearchPeers = 6
	// followTimeoutMargin is added to the wait, for the response.
	followTimeoutMargin = 700 * time.Millisecond
	// peerDialTimeout limits connecting to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// followBatchDelay is the pause after a response with changes, so that changes come
	// in batches, as for a watcher.
	followBatchDelay = 100 * time.Millisecond
)

// Following reports whether the connected peer gives useful responses in time.
func (f *Follower) Following() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.following
}

func (f *Follower) setFollowing(following bool, cause string) {
	f.mu.Lock()
	lost := f.following && !following
	f.following = following
	if following {
		f.searching = false
	}
	if lost {
		f.searching, f.next = true, 0
	}
	address := f.address
	f.mu.Unlock()
	if !lost {
		return
	}
	f.Log.V(rwlog.Routine).Info("no longer following", "address", address, "cause", cause)
}

// Lag returns the time since which the contents may lack changes that the store has
// acknowledged, as far as peers have told, and whether one ever did. What this instance read
// from the store itself has no part in it.
func (f *Follower) Lag() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rwtime.Since(f.complete), f.complete > 0
}

// confirm records until when a peer has confirmed the contents.
func (f *Follower) confirm(complete rwtime.BootTime) {
	f.mu.Lock()
	confirmed := complete > f.complete
	f.complete = max(f.complete, complete)
	f.mu.Unlock()
	if confirmed && f.Confirmed != nil {
		f.Confirmed()
	}
}

// PeerResponded reports whether a peer responded within the time of two polls, even
// if it had nothing newer than this instance.
func (f *Follower) PeerResponded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastResponse) < 2*(f.Recency.PollWait()+followTimeoutMargin)
}

// Address returns the address of the connected peer, or an empty string.
func (f *Follower) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

// Run polls peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.closeConn()
	backoff := minFollowBackoff
	for ctx.Err() == nil {
		wake := f.Wake.Wait()
		peers, searching := f.orderedPeers()
		if len(peers) == 0 {
			f.setFollowing(false, "not a follower")
		}
		useful := false
		for _, address := range peers {
			if useful = f.poll(ctx, address); useful || ctx.Err() != nil {
				break
			}
		}
		if useful {
			continue
		}
		f.setFollowing(false, "no useful response")
		longest := roleCheckInterval
		if searching {
			longest = maxSearchBackoff
		}
		if sleepUntil(ctx, min(backoff, longest), wake) {
			backoff = min(2*backoff, maxSearchBackoff)
		} else {
			backoff = minFollowBackoff
		}
	}
}

// orderedPeers returns the peers to try, and whether the last one was lost. The one that
// is connected comes first if it is still among them, or is current. A search takes the
// peers in turn, maxSearchPeers in each round.
func (f *Follower) orderedPeers() ([]string, bool) {
	peers := f.Peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch at := slices.Index(peers, f.address); {
	case f.searching && len(peers) > maxSearchPeers:
		start := f.next % len(peers)
		f.next = start + maxSearchPeers
		return slices.Concat(peers[start:], peers[:start])[:maxSearchPeers], true
	case at > 0 && f.following:
		peers = append([]string{f.address}, slices.Delete(peers, at, at+1)...)
	case at < 0 && f.following && len(peers) > 0:
		peers = append([]string{f.address}, peers...)
	}
	return peers, f.searching
}

// poll asks one peer for changes once and reports whether the response was useful: the store
// answers the peer, each cache without IgnoreAge got contents whose next confirmation isn't
// overdue, and no kind needed to serve callers is missing.
func (f *Follower) poll(ctx context.Context, address string) bool {
	wait := f.Recency.PollWait()
	ctx, cancel := context.WithTimeout(ctx, wait+followTimeoutMargin)
	defer cancel()
	request := FollowRequest{Revisions: map[string]int64{}, Eras: map[string]int64{}, LagMillis: map[string]int64{}, WaitMillis: wait.Milliseconds(), Current: true}
	for _, cache := range f.Caches {
		position := cache.Position()
		request.Revisions[cache.Kind] = position.Revision
		if position.Era > 0 {
			request.Eras[cache.Kind] = position.Era
		}
		if lag, known := cache.Lag(); known && !cache.IgnoreAge {
			request.LagMillis[cache.Kind] = lag.Milliseconds()
		}
		if cache.missingRequired() {
			request.WaitMillis, request.Current = bootstrapFollowWait.Milliseconds(), false
		}
	}
	if f.isSearching() || f.NoWait != nil && f.NoWait() {
		// The peer may have lost the store too. Without waiting, all peers are asked
		// until one is found that has newer contents.
		request.WaitMillis = 0
	}
	overdue := time.AfterFunc(time.Duration(request.WaitMillis)*time.Millisecond+OverdueMargin, func() { f.setFollowing(false, "response overdue") })
	defer overdue.Stop()
	sentAt := rwtime.Now()
	var response FollowResponse
	if err := f.call(ctx, address, &request, &response); err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.Log.Info("poll of peer failed", "address", address, "cause", err.Error())
			f.recordReach(address, false)
		}
		f.closeConn()
		return false
	}
	f.recordReach(address, true)
	f.mu.Lock()
	f.lastResponse = time.Now()
	f.mu.Unlock()
	f.recordAvailability(response, sentAt)
	useful, missing, changed := !response.Away, false, false
	confirmed := rwtime.Now() // until when all contents with a bound on their age are complete
	for _, cache := range f.Caches {
		update := response.Kinds[cache.Kind]
		f.Era.Observe(update.Era)
		confirmedAt, complete := update.times(sentAt)
		accepted := update.Known && cache.UpdateComplete(update.Batch, confirmedAt, complete)
		missing = missing || cache.missingRequired()
		changed = changed || accepted && len(update.Changes) > 0
		if cache.IgnoreAge {
			continue
		}
		if !accepted {
			complete = 0
		}
		confirmed = min(confirmed, complete)
		useful = useful && rwtime.Since(complete) <= f.Recency.Overdue()
	}
	if !response.Away {
		f.confirm(confirmed) // a peer that doesn't watch the store may have the contents from this instance
	}
	if useful {
		f.setFollowing(true, "")
	}
	if missing {
		return false // another peer may have the missing kind
	}
	if changed {
		rwtime.Sleep(ctx, followBatchDelay)
	}
	return useful
}

// recordAvailability records when the store has answered the peer, before its contents are used.
// A former build tells only until when they are complete.
func (f *Follower) recordAvailability(response FollowResponse, sentAt rwtime.BootTime) {
	if response.Available != nil {
		f.Availability.Record(response.Available.span(sentAt))
		return
	}
	if response.Away {
		return
	}
	for _, update := range response.Kinds {
		if _, complete := update.times(sentAt); update.Known {
			f.Availability.Extend(complete)
		}
	}
}

func (f *Follower) recordReach(address string, reached bool) {
	if f.Reached != nil {
		f.Reached(address, reached)
	}
}

func (f *Follower) isSearching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.searching
}

// call sends a request to a peer over the open connection. If there is none, or it
// leads to another peer, call opens a new one.
func (f *Follower) call(ctx context.Context, address string, request *FollowRequest, response *FollowResponse) error {
	f.mu.Lock()
	conn := f.conn
	if f.address != address {
		conn = nil
	}
	f.mu.Unlock()
	if conn == nil {
		f.closeConn()
		dialer := net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return rwerror.New(rwerror.KindUnavailable, "follow another instance", "cannot connect to peer %s", address).WithCause(err)
		}
		conn = drpcconn.New(raw)
		f.mu.Lock()
		f.conn, f.address = conn, address
		f.mu.Unlock()
	}
	return errors.Trace(conn.Invoke(ctx, followMethod, encoding{}, request, response))
}

func (f *Follower) closeConn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		_ = f.conn.Close()
	}
	f.conn, f.address = nil, ""
}
