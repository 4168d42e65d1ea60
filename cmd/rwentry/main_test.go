package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ragwortwall/internal/rwloopback"
	"ragwortwall/platform"
	"ragwortwall/platform/standin"

	"github.com/stretchr/testify/require"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// TestLogReaderGone checks that an instance keeps serving, and stops on SIGTERM, after
// the reader of its standard output has gone: SIGPIPE from the next log line would
// otherwise end the process.
func TestLogReaderGone(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "rwentry")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	store := &standin.Store{}
	store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	server := httptest.NewServer(store)
	defer server.Close()
	i := standin.Instance{
		Name: "entry-0", Zone: "a", StoreAddress: strings.TrimPrefix(server.URL, "http://"),
		CallerAddress: rwloopback.Address(), ReadyAddress: rwloopback.Address(), ControlAddress: rwloopback.Address(), NoticeAddress: rwloopback.Address(),
	}
	file := filepath.Join(folder, "settings.json")
	require.NoError(t, os.WriteFile(file, i.SettingsFile(), 0o600))
	r, w, err := os.Pipe()
	require.NoError(t, err)
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+file)
	cmd.Stdout = w
	require.NoError(t, cmd.Start())
	require.NoError(t, w.Close())
	require.NoError(t, r.Close())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	ready := func() bool {
		response, err := http.Get("http://" + i.ReadyAddress + platform.ReadyPath)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	require.Eventually(t, ready, waitTimeout, pollInterval)
	calls := store.Calls()
	store.SetDown(true) // makes the instance write log lines
	require.Eventually(t, func() bool { return store.Calls() > calls+2 }, waitTimeout, pollInterval)
	store.SetDown(false)
	require.Eventually(t, ready, waitTimeout, pollInterval)
	require.Empty(t, exited)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the process did not stop after SIGTERM")
	}
}
