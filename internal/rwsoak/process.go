package rwsoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ragwortwall/platform"
	"ragwortwall/platform/standin"

	"github.com/juju/errors"
)

// instance is an entry instance that runs as a process. Signals go only through the
// handle of the started process, so that no other process can be hit.
type instance struct {
	standin.Instance
	program, logDir string
	storeProxy      *Proxy
	serverPaths     *serverPaths
	peerProxies     *peerProxyPair

	lifecycle sync.Mutex // held while the process is started or terminated
	mu        sync.Mutex
	cmd       *exec.Cmd
}

// setProgram sets the program of the next start.
func (i *instance) setProgram(program string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.program = program
}

func (i *instance) usesProgram(program string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.program == program
}

const instancePrefix = "entry-"

// newInstance returns the n-th instance, not yet started. It has its own loopback IP
// address, derived from the id of this process, so that concurrent soaks don't use
// the same ports.
func newInstance(n int, program, logDir string, store http.Handler) (*instance, error) {
	paths := newServerPaths(store)
	storeProxy, err := NewProxy(paths.storeView.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	i := &instance{program: program, logDir: logDir, storeProxy: storeProxy, serverPaths: paths}
	i.Name, i.Zone, i.StoreAddress = fmt.Sprint(instancePrefix, n), standin.Zone(n%zones), storeProxy.Address
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%250, os.Getpid()%256, 1+n%250)
	i.CallerAddress, i.ReadyAddress, i.ControlAddress, i.NoticeAddress = ip+":8740", ip+":8749", ip+":8748", ip+":7200"
	if i.peerProxies, err = newPeerProxyPair(i); err != nil {
		return nil, err
	}
	return i, nil
}

// start starts the process unless it is running. Its output is appended to a file in
// logDir.
func (i *instance) start() error {
	i.lifecycle.Lock()
	defer i.lifecycle.Unlock()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		return nil
	}
	file := filepath.Join(i.logDir, i.Name+".json")
	if err := os.WriteFile(file, i.SettingsFile(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.logDir, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(i.program)
	cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "can't start the program %s; run make build", i.program)
	}
	i.cmd = cmd
	return nil
}

// pid returns the id of the running process; zero if there is none.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return 0
	}
	return i.cmd.Process.Pid
}

// signal sends a signal to the process if it is running.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// terminate sends a signal and waits for the process to exit. It kills the process
// after the grace period.
func (i *instance) terminate(s syscall.Signal, grace time.Duration) {
	i.lifecycle.Lock()
	defer i.lifecycle.Unlock()
	i.mu.Lock()
	cmd := i.cmd
	i.cmd = nil
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	killTimer := time.AfterFunc(grace, func() { _ = cmd.Process.Kill() })
	defer killTimer.Stop()
	_ = cmd.Wait()
}

// ready reports whether the instance answers that it is ready.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
