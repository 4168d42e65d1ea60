package rwattempt

// Fate classifies the result of one attempt.
type Fate int

// Outcomes of an attempt.
const (
	FateAnswered Fate = iota // a server ran the request and returned a complete answer
	FateNotRun               // the server reported that it did not run the request
	FateUnsent               // no byte of the request reached the server
	FateUnknown              // the request may or may not have run
	FateRefused              // the request was rejected before sending; the error is final
)

// Result holds the outcome of one attempt and its answer or error.
type Result[A any] struct {
	Fate   Fate
	Answer A     // set if the request was answered
	Failed bool  // the answer reports a failure of the server
	Err    error // error to return to the caller; set if there is no answer
}

// Plan runs one request. All fields are required.
type Plan[S, A any] struct {
	Most  int               // maximum number of attempts; attempts that sent nothing do not count
	Pick  func() (S, error) // returns an untried server, or an error if none is left
	Try   func(S) Result[A]
	Again func() bool // takes one retry from the retry budget; false if it is exhausted
	Wait  func() bool // the caller is still connected and the deadline has not passed
}

// Once runs a request that must not run twice. It goes on to another server only
// while it is certain that no server has run the request.
func (p Plan[S, A]) Once() Result[A] {
	for sent := 1; ; {
		server, err := p.Pick()
		if err != nil {
			return Result[A]{Fate: FateRefused, Err: err}
		}
		r := p.Try(server)
		switch {
		case r.Fate == FateUnsent && p.Wait():
		case r.Fate == FateNotRun && sent < p.Most && p.Again():
			sent++
		default:
			return r
		}
	}
}

// Repeatable runs a request that may run more than once. It retries at another
// server after a failure or a lost server while the retry budget lasts. If no
// attempt succeeds, it prefers the failure answer of a server to a local error.
func (p Plan[S, A]) Repeatable() Result[A] {
	var last Result[A]
	failed := false
	for sent := 0; sent < max(1, p.Most); {
		if sent > 0 && !p.Again() {
			break
		}
		server, err := p.Pick()
		if err != nil {
			if !failed && last.Err == nil {
				last = Result[A]{Fate: FateRefused, Err: err}
			}
			break
		}
		r := p.Try(server)
		switch {
		case r.Fate == FateAnswered && !r.Failed, r.Fate == FateRefused:
			return r
		case r.Fate == FateAnswered:
			last, failed = r, true
		case !failed:
			last = r
		}
		if r.Fate != FateUnsent {
			sent++
		}
		if !p.Wait() {
			break
		}
	}
	return last
}
