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
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwversion"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Notice is one datagram.
type Notice struct {
	From  string                     `json:"from"`            // name of who has the news
	Life  int64                      `json:"life"`            // of the sender: another after a restart
	Hello bool                       `json:"hello,omitempty"` // the sender has just started: tell it of your runs
	Relay bool                       `json:"relay,omitempty"` // hand it on within your zone
	Runs  []rwbackend.Run            `json:"runs,omitempty"`  // as they are now
	Lost  []string                   `json:"lost,omitempty"`  // servers that the sender lost
	Moves map[string]rwversion.Total `json:"moves,omitempty"` // what the sender saw of versions, by service
	Crash []rwpoison.Suspicion       `json:"crash,omitempty"` // requests under which servers crashed
}

const (
	// noticeMost keeps a notice within one packet, in bytes.
	noticeMost = 1400
	// runsMost and lostMost are how many fit into one notice.
	runsMost = 4
	lostMost = 16
	// gatherTime is how long news gather before they are sent: a zone's loss
	// brings many at once, and each packet costs every instance a wake-up.
	gatherTime = 5 * time.Millisecond
	// directMost is the size of a zone up to which each of its instances is sent
	// the notice; larger zones get it by one of their instances, picked at random
	// each time, so that nobody's link carries a packet for every instance.
	directMost = 6
	// helloTries is how often a start is told: datagrams get lost.
	helloTries    = 3
	helloInterval = 300 * time.Millisecond
)

// Exchange sends and takes notices. Set the exported fields before Run.
type Exchange struct {
	Self      string
	Life      int64
	Address   string
	Members   *Members
	Directory *rwbackend.Directory
	Poison    *rwpoison.Book
	Moves     *rwversion.Book
	Log       logr.Logger

	mu    sync.Mutex
	conn  *net.UDPConn
	own   map[string]rwbackend.Run // running now, to tell those who start
	lives map[string]int64
	runs  []rwbackend.Run // to be told
	lost  []string        // to be told
}

// Run takes notices until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	if err := x.open(); err != nil {
		x.Log.Error(err, "no notices from other instances")
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
		var notice Notice
		if err := json.Unmarshal(buffer[:n], &notice); err != nil {
			x.Log.Info("notice can't be read", "cause", err.Error())
			continue
		}
		x.take(notice)
	}
}

func (x *Exchange) open() error {
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

// take takes in a notice.
func (x *Exchange) take(n Notice) {
	if n.From == x.Self {
		return
	}
	x.mu.Lock()
	if x.lives == nil {
		x.lives = map[string]int64{}
	}
	earlier := x.lives[n.From]
	if n.Life < earlier {
		x.mu.Unlock()
		return // from a life that has ended
	}
	x.lives[n.From] = n.Life
	x.mu.Unlock()
	if earlier != 0 && n.Life != earlier {
		x.Directory.Forget(n.From)
	}
	if n.Relay {
		n.Relay = false
		x.post(x.Members.Zone, n)
	}
	for _, r := range n.Runs {
		r.Owner = n.From
		x.Directory.Place(r)
	}
	for _, id := range n.Lost {
		x.Directory.Lost(id)
	}
	for service, total := range n.Moves {
		if x.Moves.Merge(n.From, service, total) {
			x.Log.Info("new version found bad", "service", service, "by", n.From)
		}
	}
	for _, s := range n.Crash {
		x.Poison.Merge(s)
	}
	if n.Hello {
		x.answer(n.From)
	}
}

// answer tells an instance that has just started of the own runs.
func (x *Exchange) answer(name string) {
	var to []Member
	for _, m := range x.Members.Others() {
		if m.Name == name {
			to = append(to, m)
		}
	}
	x.mu.Lock()
	runs := make([]rwbackend.Run, 0, len(x.own))
	for _, r := range x.own {
		runs = append(runs, r)
	}
	x.mu.Unlock()
	for len(runs) > 0 {
		n := min(runsMost, len(runs))
		x.send(to, x.signed(Notice{Runs: runs[:n]}))
		runs = runs[n:]
	}
}

// Hello tells the others that this instance has started, until ctx ends or it
// was told often enough.
func (x *Exchange) Hello(ctx context.Context) {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for told := 0; told < helloTries; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if others := x.Members.Others(); len(others) > 0 {
			x.send(others, x.signed(Notice{Hello: true}))
			told++
		}
	}
}

// Tell tells of a run of this instance as it is now.
func (x *Exchange) Tell(r rwbackend.Run) {
	x.Directory.Place(r)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.own == nil {
		x.own = map[string]rwbackend.Run{}
	}
	old, known := x.own[r.ID]
	if r.Ended {
		delete(x.own, r.ID)
	} else {
		x.own[r.ID] = r
	}
	if old.Begun = r.Begun; known && old == r {
		return // that a run has begun is told by the time that has passed
	}
	r.Owner = "" // it is the sender's
	x.gatherLocked()
	x.runs = append(x.runs, r)
}

// Lost tells of a server that this instance lost.
func (x *Exchange) Lost(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gatherLocked()
	x.lost = append(x.lost, id)
}

// TellMove tells what this instance has seen of the versions of a service.
func (x *Exchange) TellMove(service string, t rwversion.Total) {
	x.spread(x.signed(Notice{Moves: map[string]rwversion.Total{service: t}}))
}

// Suspect tells of a request under which a server crashed.
func (x *Exchange) Suspect(s rwpoison.Suspicion) {
	x.spread(x.signed(Notice{Crash: []rwpoison.Suspicion{s}}))
}

func (x *Exchange) gatherLocked() {
	if len(x.runs)+len(x.lost) == 0 {
		time.AfterFunc(gatherTime, x.flush)
	}
}

// flush sends what has gathered.
func (x *Exchange) flush() {
	x.mu.Lock()
	runs, lost := x.runs, x.lost
	x.runs, x.lost = nil, nil
	x.mu.Unlock()
	for len(runs) > 0 || len(lost) > 0 {
		r, l := min(runsMost, len(runs)), min(lostMost, len(lost))
		if r > 0 && l > lostMost/4 {
			r = min(r, runsMost/2)
		}
		x.spread(x.signed(Notice{Runs: runs[:r], Lost: lost[:l]}))
		runs, lost = runs[r:], lost[l:]
	}
}

func (x *Exchange) signed(n Notice) Notice {
	n.From, n.Life = x.Self, x.Life
	return n
}

// spread sends a notice to all instances, to large zones by one of theirs.
func (x *Exchange) spread(n Notice) {
	for zone, members := range x.Members.Zones() {
		if len(members) <= directMost || zone == x.Members.Zone && x.Members.Large() {
			x.post(zone, n)
			continue
		}
		relay := n
		relay.Relay = true
		relays := Relays(members)
		at := rand.IntN(len(relays))
		x.send(relays[at:at+1], relay)
	}
}

// post sends a notice to all other instances of a zone.
func (x *Exchange) post(zone string, n Notice) {
	x.send(x.Members.Zones()[zone], n)
}

func (x *Exchange) send(to []Member, n Notice) {
	content, err := json.Marshal(n)
	if err != nil || len(content) > noticeMost {
		x.Log.Info("notice not sent", "bytes", len(content))
		return
	}
	x.mu.Lock()
	conn := x.conn
	x.mu.Unlock()
	if conn == nil {
		return
	}
	for _, m := range to {
		address, err := netip.ParseAddrPort(m.Notices)
		if err != nil || m.Name == n.From {
			continue
		}
		// A notice that can't be sent is a notice lost.
		_, _ = conn.WriteToUDPAddrPort(content, address)
	}
}
