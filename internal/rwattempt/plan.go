package rwattempt

// Outcome classifies the result of one attempt.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeAnswered Outcome = iota // a server ran the request and returned a complete answer
	OutcomeNotRun                  // the server reported that it did not run the request
	OutcomeUnsent                  // no byte of the request reached the server
	OutcomeUnknown                 // the request may or may not have run
	OutcomeRefused                 // the request was rejected before sending; the error is final
)

// Result holds the outcome of one attempt and its answer or error.
type Result[A any] struct {
	Outcome Outcome
	Answer  A     // set if the request was answered
	Failed  bool  // the answer reports a failure of the server
	Err     error // error to return to the caller; set if there is no answer
}

// Plan runs one request. All fields are required.
type Plan[S, A any] struct {
	MaxAttempts int               // maximum number of attempts; attempts that sent nothing do not count
	Pick        func() (S, error) // returns an untried server, or an error if none is left
	Attempt     func(S) Result[A] // sends the request to the server
	SpendRetry  func() bool       // takes one retry from the retry budget; false if it is exhausted
	CanContinue func() bool       // the caller is still connected and the deadline has not passed
}

// RunAtMostOnce runs a request that must not run twice. It goes on to another server only
// while it is certain that no server has run the request.
func (p Plan[S, A]) RunAtMostOnce() Result[A] {
	for sent := 1; ; {
		server, err := p.Pick()
		if err != nil {
			return Result[A]{Outcome: OutcomeRefused, Err: err}
		}
		r := p.Attempt(server)
		switch {
		case r.Outcome == OutcomeUnsent && p.CanContinue():
		case r.Outcome == OutcomeNotRun && sent < p.MaxAttempts && p.SpendRetry():
			sent++
		default:
			return r
		}
	}
}

// RunIdempotent runs a request that may run more than once. It retries at another
// server after a failure or a lost server while the retry budget lasts. If no
// attempt succeeds, it prefers the failure answer of a server to a local error, and the
// error of an attempt that may have run to that of one that did not.
func (p Plan[S, A]) RunIdempotent() Result[A] {
	var last Result[A]
	failed, unknown := false, false
	for sent := 0; sent < max(1, p.MaxAttempts); {
		if sent > 0 && !p.SpendRetry() {
			break
		}
		server, err := p.Pick()
		if err != nil {
			if !failed && last.Err == nil {
				last = Result[A]{Outcome: OutcomeRefused, Err: err}
			}
			break
		}
		r := p.Attempt(server)
		switch {
		case r.Outcome == OutcomeAnswered && !r.Failed, r.Outcome == OutcomeRefused:
			return r
		case r.Outcome == OutcomeAnswered:
			last, failed = r, true
		case !failed && (r.Outcome == OutcomeUnknown || !unknown):
			last, unknown = r, r.Outcome == OutcomeUnknown
		}
		if r.Outcome != OutcomeUnsent {
			sent++
		}
		if !p.CanContinue() {
			break
		}
	}
	return last
}
