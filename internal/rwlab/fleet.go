package rwlab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwloopback"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwtree"

	"github.com/juju/errors"
)

// The keys and names in the settings of a fleet, and the timeouts of rwlab.
const (
	CallerKey         = "caller-key"
	OperatorKey       = "operator-key"
	signingKey        = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	Team              = "lettering"
	Model             = "lettering"
	readyTimeout      = 20 * time.Second
	stopTimeout       = 3 * time.Second
	readyPollInterval = 20 * time.Millisecond
	callTimeout       = 5 * time.Second
)

// Fleet is a set of running processes: the platform, instances i1, i2 and so on,
// engines e1, e2 and services s1, s2. Set the exported fields before Start.
type Fleet struct {
	Bin             string              // directory of the built programs
	Logs            string              // directory for the logs of the processes and the configuration of the instances
	Instances       int                 // number of instances
	Zones           int                 // number of availability zones; 1 if 0
	Engines         int                 // number of engine stand-ins
	Services        int                 // number of order service stand-ins
	Capacity        int                 // slots of each engine
	EngineArguments []string            // additional command-line arguments of each engine
	Versions        []string            // versions loaded at each engine; v1 if empty
	DrainTimeout    time.Duration       // longest wait of an instance for running answers at shutdown; the instance's default if 0
	Memory          int                 // memory of each instance in MB; none is set if 0
	Descriptors     int                 // descriptors of each instance; none are set if 0
	QuietLogs       bool                // turns off verbose logs of the instances
	EditRoute       func(*rwtree.Route) // edits the model's route before the start, if set

	mu        sync.Mutex
	processes map[string]*process
	platform  string
	addresses map[string]addresses
	client    *http.Client
}

type process struct {
	commandLine []string // the program, then its arguments
	command     *exec.Cmd
	done        chan struct{} // closed when the process has ended
}

// addresses holds the listen addresses of a process. The main address of an
// instance serves callers; a stand-in has only a main address.
type addresses struct {
	main, instances, operators string
}

// Start starts all processes and waits as AwaitReady does.
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
		f.addresses[name] = addresses{main: rwloopback.Address()}
		if err := f.startProcess(name, "rwstandin", "service", "--listen", f.addresses[name].main); err != nil {
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
	f.platform = rwloopback.Address()
	if err := f.startProcess("platform", "rwstandin", "platform", "--listen", f.platform, "--lag", "0s"); err != nil {
		return err
	}
	return f.pollUntil(ctx, func() bool {
		return f.call(http.MethodGet, "http://"+f.platform+"/apis/ragwortwall/v1/settings", nil, nil) == nil
	})
}

func (f *Fleet) startEngine(n int) error {
	name := fmt.Sprintf("e%d", n+1)
	f.addresses[name] = addresses{main: rwloopback.Address()}
	arguments := []string{"engine", "--listen", f.addresses[name].main, "--capacity", fmt.Sprint(f.Capacity)}
	for _, v := range f.versions() {
		arguments = append(arguments, "--version", v)
	}
	return f.startProcess(name, "rwstandin", append(arguments, f.EngineArguments...)...)
}

func (f *Fleet) versions() []string {
	if len(f.Versions) == 0 {
		return []string{"v1"}
	}
	return f.Versions
}

// StartInstance starts the instance with index n, counted from 0. An instance
// that ran before keeps its addresses.
func (f *Fleet) StartInstance(n int) error {
	name := f.InstanceName(n)
	a, known := f.addresses[name]
	if !known {
		a = addresses{main: rwloopback.Address(), instances: rwloopback.Address(), operators: rwloopback.Address()}
		f.addresses[name] = a
		entry := map[string]string{"address": a.instances, "zone": f.zone(n)}
		if err := f.createObject(rwobject.New(rwobject.KindInstances, name, entry)); err != nil {
			return err
		}
	}
	file := filepath.Join(f.Logs, name+".json")
	settings := map[string]any{
		"name": name, "zone": f.zone(n), "callers": a.main, "instances": a.instances,
		"operators": a.operators, "platform": "http://" + f.platform, "verbose": !f.QuietLogs,
	}
	if f.DrainTimeout > 0 {
		settings["drain"] = f.DrainTimeout.String()
	}
	if f.Memory > 0 {
		settings["memory"] = f.Memory
	}
	if f.Descriptors > 0 {
		settings["descriptors"] = f.Descriptors
	}
	body, err := json.Marshal(settings)
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return errors.Trace(err)
	}
	return f.startProcess(name, "ragwortwall", "serve", "--settings", file)
}

// InstanceName returns the name of the instance with index n, counted from 0.
func (f *Fleet) InstanceName(n int) string { return fmt.Sprintf("i%d", n+1) }

func (f *Fleet) zone(n int) string { return string(rune('a' + n%max(1, f.Zones))) }

// AwaitReady waits until each running instance is ready and each backend server
// has an owner. It returns an error if one of them takes longer than 20 seconds.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for n := range f.Instances {
		name := f.InstanceName(n)
		if !f.Running(name) {
			continue
		}
		url := f.URL(name) + "/readyz"
		if err := f.pollUntil(ctx, func() bool { return f.call(http.MethodGet, url, nil, nil) == nil }); err != nil {
			return errors.Annotatef(err, "instance %s", name)
		}
	}
	return f.awaitOwners(ctx)
}

// awaitOwners waits until each backend server has an owner that grants slots.
func (f *Fleet) awaitOwners(ctx context.Context) error {
	return f.pollUntil(ctx, func() bool {
		open := 0
		for n := range f.Instances {
			var state struct {
				Owned map[string]struct{ Closed bool } `json:"owned"`
			}
			if !f.Running(f.InstanceName(n)) || f.State(f.InstanceName(n), &state) != nil {
				continue
			}
			for _, o := range state.Owned {
				if !o.Closed {
					open++
				}
			}
		}
		return open >= f.Engines+f.Services
	})
}

// pollUntil polls until the condition holds or readyTimeout has passed.
func (f *Fleet) pollUntil(ctx context.Context, condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	if ctx.Err() != nil {
		return errors.Annotate(ctx.Err(), "cancelled before the fleet was ready")
	}
	return errors.Errorf("not ready in %s", readyTimeout)
}

// startProcess starts a program and appends its output to the log file of name.
func (f *Fleet) startProcess(name, program string, arguments ...string) error {
	logFile, err := os.OpenFile(filepath.Join(f.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer logFile.Close()
	command := exec.Command(filepath.Join(f.Bin, program), arguments...) //nolint:gosec // our own programs
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return errors.Trace(err)
	}
	p := &process{commandLine: append([]string{program}, arguments...), command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

// Restart starts an ended process again, with the same command line.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	commandLine := f.processes[name].commandLine
	f.mu.Unlock()
	return f.startProcess(name, commandLine[0], commandLine[1:]...)
}

// Signal sends a signal to a process of the fleet. It returns an error if the
// fleet has started no process of this name.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	f.mu.Lock()
	p, ok := f.processes[name]
	f.mu.Unlock()
	if !ok {
		return errors.Errorf("the fleet has no process %s", name)
	}
	return p.command.Process.Signal(s)
}

// Kill sends SIGKILL to a process and waits until it has ended.
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

// PID returns the process ID of a process.
func (f *Fleet) PID(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name].command.Process.Pid
}

// Stop kills all processes and waits for each up to stopTimeout.
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
		case <-time.After(stopTimeout):
		}
	}
}

// URL returns the URL at which an instance serves callers, or a stand-in listens.
func (f *Fleet) URL(name string) string {
	if name == "platform" {
		return "http://" + f.platform
	}
	return "http://" + f.addresses[name].main
}

// InstancesAddress returns the address of an instance for calls of others.
func (f *Fleet) InstancesAddress(name string) string { return f.addresses[name].instances }

// OperatorURL returns the URL at which an instance serves operators.
func (f *Fleet) OperatorURL(name string) string { return "http://" + f.addresses[name].operators }

// Targets returns the URLs at which the instances serve callers.
func (f *Fleet) Targets() []string {
	var all []string
	for n := range f.Instances {
		all = append(all, f.URL(f.InstanceName(n)))
	}
	return all
}

// State reads the state dump of an instance into v.
func (f *Fleet) State(name string, v any) error {
	return f.call(http.MethodGet, f.OperatorURL(name)+"/state", nil, v)
}

// SetFaults sets the fault switches of a stand-in.
func (f *Fleet) SetFaults(name string, faults any) error {
	return f.call(http.MethodPut, f.URL(name)+"/standin/faults", faults, nil)
}

// Get reads JSON from a path of a stand-in into v.
func (f *Fleet) Get(name, path string, v any) error {
	return f.call(http.MethodGet, f.URL(name)+path, nil, v)
}

// call sends body as JSON and reads the JSON response into result, if not nil. A
// status of 400 or more is an error.
func (f *Fleet) call(method, url string, body, result any) error {
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
	if result == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(content, result))
}

func (f *Fleet) createObject(o rwobject.Object) error {
	return f.call(http.MethodPost, "http://"+f.platform+"/apis/ragwortwall/v1/"+o.Kind, o, nil)
}
