package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"testing"
	"time"

	"ragwortwall/internal/rwloopback"
	"ragwortwall/internal/rwsoak"
	"ragwortwall/platform/standin"

	"github.com/stretchr/testify/require"
)

// leftProcess is an instance as a process with a path of its own to the store.
type leftProcess struct {
	testInstance
	cmd  *exec.Cmd
	path *rwsoak.Proxy // to the store
}

func startLeftProcess(t *testing.T, program string, n int, store *standin.Store) leftProcess {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	path, err := rwsoak.NewProxy(server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(path.Close)
	p := leftProcess{path: path}
	host := fmt.Sprintf("127.%d.%d.%d", 180+n, time.Now().UnixNano()>>16&0xff, 1+time.Now().UnixNano()>>8&0x7f)
	p.testInstance = testInstance{standin.Instance{
		Name: fmt.Sprint("entry-", n), Zone: standin.Zone(n % 3), StoreAddress: path.Address,
		CallerAddress: host + ":8740", ReadyAddress: host + ":8749", ControlAddress: host + ":8748", NoticeAddress: host + ":7200",
	}}
	p.cmd = p.commandOf(t, program)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// leave kills the process, and nothing answers at its address for other instances any more.
func (p leftProcess) leave(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Kill())
	_ = p.cmd.Wait()
	release, err := rwloopback.Silence(p.ControlAddress)
	require.NoError(t, err)
	t.Cleanup(release)
}

// watchesStore reports whether the instance says that it watches the store.
func (p leftProcess) watchesStore(t *testing.T) bool {
	t.Helper()
	host, _, err := net.SplitHostPort(p.NoticeAddress)
	require.NoError(t, err)
	response, err := http.Get("http://" + host + ":9464/state")
	require.NoError(t, err)
	defer response.Body.Close()
	var state struct {
		Watches bool `json:"watches"`
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&state))
	return state.Watches
}

// TestMostInstancesLeft guards against an instance that runs requests with a key for more than 2 s
// after it was taken away: seven of nine processes have left for good, and the store turns away
// the one of the other two that the instance follows.
func TestMostInstancesLeft(t *testing.T) {
	const (
		instances = 9
		bound     = 2 * time.Second // of the settings, as in those of standin.Instance
		settled   = 3 * time.Second
	)
	store := &standin.Store{}
	store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key, standin.RevocableKey}})
	fleet := &standin.Fleet{Store: store, OrderTime: 5 * time.Millisecond}
	t.Cleanup(fleet.Close)
	_, err := fleet.Start(standin.OrderService, standin.Zone(0), "", false)
	require.NoError(t, err)
	program := buildProgram(t)
	var all []leftProcess
	for n := range instances {
		all = append(all, startLeftProcess(t, program, n, store))
	}
	for _, p := range all {
		require.Eventually(t, p.ready, waitTimeout, pollInterval)
	}
	require.Eventually(t, func() bool { return len(store.Names("rwinstances")) == instances }, waitTimeout, pollInterval)
	time.Sleep(settled)
	staying := []leftProcess{all[0], all[3]} // of one zone
	for n, p := range all {
		if n != 0 && n != 3 {
			p.leave(t)
		}
	}
	var follower, followed leftProcess
	since := time.Now()
	require.Eventually(t, func() bool {
		watches := []bool{staying[0].watchesStore(t), staying[1].watchesStore(t)}
		if watches[0] == watches[1] {
			since = time.Now()
			return false
		}
		follower, followed = staying[0], staying[1]
		if watches[0] {
			follower, followed = followed, follower
		}
		return time.Since(since) > settled
	}, 2*waitTimeout, pollInterval)
	followed.path.SetMode(rwsoak.ModeSilent)
	store.Configure(standin.Configuration{Version: 2, Keys: []string{standin.Key}})
	time.Sleep(bound)
	for key, want := range map[string]int{standin.Key: http.StatusOK, standin.RevocableKey: http.StatusUnauthorized} {
		_, status, err := standin.NewCaller(key, func() string { return follower.CallerAddress }).Order(t.Context())
		require.NoError(t, err)
		require.Equal(t, want, status, key)
	}
}
