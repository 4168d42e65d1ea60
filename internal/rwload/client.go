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

// result holds what was received for one generation request, over all of its
// attempts.
type result struct {
	text          strings.Builder
	version       string
	finish        string
	cursor        string
	firstToken    time.Duration   // from the start of the request to its first text
	gaps          []time.Duration // times between events with text
	longestGap    time.Duration
	longestGapEnd time.Time // when the longest gap ended
	generation    string
	reconnects    int
	refusals      int
	lastText      time.Time
	err           error
	took          time.Duration
	tokens        int
}

// completionEvent is the data of one server-sent event of /v1/completions.
type completionEvent struct {
	Version string `json:"system_fingerprint"`
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`

		// Engines send token IDs without text.
		TokenIDs []uint32 `json:"token_ids"`
	} `json:"choices"`
	Error *rwerror.AnswerBody `json:"error"`
}

const (
	maxReconnects       = 20
	reconnectDelay      = 100 * time.Millisecond
	maxEventBytes       = 4 << 20
	immediateRetryDelay = 50 * time.Millisecond // replaces Retry-After if it is ignored
)

// generate requests one answer and retries at the next target until the answer
// is complete, the caller's timeout ends, an error is not retryable, or the
// connection has broken maxReconnects times.
func (l *Load) generate(ctx context.Context, r Request) *result {
	res := &result{}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.Options.Timeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{"model": l.Options.Model, "prompt": r.Prompt, "max_tokens": l.Options.MaxTokens, "stream": true})
	if err != nil {
		res.err = err
		return res
	}
	for index := l.firstTargetIndex(r); ; index++ {
		target := l.pickTarget(index)
		retry, err := l.attempt(ctx, target, r, body, res, started)
		if err == nil {
			break
		}
		res.err = err
		if ctx.Err() != nil || !retry || res.reconnects >= maxReconnects {
			break
		}
	}
	res.took = time.Since(started)
	return res
}

// attempt sends the request once, with the last cursor if there is one, and reads
// the stream into res. It reports whether the request should be retried.
func (l *Load) attempt(ctx context.Context, target string, r Request, body []byte, res *result, started time.Time) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Header.Set("Authorization", "Bearer "+l.Options.APIKey)
	request.Header.Set("Idempotency-Key", r.Key)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set("Request-Timeout", strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64))
	}
	request.Header.Set("X-Request-Id", r.Key+strconv.Itoa(res.refusals+res.reconnects))
	if l.Options.DirectToEngines {
		res.text.Reset()
	}
	if res.cursor != "" {
		request.Header.Set("Last-Event-ID", res.cursor)
	}
	response, err := l.client.Do(request)
	if err != nil {
		res.reconnects++
		rwtime.Sleep(ctx, reconnectDelay)
		return true, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l.handleRefusal(ctx, response, res)
	}
	res.generation = response.Header.Get("Generation-Id")
	err = l.readStream(response.Body, res, started)
	if err == nil {
		return false, nil
	}
	// readStream returns errors of this kind only for events that can't be parsed or
	// that carry an error, and these are not retryable.
	if rwerror.Is(err, rwerror.KindInternal) {
		return false, err
	}
	res.reconnects++
	rwtime.Sleep(ctx, reconnectDelay)
	return true, err
}

// handleRefusal counts an answer whose status is not 200 and waits before the
// retry. It reports whether to retry: only after 429 and 503, and only if the
// options ask for it.
func (l *Load) handleRefusal(ctx context.Context, response *http.Response, res *result) (bool, error) {
	content, _ := io.ReadAll(response.Body)
	res.refusals++
	l.countRefusal(content)
	err := errors.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(content)))
	retryable := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	if !retryable || !l.Options.RetryAfterRefusal && !l.Options.IgnoreRetryAfter {
		return false, err
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	delay := time.Duration(seconds) * time.Second
	if l.Options.IgnoreRetryAfter {
		delay = immediateRetryDelay
	}
	rwtime.Sleep(ctx, delay)
	return true, err
}

// countRefusal counts a refusal by its kind and message.
func (l *Load) countRefusal(content []byte) {
	reason := "unknown"
	if e, ok := rwerror.FromAnswer(content); ok {
		reason = string(e.Kind) + ": " + maskServerNames(e.Message)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.report.Reasons[reason]++
}

var serverNamePattern = regexp.MustCompile(`[a-z]+/[a-z]+[0-9]+`)

// maskServerNames replaces the names of backend servers, so that refusals that
// differ only in the server are counted together.
func maskServerNames(text string) string { return serverNamePattern.ReplaceAllString(text, "*") }

// readStream reads events into res until [DONE]. If the stream breaks off earlier,
// it returns an error, and the request can be resumed from res.cursor. It also
// returns the errors of addEvent.
func (l *Load) readStream(body io.Reader, res *result, started time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
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
		if err := res.addEvent(data, started); err != nil {
			return err
		}
		if cursor != "" {
			res.cursor = cursor
			cursor = ""
		}
		if l.Options.ReadDelay > 0 {
			time.Sleep(l.Options.ReadDelay)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Trace(err)
	}
	return io.ErrUnexpectedEOF
}

// addEvent adds the text of one event and the time since the previous event with
// text. It returns an error of KindInternal for an event that can't be parsed or
// that carries an error.
func (r *result) addEvent(data string, started time.Time) error {
	var e completionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return rwerror.New(rwerror.KindInternal, "report this as a bug", "cannot parse an event: %v", err)
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
		if r.lastText.IsZero() {
			r.firstToken = now.Sub(started)
		} else {
			gap := now.Sub(r.lastText)
			r.gaps = append(r.gaps, gap)
			if gap > r.longestGap {
				r.longestGap = gap
				r.longestGapEnd = now
			}
		}
		r.lastText = now
	}
	return nil
}

// verify compares the text and the finish reason of an answer with those that the
// model generates for the prompt. It returns an error if they differ.
func (l *Load) verify(r Request, res *result) error {
	if l.Options.DirectToEngines {
		res.version = l.Options.Model
	}
	if res.finish == "" {
		return errors.Errorf("the answer ended without a finish reason: %v", res.err)
	}
	tokens, wantFinish := rwmodel.Answer(res.version, rwmodel.Tokenize(r.Prompt), l.Options.MaxTokens)
	var text strings.Builder
	for _, t := range tokens {
		text.Write(t.Text)
	}
	want := strings.ToValidUTF8(text.String(), "\ufffd")
	res.tokens = len(tokens)
	got := strings.ToValidUTF8(res.text.String(), "\ufffd")
	switch {
	case got != want:
		return errors.Errorf("the text differs from the answer of version %s: %s", res.version, describeDifference(got, want))
	case wantFinish != res.finish:
		return errors.Errorf("finish_reason is %q, want %q", res.finish, wantFinish)
	}
	return nil
}

func describeDifference(got, want string) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	return "got " + strconv.Itoa(len(got)) + " bytes, want " + strconv.Itoa(len(want)) + ", first difference at byte " + strconv.Itoa(at)
}
