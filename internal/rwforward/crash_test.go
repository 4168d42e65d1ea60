package rwforward

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwloopback"
	"ragwortwall/internal/rwloss"
	"ragwortwall/internal/rwpart"
	"ragwortwall/internal/rwpath"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwrelay"
	"ragwortwall/internal/rwroute"
	"ragwortwall/pkg/rwset"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// TestFingerprintAcrossRetries guards against requests that crash servers and are not
// recognised when they come again, because an id that is new each time was covered.
func TestFingerprintAcrossRetries(t *testing.T) {
	newCall := func(org, target, body string, info RequestInfo) *call {
		return &call{r: httptest.NewRequest("POST", target, strings.NewReader(body)), org: rwroute.Organisation{Name: org}, body: []byte(body), info: info}
	}
	first := newCall("team", "/drafts/1", "text", RequestInfo{ID: "a", LastPart: "p1"}).computeFingerprint()
	for name, c := range map[string]struct {
		again *call
		same  bool
	}{
		"new request id and part":   {newCall("team", "/drafts/1", "text", RequestInfo{ID: "b", LastPart: "p2"}), true},
		"resumed":                   {newCall("team", "/drafts/1", "text", RequestInfo{ID: "b", Cursor: 3, Resumed: true}), true},
		"another key of the caller": {newCall("team", "/drafts/1", "text", RequestInfo{ID: "b", Key: "k2"}), true},
		"other path":                {newCall("team", "/drafts/2", "text", RequestInfo{ID: "a"}), false},
		"other query":               {newCall("team", "/drafts/1?page=2", "text", RequestInfo{ID: "a"}), false},
		"other body":                {newCall("team", "/drafts/1", "other", RequestInfo{ID: "a"}), false},
		"other organisation":        {newCall("guild", "/drafts/1", "text", RequestInfo{ID: "a"}), false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.same, c.again.computeFingerprint() == first)
		})
	}
}

// TestJudgeLoss guards against crashes that are left out when they are judged: because the
// request crashed several servers of a zone in a row, because the server was back already,
// because the loss of a server was not recorded, or because a response that was already on its
// way is taken for a sign that the server still runs.
func TestJudgeLoss(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	open := listener.Addr().String()
	server := rwbackend.Entry{ID: "s1", Service: "model", Zone: "a", Address: rwloopback.Address(), Incarnation: 1}
	other := rwbackend.Entry{ID: "s2", Service: "model", Zone: "a", Address: rwloopback.Address(), Incarnation: 1}
	with := func(e rwbackend.Entry, change func(e *rwbackend.Entry)) rwbackend.Entry {
		change(&e)
		return e
	}
	for name, c := range map[string]struct {
		prepare func(d *rwbackend.Directory, p *rwpoison.Registry)
		address string // of the server; one that refuses connections if empty
		ended   bool
		reason  lossReason
	}{
		"alone":               {func(d *rwbackend.Directory, _ *rwpoison.Registry) { d.RecordLoss("s1") }, "", true, ""},
		"losses not recorded": {func(*rwbackend.Directory, *rwpoison.Registry) {}, "", true, ""},
		"with another": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			d.RecordLoss("s1")
			d.RecordLoss("s2")
		}, "", true, lossCorrelated},
		"with another of its own": {func(d *rwbackend.Directory, p *rwpoison.Registry) {
			d.RecordLoss("s1")
			d.RecordLoss("s2")
			p.RecordLoss(7, processName(other))
		}, "", true, ""},
		"accepts connections": {func(*rwbackend.Directory, *rwpoison.Registry) {}, open, false, lossAccepts},
		"responds": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			time.Sleep(2 * time.Millisecond)
			d.RecordResponse("s1", false, time.Millisecond, rwbackend.Load{})
		}, "", false, lossResponds},
		"responds with an event": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			time.Sleep(2 * rwbackend.MaxBufferTime)
			d.RecordFirstEvent("s1")
		}, "", false, lossResponds},
		"response to an earlier request": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			time.Sleep(time.Millisecond)
			d.RecordResponse("s1", false, time.Second, rwbackend.Load{})
		}, "", true, ""},
		"event from a buffer": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			time.Sleep(time.Millisecond)
			d.RecordFirstEvent("s1")
		}, "", true, ""},
		"back under its id": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			d.Put(with(server, func(e *rwbackend.Entry) { e.Incarnation, e.Address = 2, open }))
		}, "", true, ""},
		"back under another id": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			d.Put(with(server, func(e *rwbackend.Entry) { e.Incarnation, e.ID = 2, "s3" }))
		}, "", true, ""},
		"leaving": {func(d *rwbackend.Directory, _ *rwpoison.Registry) {
			d.Put(with(server, func(e *rwbackend.Entry) { e.Leaving = true }))
		}, "", true, lossLeaving},
		"unlisted": {func(d *rwbackend.Directory, _ *rwpoison.Registry) { d.Remove("s1") }, "", true, lossUnlisted},
	} {
		t.Run(name, func(t *testing.T) {
			d, poison := rwbackend.NewDirectory("self"), &rwpoison.Registry{}
			d.Put(server)
			d.Put(other)
			call := &call{f: &Forwarder{Directory: d, Poison: poison, Parts: &rwpart.Registry{}}, fingerprint: 7, lost: rwset.New[string]()}
			since := time.Now()
			c.prepare(d, poison)
			ended, reason := call.judgeLoss(with(server, func(e *rwbackend.Entry) { e.Address = cmp.Or(c.address, e.Address) }), since, io.ErrUnexpectedEOF)
			require.Equal(t, c.ended, ended)
			require.Equal(t, c.reason, reason)
		})
	}
}

// TestExchangeEndedHere guards against a sound request that is quarantined because of servers that
// send without end, or callers that leave: an instance that is short of processor time ends these
// exchanges, and then can't open a connection to the servers in time.
func TestExchangeEndedHere(t *testing.T) {
	refuses := func(context.Context, string, time.Duration) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	silent := func(context.Context, string, time.Duration) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }
	for name, c := range map[string]struct {
		dial   rwlink.DialFunc
		cause  error
		ended  bool
		reason lossReason
	}{
		"head without end":              {silent, rwlink.ErrHeadTooLong, false, lossAccepts},
		"body without end":              {silent, rwlink.ErrBodyTooLong, false, lossAccepts},
		"responses to other requests":   {silent, rwlink.ErrNoOwnResponse, false, lossAccepts},
		"trailer line without end":      {silent, http.ErrLineTooLong, false, lossAccepts},
		"event without end":             {silent, rwrelay.ErrEventTooLong, false, lossAccepts},
		"no room for the response":      {silent, errors.Trace(errBuffersFull), false, lossAccepts},
		"the caller left":               {silent, rwlink.ErrAborted, false, lossAccepts},
		"the caller left in a write":    {silent, &net.OpError{Op: "write", Err: net.ErrClosed}, false, lossAccepts},
		"connection broken":             {silent, io.ErrUnexpectedEOF, true, ""},
		"silent":                        {silent, errHung, true, ""},
		"ended after what was too long": {refuses, rwlink.ErrHeadTooLong, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			server := rwbackend.Entry{ID: "s1", Service: "model", Zone: "a", Address: rwloopback.Address(), Incarnation: 1}
			d := rwbackend.NewDirectory("self")
			d.Put(server)
			call := &call{f: &Forwarder{Directory: d, Dialer: &rwpath.Dialer{Direct: c.dial}, Poison: &rwpoison.Registry{}}, lost: rwset.New[string]()}
			ended, reason := call.judgeLoss(server, time.Now(), c.cause)
			require.Equal(t, c.ended, ended)
			require.Equal(t, c.reason, reason)
		})
	}
}

// TestLossAtAcceptingAddress guards against a crash that is left out because the address of the
// server accepts connections again before the store lists the new process, and against a request
// that is blamed for a broken connection to a server that runs on.
func TestLossAtAcceptingAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := rwbackend.Entry{ID: "s1", Service: "orders", Zone: "a", Address: listener.Addr().String(), Incarnation: 1}
	for name, c := range map[string]struct {
		later   func(d *rwbackend.Directory)
		crashes int
	}{
		"a new process is listed": {func(d *rwbackend.Directory) {
			restarted := server
			restarted.ID, restarted.Incarnation = "s2", 2
			d.Put(restarted)
		}, 1},
		"the server answers": {func(d *rwbackend.Directory) { d.RecordResponse("s1", false, time.Millisecond, rwbackend.Load{}) }, 0},
		"the server stops in order": {func(d *rwbackend.Directory) {
			leaving := server
			leaving.Leaving = true
			d.Put(leaving)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, poison := rwbackend.NewDirectory("self"), &rwpoison.Registry{}
			d.Put(server)
			f := &Forwarder{Directory: d, Poison: poison, Parts: &rwpart.Registry{}, NotifySuspicion: func(rwpoison.Suspicion) {}}
			f.OpenLosses = &rwloss.Ledger{Rule: rwloss.Rule{Expiry: time.Second}, Directory: d, ListAge: func() (time.Duration, bool) { return time.Hour, true }}
			call := &call{f: f, r: httptest.NewRequest(http.MethodGet, "/x", nil), fingerprint: 7, lost: rwset.New[string]()}
			call.reportLoss(server, io.ErrUnexpectedEOF)
			const judged = crashCheckDelay + restartCheckDelay + time.Second
			require.Eventually(t, func() bool { return f.OpenLosses.Count() == 1 }, judged, time.Millisecond)
			require.Empty(t, poison.Get(7).Servers)
			c.later(d)
			require.Eventually(t, func() bool { return f.OpenLosses.Count() == 0 }, judged, time.Millisecond)
			time.Sleep(10 * time.Millisecond) // after the last loss was taken from the list, it is recorded
			require.Len(t, poison.Get(7).Servers, c.crashes)
		})
	}
}

// TestLossOfCompletedRequest guards against a sound request that is blamed for a server that ended
// later: another server completed it before its loss was judged for the first time.
func TestLossOfCompletedRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	server := rwbackend.Entry{ID: "s1", Service: "orders", Zone: "a", Address: listener.Addr().String(), Incarnation: 1}
	d, poison := rwbackend.NewDirectory("self"), &rwpoison.Registry{}
	d.Put(server)
	f := &Forwarder{Directory: d, Poison: poison, Parts: &rwpart.Registry{}, NotifySuspicion: func(rwpoison.Suspicion) {}}
	f.OpenLosses = &rwloss.Ledger{Directory: d, ListAge: func() (time.Duration, bool) { return 0, false }}
	call := &call{f: f, r: httptest.NewRequest(http.MethodGet, "/x", nil), fingerprint: 7, lost: rwset.New[string]()}
	call.reportLoss(server, io.ErrUnexpectedEOF)
	call.recordSurvival("s2", http.StatusOK)
	time.Sleep(crashCheckDelay + restartCheckDelay + 200*time.Millisecond)
	require.Zero(t, f.OpenLosses.Count())
	require.Empty(t, poison.Get(7).Losses)
}
