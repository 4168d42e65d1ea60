package rwload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmodel"
	"ragwortwall/internal/rwtime"

	"github.com/juju/errors"
)

// result is what came of one request.
type result struct {
	text       strings.Builder
	version    string
	finish     string
	cursor     string
	first      time.Duration
	gaps       []time.Duration
	longest    time.Duration // between two events
	longestAt  time.Time     // when it ended
	generation string
	reconnects int
	refusals   int
	last       time.Time
	err        error
	took       time.Duration
	tokens     int
}

type event struct {
	Version string `json:"system_fingerprint"`
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`

		// An engine gives the tokens alone.
		TokenIDs []uint32 `json:"token_ids"`
	} `json:"choices"`
	Error *rwerror.AnswerBody `json:"error"`
}

const (
	reconnectMost  = 20
	reconnectPause = 100 * time.Millisecond
	eventMost      = 4 << 20
	stormPause     = 50 * time.Millisecond
)

// generate asks for one answer, at any instance, until it is whole.
func (l *Load) generate(ctx context.Context, r Request) *result {
	res := &result{}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.Options.Patience)
	defer cancel()
	body, err := json.Marshal(map[string]any{"model": l.Options.Model, "prompt": r.Prompt, "max_tokens": l.Options.Tokens, "stream": true})
	if err != nil {
		res.err = err
		return res
	}
	for try := l.firstTarget(r); ; try++ {
		target := l.target(try)
		retry, err := l.try(ctx, target, r, body, res, started)
		if err == nil {
			break
		}
		res.err = err
		if ctx.Err() != nil || !retry || res.reconnects >= reconnectMost {
			break
		}
	}
	res.took = time.Since(started)
	return res
}

// try sends the request once and reads what comes. It reports whether the
// caller should try again.
func (l *Load) try(ctx context.Context, target string, r Request, body []byte, res *result, started time.Time) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Header.Set("Authorization", "Bearer "+l.Options.Key)
	request.Header.Set("Idempotency-Key", r.Key)
	if until, ok := ctx.Deadline(); ok {
		request.Header.Set("Request-Timeout", strconv.FormatFloat(time.Until(until).Seconds(), 'f', 3, 64))
	}
	request.Header.Set("X-Request-Id", r.Key+strconv.Itoa(res.refusals+res.reconnects))
	if l.Options.Direct {
		res.text.Reset()
	}
	if res.cursor != "" {
		request.Header.Set("Last-Event-ID", res.cursor)
	}
	response, err := l.client.Do(request)
	if err != nil {
		res.reconnects++
		rwtime.Sleep(ctx, reconnectPause)
		return true, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l.refused(ctx, response, res)
	}
	res.generation = response.Header.Get("Generation-Id")
	err = l.read(response.Body, res, started)
	if err == nil {
		return false, nil
	}
	if rwerror.Is(err, rwerror.KindInternal) {
		return false, err
	}
	res.reconnects++
	rwtime.Sleep(ctx, reconnectPause)
	return true, err
}

func (l *Load) refused(ctx context.Context, response *http.Response, res *result) (bool, error) {
	content, _ := io.ReadAll(response.Body)
	res.refusals++
	l.note(content)
	err := errors.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(content)))
	comesBack := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	if !comesBack || !l.Options.Repeat && !l.Options.Storm {
		return false, err
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	pause := time.Duration(seconds) * time.Second
	if l.Options.Storm {
		pause = stormPause
	}
	rwtime.Sleep(ctx, pause)
	return true, err
}

// note counts a refusal under its reason.
func (l *Load) note(content []byte) {
	reason := "unknown"
	if e, ok := rwerror.FromAnswer(content); ok {
		reason = string(e.Kind) + ": " + namesOut(e.Message)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.report.Reasons[reason]++
}

var names = regexp.MustCompile(`[a-z]+/[a-z]+[0-9]+`)

// namesOut replaces the names of backend servers, so that like reasons count
// together.
func namesOut(text string) string { return names.ReplaceAllString(text, "*") }

// read reads events until the answer ends. An answer that breaks off is an
// error after which the caller comes back with its cursor.
func (l *Load) read(body io.Reader, res *result, started time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, eventMost)
	cursor := ""
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			cursor = id
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		if err := res.take(data, started); err != nil {
			return err
		}
		if cursor != "" {
			res.cursor = cursor
			cursor = ""
		}
		if l.Options.Slow > 0 {
			time.Sleep(l.Options.Slow)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Trace(err)
	}
	return io.ErrUnexpectedEOF
}

func (r *result) take(data string, started time.Time) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return rwerror.New(rwerror.KindInternal, "report it", "an event can't be read: %v", err)
	}
	if e.Error != nil {
		return rwerror.New(rwerror.KindInternal, "", "%s", e.Error.Message)
	}
	if e.Version != "" {
		r.version = e.Version
	}
	now := time.Now()
	for _, c := range e.Choices {
		if c.Finish != nil {
			r.finish = *c.Finish
		}
		for _, id := range c.TokenIDs {
			c.Text += string(rwmodel.Text(id))
		}
		if c.Text == "" {
			continue
		}
		r.text.WriteString(c.Text)
		if r.last.IsZero() {
			r.first = now.Sub(started)
		} else {
			gap := now.Sub(r.last)
			r.gaps = append(r.gaps, gap)
			if gap > r.longest {
				r.longest = gap
				r.longestAt = now
			}
		}
		r.last = now
	}
	return nil
}

// check compares an answer with the model's.
func (l *Load) check(r Request, res *result) error {
	if l.Options.Direct {
		res.version = l.Options.Model
	}
	if res.finish == "" {
		return errors.Errorf("the answer has no end: %v", res.err)
	}
	tokens, reason := rwmodel.Answer(res.version, rwmodel.Tokenize(r.Prompt), l.Options.Tokens)
	var whole strings.Builder
	for _, t := range tokens {
		whole.Write(t.Text)
	}
	want := strings.ToValidUTF8(whole.String(), "\ufffd")
	res.tokens = len(tokens)
	got := strings.ToValidUTF8(res.text.String(), "\ufffd")
	switch {
	case got != want:
		return errors.Errorf("wrong answer of version %s: %s", res.version, difference(got, want))
	case reason != res.finish:
		return errors.Errorf("finish is %q instead of %q", res.finish, reason)
	}
	return nil
}

func difference(got, want string) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	return "lengths " + strconv.Itoa(len(got)) + " and " + strconv.Itoa(len(want)) + ", first difference at byte " + strconv.Itoa(at)
}
