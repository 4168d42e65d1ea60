package rwload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtime"
)

const orderTries = 8

// order places one order, comes back when it is told that the order did not
// run, and returns "placed", or what it was told last.
func (l *Load) order(ctx context.Context, r Request) string {
	ctx, cancel := context.WithTimeout(ctx, l.Options.Patience)
	defer cancel()
	told := "unanswered"
	for try := range orderTries {
		target := l.target(r.Number + try)
		status, after, answer := l.post(ctx, target, r)
		switch {
		case status == http.StatusCreated:
			return "placed"
		case status == 0:
			told = "unanswered" // the same key asks again for the outcome
		case answer.Error.Ran == rwerror.RanNo:
			told = "notrun"
		default:
			told = string(answer.Error.Code)
		}
		if ctx.Err() != nil {
			break
		}
		rwtime.Sleep(ctx, max(after, reconnectPause))
	}
	return told
}

func (l *Load) post(ctx context.Context, target string, r Request) (int, time.Duration, rwerror.Answer) {
	var answer rwerror.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+l.Options.Path, bytes.NewReader([]byte(r.Prompt)))
	if err != nil {
		return 0, 0, answer
	}
	request.Header.Set("Authorization", "Bearer "+l.Options.Key)
	request.Header.Set("Idempotency-Key", r.Key)
	response, err := l.client.Do(request)
	if err != nil {
		return 0, 0, answer
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0, answer
	}
	_ = json.Unmarshal(content, &answer)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, time.Duration(seconds) * time.Second, answer
}
