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

// instance is one entry instance as a process. It is ended by the handle that
// started it, and by nothing else.
type instance struct {
	standin.Instance
	program, folder string
	link            *Proxy
	peers           *peerLinks

	mu  sync.Mutex
	cmd *exec.Cmd
}

// newInstance returns the n-th instance. It has an IP number of its own on
// loopback, from the id of this process, so that soaks which run side by side do
// not take each other's ports.
func newInstance(n int, program, folder, store string) (*instance, error) {
	link, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	i := &instance{program: program, folder: folder, link: link}
	i.Name, i.Zone, i.Store = fmt.Sprintf("entry-%d", n), standin.Zone(n%zones), link.Address
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%250, os.Getpid()%256, 1+n%250)
	i.Callers, i.Ready, i.Control, i.Datagrams = ip+":8740", ip+":8749", ip+":8748", ip+":7200"
	if i.peers, err = newPeerLinks(i); err != nil {
		return nil, err
	}
	return i, nil
}

// start starts the process, unless it runs, with its log in the folder.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		return nil
	}
	file := filepath.Join(i.folder, i.Name+".json")
	if err := os.WriteFile(file, i.File(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.folder, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(i.program)
	cmd.Env = append(os.Environ(), platform.PathVariable+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "the program %s can't be started; run make build", i.program)
	}
	i.cmd = cmd
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// end sends a signal and waits for the process's end, which it forces at last.
func (i *instance) end(s syscall.Signal, grace time.Duration) {
	i.mu.Lock()
	cmd := i.cmd
	i.cmd = nil
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	force := time.AfterFunc(grace, func() { _ = cmd.Process.Kill() })
	defer force.Stop()
	_ = cmd.Wait()
}

// ready reports whether the process says that it is ready.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
