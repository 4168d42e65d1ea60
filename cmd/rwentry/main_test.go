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

// testInstance is an instance that runs as a process of its own.
type testInstance struct{ standin.Instance }

// newInstance returns an instance of a store.
func newInstance(t *testing.T, store *standin.Store) testInstance {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return testInstance{standin.Instance{
		Name: "entry-0", Zone: "a", StoreAddress: strings.TrimPrefix(server.URL, "http://"),
		CallerAddress: rwloopback.Address(), ReadyAddress: rwloopback.Address(), ControlAddress: rwloopback.Address(), NoticeAddress: rwloopback.Address(),
	}}
}

// command builds the program and returns the command that runs the instance.
func (i testInstance) command(t *testing.T) *exec.Cmd {
	t.Helper()
	return i.commandOf(t, buildProgram(t))
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "rwentry")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// commandOf returns the command that runs the instance.
func (i testInstance) commandOf(t *testing.T, program string) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, i.SettingsFile(), 0o600))
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+file)
	return cmd
}

func (i testInstance) ready() bool {
	response, err := http.Get("http://" + i.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestLogReaderGone checks that an instance keeps serving, and stops on SIGTERM, after
// the reader of its standard output has gone: SIGPIPE from the next log line would
// otherwise end the process.
func TestLogReaderGone(t *testing.T) {
	store := &standin.Store{}
	store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	i := newInstance(t, store)
	cmd := i.command(t)
	r, w, err := os.Pipe()
	require.NoError(t, err)
	cmd.Stdout = w
	require.NoError(t, cmd.Start())
	require.NoError(t, w.Close())
	require.NoError(t, r.Close())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	require.Eventually(t, i.ready, waitTimeout, pollInterval)
	calls := store.Calls()
	store.SetDown(true) // makes the instance write log lines
	require.Eventually(t, func() bool { return store.Calls() > calls+2 }, waitTimeout, pollInterval)
	store.SetDown(false)
	require.Eventually(t, i.ready, waitTimeout, pollInterval)
	require.Empty(t, exited)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the process did not stop after SIGTERM")
	}
}
