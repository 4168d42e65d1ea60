package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortwall/internal/rwcrowd"
	"ragwortwall/platform/standin"

	"github.com/stretchr/testify/require"
)

// smallestMemory is the memory of the smallest machines in use, in MB.
const smallestMemory = 112

// endlessAnswer is what a faulty server sends to each request: a text, and then another one
// without end.
type endlessAnswer struct{ first, endless string }

const signedHead = "HTTP/1.1 200 OK\r\nRagwortwall-Upstream-Signature: s\r\n"

var endlessAnswers = []endlessAnswer{
	{"", "x"},
	{signedHead, "A: b\r\n"},
	{signedHead + "A: ", "b"},
	{"", "HTTP/1.1 100 Continue\r\n\r\n"},
	{signedHead + "Connection: close\r\n\r\n", ": x\n"},
	{signedHead + "Connection: close\r\n\r\nid: 1\n", "data: x\n"},
	{signedHead + "Content-Length: 1000000000000\r\n\r\n", "x"},
	{signedHead + "Content-Length: 7000000\r\n\r\n", "x"},
	{signedHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"},
	{signedHead + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
	{signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	{"HTTP/1.1 500 Internal Server Error\r\nRagwortwall-Upstream-Signature: s\r\nConnection: close\r\n\r\n", "x"},
}

// serveEndless answers the requests of all kinds, health checks and reports too, and returns
// the server's address.
func (a endlessAnswer) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	block := []byte(strings.Repeat(a.endless, 1+32<<10/len(a.endless)))
	handle := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, a.first); err != nil {
			return
		}
		for {
			if _, err := conn.Write(block); err != nil {
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

// peakMemory returns the largest memory that a process has used, in MB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	peak, err := rwcrowd.PeakMemory(pid)
	require.NoError(t, err)
	return peak
}

// sendPartOfBody sends an order with a long body but for its end, and waits until ctx ends.
func sendPartOfBody(ctx context.Context, t *testing.T, address string, n int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const length = 1_000_000
	_, err = fmt.Fprintf(conn, "POST /drafts/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRagwortwall-Request-Id: body%d\r\nContent-Length: %d\r\n\r\n", standin.Host, standin.Key, n, length)
	require.NoError(t, err)
	_, _ = conn.Write(make([]byte, length-1)) // the instance may refuse it
	<-ctx.Done()
}

// lockedBuffer keeps the output of a process.
type lockedBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write appends to the output.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

// lastLines returns the end of the output.
func (b *lockedBuffer) lastLines() string {
	const maxBytes = 8 << 10
	b.mu.Lock()
	defer b.mu.Unlock()
	content := b.content.Bytes()
	return string(content[max(0, len(content)-maxBytes):])
}

// TestEndlessBytesTogether guards against an instance that runs out of memory, which ends the
// requests of all its callers: dozens of servers send bytes without end, to many callers at
// once, while others send long bodies slowly.
func TestEndlessBytesTogether(t *testing.T) {
	const (
		endlessServers = 36
		callers        = 120
		longBodies     = 120
		duration       = 4 * time.Second
	)
	store := &standin.Store{}
	store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	fleet := &standin.Fleet{Store: store, EventInterval: 10 * time.Millisecond, PrefillTime: 20 * time.Millisecond, OrderTime: 5 * time.Millisecond}
	defer fleet.Close()
	for _, service := range []string{standin.ModelService, standin.OrderService} {
		_, err := fleet.Start(service, standin.Zone(0), "", service == standin.ModelService)
		require.NoError(t, err)
		for n := range endlessServers / 2 {
			store.Put("servers", fmt.Sprint("endless-", service, n), map[string]any{
				"service": service, "address": endlessAnswers[n%len(endlessAnswers)].serve(t), "zone": standin.Zone(n % 3), "version": "v1", "slots": 12, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
			})
		}
	}
	i := newInstance(t, store)
	i.MemoryMB = smallestMemory
	cmd := i.command(t)
	var log lockedBuffer
	cmd.Stdout = &log
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.lastLines())
		}
	})
	require.NoError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	require.Eventually(t, i.ready, waitTimeout, pollInterval)

	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var work sync.WaitGroup
	for n := range longBodies {
		work.Go(func() { sendPartOfBody(ctx, t, i.CallerAddress, n) })
	}
	for n := range callers {
		work.Go(func() {
			c := standin.NewCaller(standin.Key, func() string { return i.CallerAddress })
			for ctx.Err() == nil {
				switch n % 3 {
				case 0:
					_, _ = c.Stream(ctx, fmt.Sprintf("%x", n))
				case 1:
					_, _ = c.Do(ctx, http.MethodGet, "/looks/x", nil)
				default:
					_, _, _ = c.Order(ctx)
				}
			}
		})
	}
	work.Wait()
	require.Empty(t, exited, "the process has ended")
	t.Log("peak memory, MB:", peakMemory(t, cmd.Process.Pid))
	require.Less(t, peakMemory(t, cmd.Process.Pid), smallestMemory)
	c := standin.NewCaller(standin.Key, func() string { return i.CallerAddress })
	statuses := map[int]int{}
	served := func() bool {
		r, err := c.Do(t.Context(), http.MethodGet, "/looks/x", nil)
		statuses[r.Status]++
		return err == nil && r.Status == http.StatusOK
	}
	require.Eventually(t, served, waitTimeout, pollInterval, "the sound server is not used; responses by status: %v", statuses)
	_, err := c.Stream(t.Context(), "abc1")
	require.NoError(t, err)
}
