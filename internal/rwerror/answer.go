package rwerror

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Answer is the JSON body of an error response: OpenAI's error format with the
// additional fields remedy, ran and retryafter (in seconds).
type Answer struct {
	Error AnswerBody `json:"error"`
}

// AnswerBody is the error object in an Answer.
type AnswerBody struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Code       Kind    `json:"code"`
	Remedy     string  `json:"remedy,omitempty"`
	Ran        Ran     `json:"ran,omitempty"`
	RetryAfter float64 `json:"retryafter,omitempty"`
}

// Answer returns the JSON body for e.
func (e *Error) Answer() Answer {
	return Answer{Error: AnswerBody{
		Message:    e.Error(),
		Type:       "ragwortwall_error",
		Code:       e.Kind,
		Remedy:     e.Remedy,
		Ran:        e.Ran,
		RetryAfter: e.RetryAfter.Seconds(),
	}}
}

// FromAnswer decodes the error from an instance's response body. Remedy stays empty,
// as the message includes it. It returns false if body is not an Answer.
func FromAnswer(body []byte) (*Error, bool) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil || a.Error.Code == "" {
		return nil, false
	}
	return &Error{
		Kind:       a.Error.Code,
		Message:    a.Error.Message,
		Ran:        a.Error.Ran,
		RetryAfter: time.Duration(a.Error.RetryAfter * float64(time.Second)),
	}, true
}

// Write writes err as an HTTP response. If the error has a RetryAfter, the
// Retry-After header carries it in seconds, rounded up.
func Write(w http.ResponseWriter, err error) {
	e := As(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.Answer())
}
