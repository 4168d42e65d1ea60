package rwlab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwtree"

	"github.com/juju/errors"
)

// The keys that a fleet's settings hold.
const (
	CallerKey   = "caller-key"
	OperatorKey = "operator-key"
	signingKey  = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	Team        = "lettering"
	Model       = "lettering"
	readyTime   = 20 * time.Second
	stopTime    = 3 * time.Second
	readyPoll   = 20 * time.Millisecond
	callTimeout = 5 * time.Second
)

// Fleet is a fleet of processes. Set the exported fields before Start.
type Fleet struct {
	Bin       string // directory of the programs
	Logs      string // directory of the processes' logs
	Instances int
	Zones     int
	Engines   int
	Services  int
	Capacity  int      // of each engine
	Engine    []string // further arguments of each engine
	Versions  []string // loaded at each engine; v1 if empty
	Drain     time.Duration
	Plain     bool                // the instances log no details
	Route     func(*rwtree.Route) // changes the model's route, if set

	mu        sync.Mutex
	processes map[string]*process
	platform  string
	addresses map[string]addresses
	client    *http.Client
}

type process struct {
	arguments []string
	command   *exec.Cmd
	done      chan struct{}
}

type addresses struct {
	main, instances, operators string
}

// Start starts all processes and waits until each instance is ready.
func (f *Fleet) Start(ctx context.Context) error {
	f.client = &http.Client{Timeout: callTimeout}
	f.processes = map[string]*process{}
	f.addresses = map[string]addresses{}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	for n := range f.Engines {
		if err := f.startEngine(n); err != nil {
			return err
		}
	}
	for n := range f.Services {
		name := fmt.Sprintf("s%d", n+1)
		f.addresses[name] = addresses{main: freeAddress()}
		if err := f.start(name, "rwstandin", "service", "--listen", f.addresses[name].main); err != nil {
			return err
		}
	}
	if err := f.writeSettings(ctx); err != nil {
		return err
	}
	for n := range f.Instances {
		if err := f.StartInstance(n); err != nil {
			return err
		}
	}
	return f.AwaitReady(ctx)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	f.platform = freeAddress()
	if err := f.start("platform", "rwstandin", "platform", "--listen", f.platform, "--lag", "0s"); err != nil {
		return err
	}
	return f.await(ctx, func() bool {
		return f.call(http.MethodGet, "http://"+f.platform+"/apis/ragwortwall/v1/settings", nil, nil) == nil
	})
}

func (f *Fleet) startEngine(n int) error {
	name := fmt.Sprintf("e%d", n+1)
	f.addresses[name] = addresses{main: freeAddress()}
	arguments := []string{"engine", "--listen", f.addresses[name].main, "--capacity", fmt.Sprint(f.Capacity)}
	for _, v := range f.versions() {
		arguments = append(arguments, "--version", v)
	}
	return f.start(name, "rwstandin", append(arguments, f.Engine...)...)
}

func (f *Fleet) versions() []string {
	if len(f.Versions) == 0 {
		return []string{"v1"}
	}
	return f.Versions
}

// StartInstance starts an entry instance, or starts it again at its addresses.
func (f *Fleet) StartInstance(n int) error {
	name := f.InstanceName(n)
	a, known := f.addresses[name]
	if !known {
		a = addresses{main: freeAddress(), instances: freeAddress(), operators: freeAddress()}
		f.addresses[name] = a
		entry := map[string]string{"address": a.instances, "zone": f.zone(n)}
		if err := f.create(rwobject.New(rwobject.KindInstances, name, entry)); err != nil {
			return err
		}
	}
	file := filepath.Join(f.Logs, name+".json")
	settings := map[string]any{
		"name": name, "zone": f.zone(n), "callers": a.main, "instances": a.instances,
		"operators": a.operators, "platform": "http://" + f.platform, "verbose": !f.Plain,
	}
	if f.Drain > 0 {
		settings["drain"] = f.Drain.String()
	}
	body, err := json.Marshal(settings)
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return errors.Trace(err)
	}
	return f.start(name, "ragwortwall", "serve", "--settings", file)
}

// InstanceName is the name of the n-th instance.
func (f *Fleet) InstanceName(n int) string { return fmt.Sprintf("i%d", n+1) }

func (f *Fleet) zone(n int) string { return string(rune('a' + n%max(1, f.Zones))) }

// AwaitReady waits until each running instance is ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for n := range f.Instances {
		name := f.InstanceName(n)
		if !f.Running(name) {
			continue
		}
		url := f.URL(name) + "/readyz"
		if err := f.await(ctx, func() bool { return f.call(http.MethodGet, url, nil, nil) == nil }); err != nil {
			return errors.Annotatef(err, "instance %s", name)
		}
	}
	return f.awaitServers(ctx)
}

// awaitServers waits until each backend server has an owner that gives slots.
func (f *Fleet) awaitServers(ctx context.Context) error {
	return f.await(ctx, func() bool {
		seen := 0
		for n := range f.Instances {
			var state struct {
				Owned map[string]struct{ Closed bool } `json:"owned"`
			}
			if !f.Running(f.InstanceName(n)) || f.State(f.InstanceName(n), &state) != nil {
				continue
			}
			for _, o := range state.Owned {
				if !o.Closed {
					seen++
				}
			}
		}
		return seen >= f.Engines+f.Services
	})
}

func (f *Fleet) await(ctx context.Context, done func() bool) error {
	until := time.Now().Add(readyTime)
	for time.Now().Before(until) && ctx.Err() == nil {
		if done() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	if ctx.Err() != nil {
		return errors.Annotate(ctx.Err(), "stopped before it was ready")
	}
	return errors.Errorf("not ready in %s", readyTime)
}

func (f *Fleet) start(name, program string, arguments ...string) error {
	log, err := os.OpenFile(filepath.Join(f.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.Bin, program), arguments...) //nolint:gosec // our own programs
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return errors.Trace(err)
	}
	p := &process{arguments: append([]string{program}, arguments...), command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

// Restart starts a process that has ended again, as it was started before.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	arguments := f.processes[name].arguments
	f.mu.Unlock()
	return f.start(name, arguments[0], arguments[1:]...)
}

// Signal sends a signal to a process of the fleet.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	f.mu.Lock()
	p, ok := f.processes[name]
	f.mu.Unlock()
	if !ok {
		return errors.Errorf("no process %s", name)
	}
	return p.command.Process.Signal(s)
}

// Kill ends a process at once and waits until it is gone.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	f.Wait(name)
	return nil
}

// Wait waits until a process has ended.
func (f *Fleet) Wait(name string) {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	<-p.done
}

// Running reports whether a process runs.
func (f *Fleet) Running(name string) bool {
	f.mu.Lock()
	p, ok := f.processes[name]
	f.mu.Unlock()
	if !ok {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID is the process id of a process.
func (f *Fleet) PID(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name].command.Process.Pid
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	f.mu.Lock()
	processes := make([]*process, 0, len(f.processes))
	for _, p := range f.processes {
		processes = append(processes, p)
	}
	f.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill()
	}
	for _, p := range processes {
		select {
		case <-p.done:
		case <-time.After(stopTime):
		}
	}
}

// URL is where callers reach an instance, or where a stand-in listens.
func (f *Fleet) URL(name string) string {
	if name == "platform" {
		return "http://" + f.platform
	}
	return "http://" + f.addresses[name].main
}

// Operators is where operators reach an instance.
func (f *Fleet) Operators(name string) string { return "http://" + f.addresses[name].operators }

// Targets are the URLs of all instances.
func (f *Fleet) Targets() []string {
	var all []string
	for n := range f.Instances {
		all = append(all, f.URL(f.InstanceName(n)))
	}
	return all
}

// State reads an instance's state dump.
func (f *Fleet) State(name string, v any) error {
	return f.call(http.MethodGet, f.Operators(name)+"/state", nil, v)
}

// Put sets the switches of a stand-in.
func (f *Fleet) Put(name string, faults any) error {
	return f.call(http.MethodPut, f.URL(name)+"/standin/faults", faults, nil)
}

// Get reads from a stand-in.
func (f *Fleet) Get(name, path string, v any) error {
	return f.call(http.MethodGet, f.URL(name)+path, nil, v)
}

func (f *Fleet) call(method, url string, body, answer any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(content))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Operator-Key", OperatorKey)
	response, err := f.client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, strings.TrimSpace(string(content)))
	}
	if answer == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(content, answer))
}

func (f *Fleet) create(o rwobject.Object) error {
	return f.call(http.MethodPost, "http://"+f.platform+"/apis/ragwortwall/v1/"+o.Kind, o, nil)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}
