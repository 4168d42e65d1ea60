package rwpeer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwduty"
	"ragwortwall/internal/rwlimit"
	"ragwortwall/internal/rwpart"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwusage"
	"ragwortwall/internal/rwversion"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Notice is the content of one datagram.
type Notice struct {
	From          string                     `json:"from"`            // name of the original sender, also in a relayed notice
	Incarnation   int64                      `json:"life"`            // of that instance; grows with each restart
	Hello         bool                       `json:"hello,omitempty"` // the sender has just started and asks for the receiver's runs
	Relay         bool                       `json:"relay,omitempty"` // the receiver must forward it within its zone
	Runs          []rwbackend.Run            `json:"runs,omitempty"`  // current state of changed runs
	LostServers   []string                   `json:"lost,omitempty"`  // ids of servers that the sender lost
	FullServers   []FullServer               `json:"full,omitempty"`  // servers that the sender found full
	VersionTotals map[string]rwversion.Total `json:"moves,omitempty"` // the sender's evidence on old and new versions, by service
	Suspicions    []rwpoison.Suspicion       `json:"crash,omitempty"` // requests suspected of crashing servers

	Findings []rwpart.Finding `json:"findings,omitempty"` // on parts of prompts suspected of crashing servers

	Limits     []rwlimit.Finding `json:"limits,omitempty"` // that servers name
	LimitAsk   *rwlimit.Ask      `json:"want,omitempty"`   // a question to the owner of a server's limit
	LimitGrant *rwlimit.Grant    `json:"grant,omitempty"`  // its answer
	AskHeard   []string          `json:"heard,omitempty"`  // instances that don't answer the sender: who hears from them?
	Heard      []string          `json:"alive,omitempty"`  // those that the sender hears from

	Usage       *rwusage.Message `json:"usage,omitempty"`       // sums of requests by window and organisation
	UsageAnswer *rwusage.Answer  `json:"usageanswer,omitempty"` // what the instance that reports usage answers

	Lacks  []int             `json:"lacks,omitempty"`  // in a hello: the parts of the answer that did not arrive; empty for all
	For    int64             `json:"for,omitempty"`    // incarnation of the instance that is answered
	Parts  int               `json:"parts,omitempty"`  // in an answer to a hello: of how many parts it consists
	Part   int               `json:"part,omitempty"`   // in an answer to a hello: the number of this part, from 0
	Ask    *SuspicionRequest `json:"ask,omitempty"`    // the sender asks for suspicions
	Answer *SuspicionAnswer  `json:"answer,omitempty"` // Suspicions answer a request

	Duty *rwduty.Announcement `json:"duty,omitempty"` // the sender holds the lease of the duties, or has given it up

	encoded []byte // for a notice to forward, with what this build doesn't know
}

// FullServer is a server whose queue is full.
type FullServer struct {
	ID     string `json:"id"`
	Millis int64  `json:"ms"`              // for which it counts as full
	Queue  int    `json:"queue,omitempty"` // see rwbackend.Full
}

const (
	// maxNoticeBytes keeps a notice within one packet.
	maxNoticeBytes = 1400
	// maxRunsPerNotice and maxLostPerNotice are how many fit into maxNoticeBytes.
	maxRunsPerNotice = 4
	maxLostPerNotice = 16
	// batchDelay is how long runs and losses are collected into one notice: the loss of
	// a zone brings many at once, and each packet costs every instance a wake-up.
	batchDelay = 5 * time.Millisecond
	// maxDirectZoneSize is the number of other instances in a zone up to which each is
	// sent the notice directly. A larger zone gets it through a relay, picked at random
	// each time, so that no link carries a packet for every instance.
	maxDirectZoneSize = 6
)

// Exchange sends and receives notices. Set the exported fields before Run.
type Exchange struct {
	Self        string
	Incarnation int64
	Address     string
	Members     *Members
	Directory   *rwbackend.Directory
	Poison      *rwpoison.Registry
	Parts       *rwpart.Registry
	Limits      *rwlimit.Limiter // nil to exchange none
	Moves       *rwversion.Moves
	Usage       UsageReceiver // nil if the deployment doesn't report usage
	Log         logr.Logger

	HeardDuty func(a rwduty.Announcement) // gets the announcements of who holds the duties; nil to ignore them

	mu           sync.Mutex
	conn         *net.UDPConn
	ownRuns      map[string]rwbackend.Run // current runs by id, sent to instances that start
	incarnations map[string]int64         // newest known of each instance
	heardAt      map[string]time.Time     // when each instance's last notice came
	pendingRuns  []rwbackend.Run          // to be sent with the next notices
	pendingLost  []string                 // to be sent with the next notices

	pendingSuspicions []rwpoison.Suspicion // to be sent with the next notices
	parts             partQueue

	transmit func(to netip.AddrPort, content []byte) // replaces the socket in tests
	outbox   outbox
	start    start
	answers  map[string]*helloAnswer // by the instance that asked
	requests map[string]Notice       // requests for suspicions to be answered, by sender
}

// Run receives notices until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	if err := x.listen(); err != nil {
		x.Log.Error(err, "cannot listen for notices of other instances")
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	buffer := make([]byte, 4<<10)
	for {
		n, err := x.conn.Read(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		x.receive(buffer[:n])
	}
}

// receive handles the content of one datagram.
func (x *Exchange) receive(content []byte) {
	var notice Notice
	if err := json.Unmarshal(content, &notice); err != nil {
		x.Log.Info("cannot decode notice", "cause", err.Error())
		return
	}
	if notice.Relay {
		notice.encoded = withoutRelay(content)
	}
	x.handle(notice)
}

// withoutRelay returns an encoded notice without the field that has it forwarded. Other fields
// stay, also those of later builds.
func withoutRelay(content []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(content, &fields) != nil {
		return nil
	}
	delete(fields, "relay")
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil
	}
	return encoded
}

func (x *Exchange) listen() error {
	address, err := net.ResolveUDPAddr("udp4", x.Address)
	if err != nil {
		return errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Trace(err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = conn
	return nil
}

// handle applies a received notice and forwards it if asked.
func (x *Exchange) handle(n Notice) {
	if n.From == x.Self {
		return
	}
	x.mu.Lock()
	if x.incarnations == nil {
		x.incarnations = map[string]int64{}
		x.heardAt = map[string]time.Time{}
	}
	earlier := x.incarnations[n.From]
	if n.Incarnation < earlier {
		x.mu.Unlock()
		return // sent before the instance restarted
	}
	x.incarnations[n.From] = n.Incarnation
	x.heardAt[n.From] = time.Now()
	x.mu.Unlock()
	x.Members.RecordHeard(n.From)
	if earlier != 0 && n.Incarnation != earlier {
		x.Directory.EndRunsOf(n.From)
	}
	if n.Relay {
		n.Relay = false
		x.forward(n)
	}
	for _, r := range n.Runs {
		r.Owner = n.From
		x.Directory.PutRun(r)
	}
	for _, id := range n.LostServers {
		x.Directory.RecordLoss(id)
	}
	for _, full := range n.FullServers {
		wait := time.Duration(min(full.Millis, rwbackend.MaxFull.Milliseconds())) * time.Millisecond
		x.Directory.MarkFull(full.ID, rwbackend.Full{For: wait, Queue: full.Queue})
	}
	for service, total := range n.VersionTotals {
		if x.Moves.SetPeerEvidence(n.From, service, total) {
			x.Log.Info("new version judged bad after evidence from a peer", "service", service, "by", n.From)
		}
	}
	for _, s := range n.Suspicions {
		x.mergeSuspicion(n.From, s)
	}
	x.mergeParts(n)
	x.handleLimits(n)
	x.handleDuty(n)
	x.handleUsage(n)
	x.handleStart(n)
}

// AnnounceRun records the current state of a run of this instance and announces it to
// the other instances.
func (x *Exchange) AnnounceRun(r rwbackend.Run) {
	x.Directory.PutRun(r)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ownRuns == nil {
		x.ownRuns = map[string]rwbackend.Run{}
	}
	old, known := x.ownRuns[r.ID]
	if r.Ended {
		delete(x.ownRuns, r.ID)
	} else {
		x.ownRuns[r.ID] = r
	}
	old.Started, old.Revision = r.Started, r.Revision
	if known && old == r {
		return // Begun alone isn't announced: receivers infer it from the time passed
	}
	r.Owner = "" // receivers take the owner from Notice.From
	x.scheduleFlushLocked()
	x.pendingRuns = append(x.pendingRuns, r)
}

// AnnounceLoss announces that this instance lost a server.
func (x *Exchange) AnnounceLoss(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scheduleFlushLocked()
	x.pendingLost = append(x.pendingLost, id)
}

// AnnounceFull announces at once that a server is full for a time. It is told once for that time,
// by whoever finds it out first, and is of no use later.
func (x *Exchange) AnnounceFull(id string, full rwbackend.Full) {
	x.broadcast(x.withSender(Notice{FullServers: []FullServer{{ID: id, Millis: full.For.Milliseconds(), Queue: full.Queue}}}))
}

// AnnounceVersionTotal announces this instance's evidence on the old and new version of a service.
// If that doesn't fit into a notice by periods, it is announced as that of one period.
func (x *Exchange) AnnounceVersionTotal(service string, t rwversion.Total) {
	n := x.withSender(Notice{VersionTotals: map[string]rwversion.Total{service: t}, Relay: true})
	if content, err := json.Marshal(n); err == nil && len(content) > maxNoticeBytes {
		t.Old, t.New = t.Old.WithoutPeriods(), t.New.WithoutPeriods()
		n.VersionTotals[service] = t
	}
	n.Relay = false
	x.broadcast(n)
}

// scheduleFlushLocked schedules a flush if none is scheduled yet. Callers add to what is
// pending after it.
func (x *Exchange) scheduleFlushLocked() {
	if len(x.pendingRuns)+len(x.pendingLost)+len(x.pendingSuspicions) == 0 {
		time.AfterFunc(batchDelay, x.flush)
	}
}

// flush sends what is pending. Runs and losses go into one notice, which must fit into
// maxNoticeBytes.
func (x *Exchange) flush() {
	x.mu.Lock()
	runs, lost, suspicions := x.pendingRuns, x.pendingLost, x.pendingSuspicions
	x.pendingRuns, x.pendingLost, x.pendingSuspicions = nil, nil, nil
	x.mu.Unlock()
	for len(runs) > 0 || len(lost) > 0 {
		r, l := min(maxRunsPerNotice, len(runs)), min(maxLostPerNotice, len(lost))
		if r > 0 && l > maxLostPerNotice/4 {
			r = min(r, maxRunsPerNotice/2)
		}
		x.broadcast(x.withSender(Notice{Runs: runs[:r], LostServers: lost[:l]}))
		runs, lost = runs[r:], lost[l:]
	}
	x.queueSuspicions(suspicions)
}

func (x *Exchange) withSender(n Notice) Notice {
	n.From, n.Incarnation = x.Self, x.Incarnation
	return n
}

// broadcast sends a notice to all other instances, through a relay in large zones.
func (x *Exchange) broadcast(n Notice) {
	direct, relays := x.recipients()
	x.send(direct, n)
	n.Relay = true
	x.send(relays, n)
}

// recipients returns the instances to send a notice to directly, and one relay for each
// other zone.
func (x *Exchange) recipients() (direct, relays []Member) {
	for zone, members := range x.Members.ByZone() {
		if len(members) <= maxDirectZoneSize || zone == x.Members.Zone && x.Members.Large() {
			direct = append(direct, members...)
			continue
		}
		candidates := Relays(members)
		if heard := x.Members.heardOf(members); len(heard) > 0 {
			candidates = Relays(heard)
		}
		relays = append(relays, candidates[rand.IntN(len(candidates))])
	}
	return direct, relays
}

// send sends a notice at once to the given instances, except to the one that it comes
// from.
func (x *Exchange) send(to []Member, n Notice) {
	if len(to) == 0 {
		return
	}
	content, ok := x.encode(n)
	if !ok {
		return
	}
	x.mu.Lock()
	transmit := x.transmitterLocked()
	x.mu.Unlock()
	for _, m := range to {
		if m.Name != n.From {
			transmitTo(transmit, m, content)
		}
	}
}

// encode returns the content of a notice's datagram.
func (x *Exchange) encode(n Notice) ([]byte, bool) {
	if n.encoded != nil {
		return n.encoded, true
	}
	content, err := json.Marshal(n)
	if err != nil || len(content) > maxNoticeBytes {
		x.Log.Info("notice not sent: too large or cannot be encoded", "bytes", len(content))
		return nil, false
	}
	return content, true
}

// transmitterLocked returns what sends a datagram, or nil if the socket is not open.
func (x *Exchange) transmitterLocked() func(to netip.AddrPort, content []byte) {
	if x.transmit != nil || x.conn == nil {
		return x.transmit
	}
	conn := x.conn
	return func(to netip.AddrPort, content []byte) {
		// A failed send counts as a lost datagram.
		_, _ = conn.WriteToUDPAddrPort(content, to)
	}
}

func transmitTo(transmit func(to netip.AddrPort, content []byte), m Member, content []byte) {
	address, err := netip.ParseAddrPort(m.NoticeAddress)
	if err == nil && transmit != nil {
		transmit(address, content)
	}
}

// HeardWithin returns how many other instances have sent this one a notice within a time. Those
// that have nothing to tell send none.
func (x *Exchange) HeardWithin(d time.Duration) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	heard, now := 0, time.Now()
	for _, at := range x.heardAt {
		if now.Sub(at) <= d {
			heard++
		}
	}
	return heard
}
