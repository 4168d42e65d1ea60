package rwerror

import (
	stderrors "errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is a class of errors, sent as the "code" field of an error response.
type Kind string

// The kinds of errors that an instance returns.
const (
	KindInvalid        Kind = "invalid"      // the request is malformed
	KindTooLarge       Kind = "toolarge"     // the body exceeds its size limit
	KindUnauthorized   Kind = "unauthorized" // the API key belongs to no organisation
	KindForbidden      Kind = "forbidden"    // the operator lacks permission
	KindNotFound       Kind = "notfound"     // the route, object or generation does not exist
	KindInvalidCursor  Kind = "cursor"       // the cursor is invalid or not the caller's
	KindMismatch       Kind = "mismatch"     // the idempotency key was used with another body
	KindConflict       Kind = "conflict"     // the request conflicts with the current state
	KindOverloaded     Kind = "overloaded"   // no capacity becomes free in time
	KindUnavailable    Kind = "unavailable"  // a required component is down
	KindQuarantined    Kind = "quarantined"  // the request crashes backend servers
	KindAnswerLost     Kind = "answerlost"   // every copy of the answer is gone
	KindOutcomeUnknown Kind = "unknown"      // the request may have run; its outcome is unknown
	KindTimeout        Kind = "timeout"      // a deadline passed
	KindFailed         Kind = "failed"       // the backend server rejected or failed the request
	KindInternal       Kind = "internal"     // an internal error of ragwortwall
)

var statusByKind = map[Kind]int{
	KindInvalid:        http.StatusBadRequest,
	KindTooLarge:       http.StatusRequestEntityTooLarge,
	KindUnauthorized:   http.StatusUnauthorized,
	KindForbidden:      http.StatusForbidden,
	KindNotFound:       http.StatusNotFound,
	KindInvalidCursor:  http.StatusBadRequest,
	KindMismatch:       http.StatusUnprocessableEntity,
	KindConflict:       http.StatusConflict,
	KindOverloaded:     http.StatusTooManyRequests,
	KindUnavailable:    http.StatusServiceUnavailable,
	KindQuarantined:    http.StatusUnprocessableEntity,
	KindAnswerLost:     http.StatusGone,
	KindOutcomeUnknown: http.StatusBadGateway,
	KindTimeout:        http.StatusGatewayTimeout,
	KindFailed:         http.StatusBadGateway,
	KindInternal:       http.StatusInternalServerError,
}

// Ran says whether a failed request ran at a backend server.
type Ran string

// The values of Ran. RanNo is used only if it is certain that the request did not
// run.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Error is a typed error with a remedy for its reader and the time until a retry.
// A RetryAfter of zero means that no time is given.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	RetryAfter time.Duration
	Ran        Ran
	Cause      error
}

// New returns an error of a kind, with Ran set to RanNo. The remedy tells the reader
// what to do next.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Ran: RanNo}
}

// WithRetryAfter returns a copy that tells the caller to retry after d.
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

// WithCause returns a copy that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Error returns the message and the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// Status returns the HTTP status for the error's kind.
func (e *Error) Status() int {
	if s, ok := statusByKind[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// As returns the typed error in err's chain. If there is none it returns an error
// of KindInternal with err's message and RanUnknown.
func As(err error) *Error {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed
	}
	return New(KindInternal, "retry the request; if the error persists, check the instance's log", "%v", err).WithRan(RanUnknown)
}

// Is reports whether the typed error in err's chain is of the kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return stderrors.As(err, &typed) && typed.Kind == kind
}
