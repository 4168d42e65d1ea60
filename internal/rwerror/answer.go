package rwerror

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Answer is the JSON form of an error, in the shape OpenAI clients expect
// with the fields remedy, ran and retryafter (seconds) added.
type Answer struct {
	Error AnswerBody `json:"error"`
}

// AnswerBody is the inside of an Answer.
type AnswerBody struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Code       Kind    `json:"code"`
	Remedy     string  `json:"remedy,omitempty"`
	Ran        Ran     `json:"ran,omitempty"`
	RetryAfter float64 `json:"retryafter,omitempty"`
}

// Answer returns the JSON form of e.
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

// FromAnswer rebuilds the typed error that an instance answered with.
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

// Write answers an HTTP request with err, with Retry-After in whole seconds
// rounded up where the error says when to come back.
func Write(w http.ResponseWriter, err error) {
	e := As(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.Answer())
}
