package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"ragwortwall/internal/rwcrowd"
	"ragwortwall/platform/standin"

	"github.com/stretchr/testify/require"
)

// Limits of the processes that get callers outside the limits. The bounds of the checks are
// these limits: they come from the settings, not from what a process was seen to use.
const (
	doorMemory      = smallestMemory // MB
	doorDescriptors = 600
	wideDescriptors = 4100 // for crowds that are to be bounded by the memory
	// reservedDescriptors of them are for files, so that this many are left for connections.
	reservedDescriptors = 200
	manyConns           = 900 // more than there are descriptors
	settleTime          = time.Second
)

// crowd is a form of what callers outside the limits send at one door: each opens a
// connection, sends, reads nothing and stays.
type crowd struct {
	name  string
	conns int // manyConns comes with doorDescriptors, other numbers with wideDescriptors
	door  func(i testInstance) string
	send  rwcrowd.Sender
}

func callersDoor(i testInstance) string { return i.CallerAddress }
func readyDoor(i testInstance) string   { return i.ReadyAddress }
func peerDoor(i testInstance) string    { return i.ControlAddress }
func relayDoor(i testInstance) string   { return i.NoticeAddress }

func metricsDoor(i testInstance) string {
	host, _, _ := net.SplitHostPort(i.NoticeAddress)
	return net.JoinHostPort(host, "9464")
}

// headOf returns the first lines of the head of a request, without its end.
func headOf(line string) string {
	return line + " HTTP/1.1\r\nHost: " + standin.Host + "\r\nAuthorization: Bearer " + standin.Key + "\r\nRagwortwall-Request-Id: door%d\r\n"
}

const (
	legalHead  = 15 << 10 // bytes; the limit of the settings is 16 KiB
	longHead   = 60 << 10
	shortOfEnd = "Content-Length: 10\r\n\r\n123456789"
)

var oneByteChunks = strings.Repeat("1\r\nx\r\n", 100_000)

// crowds are the forms at the doors where they differ. Their sizes are small, and fixed.
var crowds = []crowd{
	{"no byte", manyConns, callersDoor, rwcrowd.Nothing},
	{"part of a head", manyConns, callersDoor, rwcrowd.Text("POST /drafts/x HTTP/1.1\r\nHo")},
	{"one byte at a time", manyConns, callersDoor, rwcrowd.Slowly(headOf("POST /drafts/x") + shortOfEnd)},
	{"short of its end, no route", manyConns, callersDoor, rwcrowd.Text(headOf("POST /nowhere/x"), shortOfEnd)},
	{"short of its end, ready path", manyConns, callersDoor, rwcrowd.Text(headOf("POST /ragwortwall/readyz"), shortOfEnd)},
	{"short of its end", manyConns, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), shortOfEnd)},
	{"expects 100", manyConns, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), "Expect: 100-continue\r\nContent-Length: 10\r\n\r\n")},
	{"many fields", 600, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), rwcrowd.ShortFields(legalHead), shortOfEnd)},
	{"many fields, no route", 600, callersDoor, rwcrowd.Text(headOf("POST /nowhere/x"), rwcrowd.ShortFields(legalHead), shortOfEnd)},
	{"many fields, no end of the head", 200, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), rwcrowd.ShortFields(longHead))},
	{"field of many parts", 600, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), "Connection: ", strings.Repeat("a,", legalHead/2), "\r\nRagwortwall-Prompt-Prefix: a:1\r\n", shortOfEnd)},
	{"prompt of many parts", 600, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), "Ragwortwall-Prompt-Prefix: ", strings.Repeat("a,", legalHead/2), "\r\n", shortOfEnd)},
	{"long bodies", 200, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), "Content-Length: 1000000\r\n\r\n", strings.Repeat("x", 999_999))},
	{"chunks of one byte", 200, callersDoor, rwcrowd.Text(headOf("POST /drafts/x"), "Transfer-Encoding: chunked\r\n\r\n", oneByteChunks)},
	{"endless body", 100, callersDoor, rwcrowd.Endless(headOf("POST /orders/x")+"Content-Length: 100000000000\r\n\r\n", "x")},
	{"endless chunks, no route", 100, callersDoor, rwcrowd.Endless(headOf("POST /nowhere/x")+"Transfer-Encoding: chunked\r\n\r\n", "1;e=1\r\nx\r\n")},
	{"endless trailers", 100, callersDoor, rwcrowd.Endless(headOf("POST /orders/x")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "Xab: c\r\n")},
	{"sent ahead", manyConns, callersDoor, rwcrowd.Endless("", headOf("GET /looks/x")+"\r\n")},
	{"sent ahead, many fields", 600, callersDoor, rwcrowd.Endless("", headOf("GET /nowhere/x")+rwcrowd.ShortFields(legalHead)+"\r\n")},
	{"long answers not read", 100, callersDoor, rwcrowd.Text(headOf("GET /looks/long"), "\r\n")},
	{"streams not read", 100, callersDoor, rwcrowd.Text(headOf("GET /drafts/endless"), "\r\n")},
	{"no byte, ready", manyConns, readyDoor, rwcrowd.Nothing},
	{"many fields, ready", 40, readyDoor, rwcrowd.Text("GET / HTTP/1.1\r\nHost: h\r\n", rwcrowd.ShortFields(900<<10))},
	{"no byte, metrics", manyConns, metricsDoor, rwcrowd.Nothing},
	{"many fields, metrics", 40, metricsDoor, rwcrowd.Text("GET /metrics HTTP/1.1\r\nHost: h\r\n", rwcrowd.ShortFields(900<<10))},
	{"state not read", 40, metricsDoor, rwcrowd.Endless("", "GET /state HTTP/1.1\r\nHost: h\r\n\r\n")},
	{"no byte, other instances", manyConns, peerDoor, rwcrowd.Nothing},
	{"long message, other instances", 60, peerDoor, rwcrowd.Text("\x02\x01\x01\x80\x80\xff\x01", strings.Repeat("x", 4<<20-1<<15))},
	{"no byte, relay", manyConns, relayDoor, rwcrowd.Nothing},
	{"many fields, relay", 40, relayDoor, rwcrowd.Text("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n", rwcrowd.ShortFields(900<<10))},
}

func (c crowd) descriptors() int {
	if c.conns == manyConns {
		return doorDescriptors
	}
	return wideDescriptors
}

// doorWorld is a process with servers that answers callers.
type doorWorld struct {
	instance testInstance
	cmd      *exec.Cmd
	exited   chan error
}

func startDoorWorld(t *testing.T, program string, descriptors int) doorWorld {
	t.Helper()
	store := &standin.Store{}
	store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	fleet := &standin.Fleet{Store: store, EventInterval: 10 * time.Millisecond, PrefillTime: 20 * time.Millisecond, OrderTime: 5 * time.Millisecond}
	t.Cleanup(fleet.Close)
	_, err := fleet.Start(standin.ModelService, standin.Zone(0), "", true)
	require.NoError(t, err)
	store.Put("servers", "orders-0", map[string]any{
		"service": standin.OrderService, "address": serveLongAnswers(t), "zone": standin.Zone(0), "version": "v1", "slots": 200, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
	})
	w := doorWorld{instance: newInstance(t, store), exited: make(chan error, 1)}
	w.instance.MemoryMB, w.instance.MaxFDs = doorMemory, descriptors
	w.cmd = w.instance.commandOf(t, program)
	var log lockedBuffer
	w.cmd.Stdout, w.cmd.Stderr = &log, &log
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.lastLines())
		}
	})
	require.NoError(t, w.cmd.Start())
	go func() { w.exited <- w.cmd.Wait() }()
	t.Cleanup(func() { _ = w.cmd.Process.Kill() })
	require.Eventually(t, w.instance.ready, waitTimeout, pollInterval)
	return w
}

// serveLongAnswers answers requests with a short text, or a long one at paths that end in
// "long", and returns the server's address.
func serveLongAnswers(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	handle := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			length := 10
			if strings.HasSuffix(r.URL.Path, "long") {
				length = 2 << 20
			}
			if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", signedHead, length, strings.Repeat("x", length)); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// requireSound checks that a process lives, has stayed within its memory and descriptors, is
// ready and answers an ordinary request.
func (w doorWorld) requireSound(t *testing.T) {
	t.Helper()
	pid := w.cmd.Process.Pid
	require.Empty(t, w.exited, "the process has ended")
	peak := peakMemory(t, pid)
	descriptors, err := rwcrowd.OpenDescriptors(pid)
	require.NoError(t, err)
	t.Log("peak memory, MB:", peak, "descriptors:", descriptors)
	require.Less(t, peak, doorMemory)
	require.Less(t, descriptors, w.instance.MaxFDs-reservedDescriptors)
	require.Eventually(t, w.instance.ready, waitTimeout, pollInterval, "not ready")
	c := standin.NewCaller(standin.Key, func() string { return w.instance.CallerAddress })
	c.HTTP.Timeout = settleTime
	statuses := map[int]int{}
	require.Eventually(t, func() bool {
		r, err := c.Do(t.Context(), http.MethodGet, "/looks/x", nil)
		statuses[r.Status]++
		return err == nil && r.Status == http.StatusOK
	}, waitTimeout, pollInterval, "an ordinary request is not answered; responses by status: %v", statuses)
}

// TestCallersOutsideLimits guards against crowds of callers, at any door, that take the memory
// or the descriptors of an instance: its process ends, and with it the requests of all others.
func TestCallersOutsideLimits(t *testing.T) {
	program := buildProgram(t)
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			w := startDoorWorld(t, program, c.descriptors())
			leave := rwcrowd.Join(t.Context(), c.door(w.instance), c.conns, c.send)
			defer leave()
			time.Sleep(settleTime)
			w.requireSound(t) // while the crowd stays
			leave()
			w.requireSound(t)
		})
	}
}

// TestCallersOutsideLimitsStop guards against an instance that stops, and waits for callers that
// don't go on.
func TestCallersOutsideLimitsStop(t *testing.T) {
	w := startDoorWorld(t, buildProgram(t), wideDescriptors)
	for _, c := range crowds {
		defer rwcrowd.Join(t.Context(), c.door(w.instance), 20, c.send)()
	}
	time.Sleep(settleTime)
	require.NoError(t, w.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-w.exited:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the process did not stop after SIGTERM")
	}
}
