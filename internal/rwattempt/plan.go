package rwattempt

// Fate is what became of one try.
type Fate int

// The fates of a try.
const (
	FateAnswered Fate = iota // a whole answer of the server that ran it
	FateNotRun               // the server said that it did not run it
	FateUnsent               // no byte reached the server
	FateUnknown              // it may have run
	FateRefused              // it may not be sent at all: the error is final
)

// Result is what one try brought.
type Result[A any] struct {
	Fate   Fate
	Answer A     // of FateAnswered
	Failed bool  // the answer is a failure of the server's
	Err    error // for the caller, of all other fates
}

// Plan carries out one request. All fields are needed.
type Plan[S, A any] struct {
	Most  int               // servers that it may be sent to
	Pick  func() (S, error) // another server each time, until there is none
	Try   func(S) Result[A]
	Again func() bool // takes one repeat from the budget
	Wait  func() bool // the caller still waits, and there is time
}

// Once carries out a request that must not run twice. Another server is tried only
// while it is proved that none has run it.
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

// Repeatable carries out a request that may run again: at another server if one
// fails or is lost, as far as the budget allows. When no try succeeds, a server's
// own answer goes before errors of ours.
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
