package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is the end of a request of a requester.
type answer struct {
	id     string
	status int // zero if the channel ended without a complete answer
	body   string
	signed bool
	err    error
	took   time.Duration
}

// send sends one request on a new channel to an instance. Its time budget is that of the sheet.
func (w *world) send(i *instance, method, path, body string) answer {
	const deadline = 4 * time.Second
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	began := time.Now()
	client := http.Client{Timeout: deadline, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	var content io.Reader
	if method == http.MethodPost {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+i.front()+path, content)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("Ragwortwall-Request-Id", a.id)
	r.Header.Set("Ragwortwall-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	w.log("request %s %s %s sent to %s", a.id, method, path, i.name)
	response, err := client.Do(r)
	if err != nil {
		a.err, a.took = err, time.Since(began)
		w.log("request %s %s ends without an answer after %.3f s", a.id, path, a.took.Seconds())
		return a
	}
	defer response.Body.Close()
	content2, err := io.ReadAll(response.Body)
	a.took = time.Since(began)
	if err != nil {
		a.err = err
		w.log("request %s %s ends within its answer after %.3f s", a.id, path, a.took.Seconds())
		return a
	}
	a.status, a.body, a.signed = response.StatusCode, string(content2), response.Header.Get("Ragwortwall-Upstream-Signature") != ""
	w.log("request %s %s answered %d after %.3f s", a.id, path, a.status, a.took.Seconds())
	return a
}
