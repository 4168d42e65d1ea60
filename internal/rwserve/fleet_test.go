package rwserve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwconfig"
	"ragwortwall/internal/rwfake"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwmodel"
	"ragwortwall/internal/rwnet"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwstandin"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"
)

const (
	callerKey   = "caller"
	otherKey    = "other"
	operatorKey = "operator"
	signingKey  = "00112233445566778899aabbccddeeff"
)

// fleet runs instances, engines, a service and the platform in one process, on an
// in-memory network and under virtual time.
type fleet struct {
	t         *testing.T
	network   rwfake.Network
	platform  *rwstandin.Platform
	engines   []*rwstandin.Engine
	service   *rwstandin.Service
	instances []*Instance
	stops     []context.CancelFunc
	ended     []chan struct{} // closed when an instance's Run has returned
	client    *http.Client
	team      rwtree.Team
	hosts     []string // host name of each instance in the network
	cleanups  []func()
	options   fleetOptions
}

type fleetOptions struct {
	instances int
	engines   int
	capacity  int      // maximum number of streams of each engine
	versions  []string // loaded at every engine; the route uses the first; v1 if empty
	verbose   bool     // log to the test's log
}

// withFleet runs a test with a fleet that is ready to serve.
func withFleet(t *testing.T, o fleetOptions, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, platform: &rwstandin.Platform{}, service: &rwstandin.Service{}}
		f.client = rwnet.HTTPClient(f.network.Host("client"))
		defer f.stop()
		f.serve("platform", "10.0.9.1:80", f.platform.Handler())
		f.start(o)
		test(f)
	})
}

func (f *fleet) serve(host, address string, handler http.Handler) {
	l, err := f.network.Host(host).Listen(address)
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler} //nolint:gosec // in memory
	go func() { _ = server.Serve(l) }()
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
}

func (f *fleet) start(o fleetOptions) {
	if len(o.versions) == 0 {
		o.versions = []string{"v1"}
	}
	for n := range o.engines {
		f.startEngine(n, o)
	}
	f.serve("s1", "10.0.8.1:80", f.service.Handler())
	f.create(rwobject.New(rwobject.KindSettings, rwtree.RootName, rwtree.Root{
		Operators: map[string]rwtree.Operator{"admin": {Key: rwtree.HashKey(operatorKey), Teams: []string{"*"}}},
		Signing:   []string{signingKey},
	}))
	f.team = fleetTeam(o)
	f.create(rwobject.New(rwobject.KindSettings, "team", f.team))
	for n := range o.instances {
		f.create(rwobject.New(rwobject.KindInstances, instanceName(n), instanceSpec{Address: instanceAddress(n), Zone: zoneOf(n)}))
	}
	for n := range o.instances {
		f.hosts = append(f.hosts, instanceName(n))
		f.startInstance(n, o.verbose)
	}
	time.Sleep(4 * time.Second) // owners grant slots only after their warm-up
}

func fleetTeam(o fleetOptions) rwtree.Team {
	t := rwtree.Team{
		Organisations: map[string]rwtree.Organisation{
			"coop":  {Keys: []string{rwtree.HashKey(callerKey)}},
			"other": {Keys: []string{rwtree.HashKey(otherKey)}},
		},
		Servers: map[string]rwtree.Server{"s1": {Address: "10.0.8.1:80", Zone: "a", Capacity: 16}},
		Routes:  map[string]rwtree.Route{"orders": {Path: "/orders/", Servers: []string{"s1"}}},
	}
	route := rwtree.Route{Model: "m", Version: o.versions[0]}
	for n := range o.engines {
		name := fmt.Sprintf("e%d", n)
		t.Servers[name] = rwtree.Server{Address: engineAddress(n), Zone: zoneOf(n), Capacity: o.capacity, Versions: o.versions}
		route.Servers = append(route.Servers, name)
	}
	t.Routes["m"] = route
	return t
}

func zoneOf(n int) string           { return string(rune('a' + n%3)) }
func instanceName(n int) string     { return fmt.Sprintf("i%d", n) }
func instanceAddress(n int) string  { return fmt.Sprintf("10.0.1.%d:70", n+1) }
func engineAddress(n int) string    { return fmt.Sprintf("10.0.2.%d:80", n+1) }
func callersAddress(n int) string   { return fmt.Sprintf("10.0.1.%d:80", n+1) }
func operatorsAddress(n int) string { return fmt.Sprintf("10.0.1.%d:90", n+1) }

func (f *fleet) startEngine(n int, o fleetOptions) {
	e := &rwstandin.Engine{
		Versions: o.versions, Capacity: o.capacity, BaseStep: 10 * time.Millisecond, StepPerStream: 100 * time.Microsecond,
		PrefillPerToken: 50 * time.Microsecond, CacheBlocks: 1024, ReportLag: 300 * time.Millisecond, LoadTime: 2 * time.Second,
	}
	name := fmt.Sprintf("e%d", n)
	e.OnCrash = func(string) { f.network.Kill(name) }
	f.engines = append(f.engines, e)
	f.serve(name, engineAddress(n), e.Handler())
	f.options = o
	ctx, cancel := context.WithCancel(context.Background())
	f.cleanups = append(f.cleanups, cancel)
	go e.Run(ctx)
}

// startInstance starts the n-th instance. If there was one, the new one takes its place in
// f.instances.
func (f *fleet) startInstance(n int, verbose bool) {
	log := logr.Discard()
	if verbose || os.Getenv("RW_VERBOSE") != "" {
		log = testr.NewWithOptions(f.t, testr.Options{Verbosity: 1, LogTimestamp: true})
	}
	i := &Instance{
		Config: rwconfig.Config{
			Name: instanceName(n), Zone: zoneOf(n), Callers: callersAddress(n), Instances: instanceAddress(n),
			Operators: operatorsAddress(n), Platform: "http://10.0.9.1:80", Peers: f.peers(),
		},
		Network: f.network.Host(f.hosts[n]),
		Log:     log.WithName(instanceName(n)),
	}
	i.Init()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = i.Run(ctx)
	}()
	if n < len(f.instances) {
		f.instances[n] = i
	} else {
		f.instances = append(f.instances, i)
	}
	f.stops = append(f.stops, cancel)
	f.ended = append(f.ended, ended)
}

// restartEngine starts a killed engine again.
func (f *fleet) restartEngine(n int) {
	f.network.Revive(engineName(n))
	f.serve(engineName(n), engineAddress(n), f.engines[n].Handler())
}

// restart starts a killed instance again, as a new process under a new host name, so
// that goroutines of the old one stay cut off from the network.
func (f *fleet) restart(n int) {
	f.hosts[n] += "'"
	f.startInstance(n, f.options.verbose)
}

func (f *fleet) stop() {
	f.network.Heal()
	for _, stop := range f.stops {
		stop()
	}
	for _, cleanup := range f.cleanups {
		cleanup()
	}
	for _, ended := range f.ended {
		<-ended
	}
	f.client.CloseIdleConnections()
}

func (f *fleet) create(o rwobject.Object) {
	body, err := json.Marshal(o)
	require.NoError(f.t, err)
	response, err := f.client.Post("http://10.0.9.1:80/apis/ragwortwall/v1/"+o.Kind, "application/json", bytes.NewReader(body))
	require.NoError(f.t, err)
	defer response.Body.Close()
	require.Equal(f.t, http.StatusOK, response.StatusCode)
}

// completionRequest describes a completion request.
type completionRequest struct {
	prompt     string
	tokens     int
	key        string // Idempotency-Key
	caller     string // the caller's key, callerKey if empty
	cursor     string // event ID to resume after, none if empty
	stop       []string
	leaveAfter int // number of events after which the caller leaves, 0 for never
}

// completionResult is what a caller received.
type completionResult struct {
	status     int
	header     http.Header
	text       string
	finish     string
	version    string
	cursor     string
	events     int
	code       string // of the error, empty if there was none
	ran        string // of the error
	message    string // of the error
	id         string // generation ID
	prompt     string
	longestGap time.Duration // between events
	broken     bool          // the connection failed before the end of the answer, and no error was received
}

// complete streams a completion from the n-th instance.
func (f *fleet) complete(n int, a completionRequest) completionResult {
	body := map[string]any{"model": "m", "prompt": a.prompt, "max_tokens": a.tokens, "stream": true}
	if a.stop != nil {
		body["stop"] = a.stop
	}
	content, err := json.Marshal(body)
	require.NoError(f.t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+callersAddress(n)+"/v1/completions", bytes.NewReader(content))
	require.NoError(f.t, err)
	if a.caller == "" {
		a.caller = callerKey
	}
	request.Header.Set("Authorization", "Bearer "+a.caller)
	if a.key != "" {
		request.Header.Set("Idempotency-Key", a.key)
	}
	if a.cursor != "" {
		request.Header.Set("Last-Event-ID", a.cursor)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return completionResult{broken: true}
	}
	defer response.Body.Close()
	g := completionResult{status: response.StatusCode, header: response.Header, id: response.Header.Get("Generation-Id"), prompt: a.prompt}
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		g.parsePayload(f.t, content)
		return g
	}
	g.readEvents(f.t, response.Body, a.leaveAfter)
	return g
}

// readEvents reads events until the answer ends or the connection breaks, and if
// leaveAfter is positive, for at most that many events.
func (g *completionResult) readEvents(t *testing.T, body io.Reader, leaveAfter int) {
	content := make([]byte, 4096)
	buffer := ""
	last := time.Now()
	for {
		n, err := body.Read(content)
		buffer += string(content[:n])
		for {
			frame, rest, ok := strings.Cut(buffer, "\n\n")
			if !ok {
				break
			}
			buffer = rest
			if strings.HasPrefix(frame, ":") {
				continue
			}
			if strings.HasSuffix(frame, "data: [DONE]") {
				return
			}
			g.longestGap = max(g.longestGap, time.Since(last))
			last = time.Now()
			g.parseFrame(t, frame)
			if g.events == leaveAfter && leaveAfter > 0 {
				return
			}
		}
		if err != nil {
			g.broken = g.code == ""
			return
		}
	}
}

func (g *completionResult) parseFrame(t *testing.T, frame string) {
	for _, line := range strings.Split(frame, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			g.cursor = id
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			g.parsePayload(t, []byte(data))
		}
	}
	g.events++
}

// parsePayload records the JSON of an event or of an error response.
func (g *completionResult) parsePayload(t *testing.T, data []byte) {
	var e struct {
		Version string `json:"system_fingerprint"`
		Choices []struct {
			Text   string  `json:"text"`
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
		Error *struct {
			Code    string `json:"code"`
			Ran     string `json:"ran"`
			Message string `json:"message"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal(data, &e), string(data))
	if e.Version != "" {
		g.version = e.Version
	}
	if e.Error != nil {
		g.code = e.Error.Code
		g.ran = e.Error.Ran
		g.message = e.Error.Message
	}
	for _, c := range e.Choices {
		g.text += c.Text
		if c.Finish != nil {
			g.finish = *c.Finish
		}
	}
}

// expectedText returns the complete answer to a prompt, up to limit tokens.
func expectedText(version, prompt string, limit int) string {
	tokens, _ := rwmodel.Answer(version, rwmodel.Tokenize(prompt), limit)
	text := ""
	for _, t := range tokens {
		text += string(t.Text)
	}
	return strings.ToValidUTF8(text, "\ufffd")
}

// requireComplete checks that a result is the complete, unaltered answer.
func requireComplete(t *testing.T, a completionRequest, g completionResult) {
	t.Helper()
	require.Equal(t, http.StatusOK, g.status, "code %s: %s", g.code, g.message)
	require.Empty(t, g.code)
	require.False(t, g.broken, "the stream broke")
	require.NotEmpty(t, g.finish)
	require.Equal(t, expectedText(g.version, a.prompt, a.tokens), g.text)
}

// busiestEngine returns the engine with the most running streams, of which there must
// be at least one.
func (f *fleet) busiestEngine() int {
	best, most := 0, 0
	for n, e := range f.engines {
		if c := e.Counts(); c.Running > most {
			best, most = n, c.Running
		}
	}
	require.Positive(f.t, most, "no engine is running a stream")
	return best
}

// prompt returns the n-th prompt. All prompts begin with the same text.
func prompt(n int) string {
	return strings.Repeat("aisle sign, house style one. ", 20) + fmt.Sprintf("brief %d", n)
}

func engineName(n int) string { return fmt.Sprintf("e%d", n) }

// startStreaming starts a completion at instance 0 in the background and returns after
// a second, when the answer streams.
func (f *fleet) startStreaming(a completionRequest) <-chan completionResult {
	done := f.completeAsync(0, a)
	time.Sleep(time.Second)
	return done
}

// primaryOf returns the instance that is primary of the only running generation.
func (f *fleet) primaryOf() int {
	for n, i := range f.instances {
		if i.primary.CountRunning() > 0 {
			return n
		}
	}
	require.Fail(f.t, "no instance is running a generation")
	return 0
}

// kill cuts an instance off as if its process had died.
func (f *fleet) kill(n int) { f.network.Kill(f.hosts[n]) }

// resume continues a completion with its cursor at the n-th instance. The text of the
// result includes what was received before.
func (f *fleet) resume(n int, a completionRequest, g completionResult) completionResult {
	a.cursor = g.cursor
	rest := f.complete(n, a)
	rest.text = g.text + rest.text
	return rest
}

// otherInstance returns an instance other than the excluded ones.
func (f *fleet) otherInstance(excluded ...int) int {
	for n := range f.instances {
		free := true
		for _, m := range excluded {
			free = free && n != m
		}
		if free {
			return n
		}
	}
	require.Fail(f.t, "no instance left")
	return 0
}

// completeAsync starts a completion in the background.
func (f *fleet) completeAsync(n int, a completionRequest) <-chan completionResult {
	done := make(chan completionResult, 1)
	go func() { done <- f.complete(n, a) }()
	return done
}

var platformOutage = rwstandin.PlatformFaults{Outage: true}

func indexOf(text, part string) int { return strings.Index(text, part) }

// completeWithReconnects streams a completion and, after each broken connection or
// error, resumes it with the cursor at the next instance.
func (f *fleet) completeWithReconnects(n int, a completionRequest) completionResult {
	var all completionResult
	for range 50 {
		a.cursor = all.cursor
		g := f.complete(n%len(f.instances), a)
		g.text = all.text + g.text
		g.events += all.events
		if g.cursor == "" {
			g.cursor = all.cursor
		}
		if g.code != "" {
			f.t.Log(time.Now(), "received error", g.code, g.message, "generation", all.id)
		}
		if g.finish != "" || g.code == "answerlost" {
			return g
		}
		all = g
		n++
		time.Sleep(100 * time.Millisecond)
	}
	return all
}

// peers returns all instances, as the configuration of each process lists them.
func (f *fleet) peers() []rwmember.Peer {
	var all []rwmember.Peer
	for n := range f.options.instances {
		all = append(all, rwmember.Peer{Name: instanceName(n), Address: instanceAddress(n), Zone: zoneOf(n)})
	}
	return all
}
