package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ragwortwall/platform/standin"
)

// host is the host of all routes, key the key of the one tenant.
const (
	host   = "ficu95.example"
	key    = "xd9dnn2ctnfzs989anu6"
	tenant = "huka270"
)

// world is a small deployment: a store, servers and instances.
type world struct {
	trouble bool // the disruption happens
	store   *standin.Store
	began   time.Time
	folder  string // of settings and logs, temporary

	mu        sync.Mutex
	file      *os.File
	instances []*instance
	nextPort  int
}

// newWorld starts the store. What happens is recorded in record.txt in a folder.
func newWorld(caseFolder string) (*world, error) {
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", store: &standin.Store{}, began: time.Now(), folder: temporary, file: file, nextPort: 10_000}
	w.record("trouble: %v", w.trouble)
	return w, nil
}

// record writes a line to record.txt.
func (w *world) record(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.file, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.file.Close()
}

// ip returns the n-th loopback address of this process.
func ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()>>8%100, os.Getpid()%256, 1+n)
}

// serverIP is the number of the address of the store and the servers.
const serverIP = 200

// listen listens at a free port of the address of the servers.
func (w *world) listen() (net.Listener, error) {
	for range 100 {
		w.mu.Lock()
		w.nextPort++
		address := fmt.Sprintf("%s:%d", ip(serverIP), w.nextPort)
		w.mu.Unlock()
		if listener, err := net.Listen("tcp", address); err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no free port")
}

// serve serves a handler at a free address and returns that.
func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := w.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// instance is an instance of the project that runs as a process.
type instance struct {
	world      *world
	name, zone string
	front      string // address for requesters
	ready      string
	settings   string // path of the settings file
	fields     map[string]any

	mu  sync.Mutex
	cmd *exec.Cmd
}

// addInstances prepares the instances of the zones, by their number in each.
func (w *world) addInstances(counts map[string]int, zones []string) error {
	var seeds []string
	for _, zone := range zones {
		for n := range counts[zone] {
			if n == 0 {
				seeds = append(seeds, fmt.Sprintf("%s:8748", ip(len(w.instances))))
			}
			i := &instance{world: w, name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone}
			i.front, i.ready = ip(len(w.instances))+":8740", ip(len(w.instances))+":8749"
			w.instances = append(w.instances, i)
		}
	}
	storeAddress, err := w.serve(w.store)
	if err != nil {
		return err
	}
	zoneRegions := map[string]string{}
	for _, zone := range zones {
		zoneRegions[zone] = "amman"
	}
	for n, i := range w.instances {
		own := ip(n)
		i.settings = filepath.Join(w.folder, i.name+".json")
		i.fields = map[string]any{
			"node_name": i.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"}, "ip": own, "zone": i.zone, "region": "amman", "zones": zoneRegions,
			"listen":     map[string]string{"front": i.front, "ready": i.ready, "control": own + ":8748"},
			"port_range": []int{7200, 7215}, "seeds": seeds[:min(3, len(seeds))], "bootstrap": true,
			"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"discovery":    "platform",
			"entry":        "vip",
			"heartbeat_ms": 1200,
			"contracts":    []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "rollout", "pressure", "platform"},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "lost_ms": 200, "config_ms": 2000,
				"rollback_slack_ms": 250, "outer_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.8, "budget_window_s": 10, "budget_extra": 150,
				"exposure_share": exposureShare, "exposure_slack": exposureSlack, "rollback_ms": 5000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10,
			},
			"platform": map[string]any{
				"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_retention_s": 20, "max_value_bytes": 1 << 20, "min_ttl_ms": 1000,
			},
		}
	}
	return nil
}

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() error {
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if !i.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready in time", i.name)
		}
	}
	w.record("all %d instances are ready", len(w.instances))
	return nil
}

// killAll kills all instances at once, and starts them again after a time.
func (w *world) killAll(down time.Duration) error {
	var all sync.WaitGroup
	for _, i := range w.instances {
		all.Go(i.kill)
	}
	all.Wait()
	w.record("killed all instances")
	time.Sleep(down)
	return w.startAll()
}

// get returns the instance with a name.
func (w *world) get(name string) *instance {
	for _, i := range w.instances {
		if i.name == name {
			return i
		}
	}
	panic("no instance " + name)
}

// start starts the process, with the command of the deploy file. Only at its first start the
// whole system starts for the first time.
func (i *instance) start() error {
	content, err := json.Marshal(i.fields)
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.settings, content, 0o600); err != nil {
		return err
	}
	i.fields["bootstrap"] = false
	log, err := os.OpenFile(filepath.Join(i.world.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/rwentry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTWALL_BOOT=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd = cmd
	return nil
}

// kill kills the process if it runs, and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	_ = i.cmd.Wait()
	i.cmd = nil
}

// awaitReady reports whether the instance is ready within a time.
func (i *instance) awaitReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + i.ready + "/ragwortwall/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
