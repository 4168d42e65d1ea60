package rwpeer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Notice is one datagram.
type Notice struct {
	From  string          `json:"from"`            // name of the sender
	Life  int64           `json:"life"`            // of the sender: another after a restart
	Hello bool            `json:"hello,omitempty"` // the sender has just started: tell it of your runs
	Runs  []rwbackend.Run `json:"runs,omitempty"`  // as they are now
	Lost  []string        `json:"lost,omitempty"`  // servers that the sender lost
}

const (
	// noticeMost keeps a notice within one packet, in bytes.
	noticeMost = 1300
	// runsMost is how many runs fit into one notice.
	runsMost = 4
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
	Log       logr.Logger

	mu    sync.Mutex
	conn  *net.UDPConn
	own   map[string]rwbackend.Run // running now, to tell those who start
	lives map[string]int64
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
	for _, r := range n.Runs {
		x.Directory.Place(r)
	}
	for _, id := range n.Lost {
		x.Directory.Lost(id)
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
		x.send(to, Notice{Runs: runs[:n]})
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
			x.send(others, Notice{Hello: true})
			told++
		}
	}
}

// Tell tells of a run of this instance as it is now.
func (x *Exchange) Tell(r rwbackend.Run) {
	x.Directory.Place(r)
	x.mu.Lock()
	if x.own == nil {
		x.own = map[string]rwbackend.Run{}
	}
	if r.Ended {
		delete(x.own, r.ID)
	} else {
		x.own[r.ID] = r
	}
	x.mu.Unlock()
	x.send(x.Members.Others(), Notice{Runs: []rwbackend.Run{r}})
}

// Lost tells of a server that this instance lost.
func (x *Exchange) Lost(id string) {
	x.send(x.Members.Others(), Notice{Lost: []string{id}})
}

func (x *Exchange) send(to []Member, n Notice) {
	n.From, n.Life = x.Self, x.Life
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
		if err != nil {
			continue
		}
		// A notice that can't be sent is a notice lost.
		_, _ = conn.WriteToUDPAddrPort(content, address)
	}
}
