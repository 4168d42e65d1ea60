package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ragwortwall/platform/standin"
)

// Figures of the case "latestop", from the second SIGTERM.
const (
	rollGap       = time.Second             // between the two SIGTERMs
	openAfter     = 2400 * time.Millisecond // a requester opens a channel
	sendAfter     = 3200 * time.Millisecond // it sends its first request there
	lateEvents    = 130
	lateInterval  = 40 * time.Millisecond
	probeInterval = time.Second
	probeMisses   = 2
)

// runLateStop stops two of the three instances of a zone in turn. Less than half of the zone's
// instances are then in rotation, so that the platform goes on to give all of them new channels.
// A requester that got one sends a stream on it later than 3 s after the SIGTERM. It must
// be refused, or answered whole.
func runLateStop(w *world) (bool, error) {
	w.models.events, w.models.eventInterval = lateEvents, lateInterval
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	for n := range 3 {
		if err := w.models.start(n, "amman-a"); err != nil {
			return false, err
		}
	}
	if err := w.startInstances("amman-a", "amman-a", "amman-a"); err != nil {
		return false, err
	}
	p := startPlatform(w.instances)
	defer p.stop()
	time.Sleep(3 * time.Second)
	first, second := w.instances[0], w.instances[1]
	if w.trouble {
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(rollGap)
	if w.trouble {
		second.signal(syscall.SIGTERM)
	}
	stopped := time.Now()
	sleepUntil(stopped.Add(openAfter))
	inRotation, uses := p.uses(second)
	w.log("platform: %d of %d instances of the zone are in rotation; it gives %s new channels: %v", inRotation, len(w.instances), second.name, uses)
	if !uses {
		return false, fmt.Errorf("the platform would not use %s", second.name)
	}
	channel, err := net.DialTimeout("tcp", second.address(frontPort), time.Second)
	if err != nil {
		return false, fmt.Errorf("no channel to %s: %w", second.name, err)
	}
	defer channel.Close()
	w.log("requester: opened a channel to %s, %.3f s after its SIGTERM", second.name, time.Since(stopped).Seconds())
	sleepUntil(stopped.Add(sendAfter))
	return sendLate(w, channel, stopped), nil
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// sendLate sends a stream request and reports whether it was passed on to a server and its
// channel ended without a complete answer.
func sendLate(w *world, channel net.Conn, stopped time.Time) bool {
	const id = "7a1e5709c04d2b66"
	body := "letter the dairy aisle"
	head := strings.Join([]string{
		"POST /drafts/2f HTTP/1.1", "Host: " + standin.Host, "Ragwortwall-Request-Id: " + id, "Ragwortwall-Request-Deadline: 25000",
		"Authorization: Bearer " + standin.Key, "Ragwortwall-Model: " + standin.ModelName, "Ragwortwall-Token-Usage: 1200,1040",
		"Ragwortwall-Prompt-Prefix: 5c1e07a2:200,e4402b7d:1000", "Content-Length: " + strconv.Itoa(len(body)),
	}, "\r\n")
	sent := time.Now()
	if _, err := io.WriteString(channel, head+"\r\n\r\n"+body); err != nil {
		w.log("requester: the channel takes no request: %v", err)
		return false
	}
	w.log("requester: sent stream %s, %.3f s after the SIGTERM", id, sent.Sub(stopped).Seconds())
	response, err := http.ReadResponse(bufio.NewReader(channel), &http.Request{Method: http.MethodPost})
	if err != nil {
		passedOn := w.models.hasRun(id)
		w.log("requester: the channel ended without an answer (%v), passed on: %v", err, passedOn)
		return passedOn
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	events := strings.Count(string(received), "id: ")
	w.log("requester: status %d, %d of %d events, end of the answer: %v, %.3f s after the SIGTERM", response.StatusCode, events, lateEvents, err, time.Since(stopped).Seconds())
	return err != nil && w.models.hasRun(id)
}

// platformProbes plays the readiness checks of the platform in one zone.
type platformProbes struct {
	end    chan struct{}
	mu     sync.Mutex
	misses map[*instance]int
}

func startPlatform(instances []*instance) *platformProbes {
	p := &platformProbes{end: make(chan struct{}), misses: map[*instance]int{}}
	for _, i := range instances {
		go p.probe(i)
	}
	return p
}

func (p *platformProbes) stop() { close(p.end) }

func (p *platformProbes) probe(i *instance) {
	for {
		ready := i.ready()
		p.mu.Lock()
		if p.misses[i]++; ready {
			p.misses[i] = 0
		}
		p.mu.Unlock()
		select {
		case <-p.end:
			return
		case <-time.After(probeInterval):
		}
	}
}

// uses returns how many instances are in rotation, and whether the given one gets new
// channels: "If fewer than half of a zone's nodes are in rotation, the platform uses all of
// that zone's nodes. If none of them is in rotation, the platform uses the nodes of the nearest
// zones."
func (p *platformProbes) uses(i *instance) (inRotation int, uses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, misses := range p.misses {
		if misses < probeMisses {
			inRotation++
		}
	}
	return inRotation, p.misses[i] < probeMisses || inRotation > 0 && 2*inRotation < len(p.misses)
}
