package rwerror

import (
	stderrors "errors"
	"fmt"
	"net/http"
	"time"
)

// Kind names a class of error. It is the "code" field of an error answer.
type Kind string

// The kinds of error that leave an instance.
const (
	KindInvalid      Kind = "invalid"      // the request can't be understood
	KindTooLarge     Kind = "toolarge"     // the body is over its limit
	KindUnauthorized Kind = "unauthorized" // no organisation has this API key
	KindForbidden    Kind = "forbidden"    // the operator has no authority here
	KindNotFound     Kind = "notfound"     // no such route, object or answer
	KindCursor       Kind = "cursor"       // the cursor is forged or another's
	KindMismatch     Kind = "mismatch"     // one key came with different bodies
	KindConflict     Kind = "conflict"     // another writer was first
	KindOverloaded   Kind = "overloaded"   // no capacity before the deadline
	KindUnavailable  Kind = "unavailable"  // a part needed is down
	KindQuarantined  Kind = "quarantined"  // the request crashes backend servers
	KindAnswerLost   Kind = "answerlost"   // every copy of the answer is gone
	KindUnknown      Kind = "unknown"      // the call may have run
	KindTimeout      Kind = "timeout"      // the caller's deadline passed
	KindFailed       Kind = "failed"       // the backend server refused the work
	KindInternal     Kind = "internal"     // a fault of ragwortwall itself
)

var statuses = map[Kind]int{
	KindInvalid:      http.StatusBadRequest,
	KindTooLarge:     http.StatusRequestEntityTooLarge,
	KindUnauthorized: http.StatusUnauthorized,
	KindForbidden:    http.StatusForbidden,
	KindNotFound:     http.StatusNotFound,
	KindCursor:       http.StatusBadRequest,
	KindMismatch:     http.StatusUnprocessableEntity,
	KindConflict:     http.StatusConflict,
	KindOverloaded:   http.StatusTooManyRequests,
	KindUnavailable:  http.StatusServiceUnavailable,
	KindQuarantined:  http.StatusUnprocessableEntity,
	KindAnswerLost:   http.StatusGone,
	KindUnknown:      http.StatusBadGateway,
	KindTimeout:      http.StatusGatewayTimeout,
	KindFailed:       http.StatusBadGateway,
	KindInternal:     http.StatusInternalServerError,
}

// Ran says whether a refused request ran at a backend server.
type Ran string

// The values of Ran. RanNo is said only where it is proved.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Error is an error with its kind, its remedy, and when to come back.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	RetryAfter time.Duration
	Ran        Ran
	Cause      error
}

// New returns an error of a kind. The remedy tells the reader what to do next.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Ran: RanNo}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRan returns a copy that says whether the request ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithCause returns a copy that wraps the error which led to it.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Error gives the message and the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// Status is the HTTP status of the error's kind.
func (e *Error) Status() int {
	if s, ok := statuses[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// As returns the typed error inside err; an error without one becomes an
// internal error that keeps its message.
func As(err error) *Error {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed
	}
	return New(KindInternal, "send the request again; if it stays, read the instance's log", "%v", err).WithRan(RanUnknown)
}

// Is reports whether err holds a typed error of the kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return stderrors.As(err, &typed) && typed.Kind == kind
}
