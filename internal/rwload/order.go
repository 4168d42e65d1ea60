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

const maxOrderAttempts = 8

// placeOrder sends one order, at most maxOrderAttempts times with the same
// idempotency key, until it is answered with 201 or the timeout ends. It returns
// "placed" or the outcome of the last attempt: "unanswered", "notrun" or the
// error's code.
func (l *Load) placeOrder(ctx context.Context, r Request) string {
	ctx, cancel := context.WithTimeout(ctx, l.Options.Timeout)
	defer cancel()
	outcome := "unanswered"
	for attempt := range maxOrderAttempts {
		target := l.pickTarget(r.Number + attempt)
		status, retryAfter, answer := l.postOrder(ctx, target, r)
		switch {
		case status == http.StatusCreated:
			return "placed"
		case status == 0:
			outcome = "unanswered" // the retry has the same key and returns the outcome if the order ran
		case answer.Error.Ran == rwerror.RanNo:
			outcome = "notrun"
		default:
			outcome = string(answer.Error.Code)
		}
		if ctx.Err() != nil {
			break
		}
		rwtime.Sleep(ctx, max(retryAfter, reconnectDelay))
	}
	return outcome
}

// postOrder sends an order once. It returns the status, or 0 if no complete answer
// came, the time in Retry-After, and the body of an error.
func (l *Load) postOrder(ctx context.Context, target string, r Request) (int, time.Duration, rwerror.Answer) {
	var answer rwerror.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+l.Options.OrderPath, bytes.NewReader([]byte(r.Prompt)))
	if err != nil {
		return 0, 0, answer
	}
	request.Header.Set("Authorization", "Bearer "+l.Options.APIKey)
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
