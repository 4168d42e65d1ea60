package rwforward

import (
	"context"
	"net/http"
	"time"

	"ragwortwall/internal/rwbackend"
)

// Ask is what a caller's headers say of its request.
type Ask struct {
	ID       string
	Deadline time.Duration // zero when the caller names none
	Key      string        // API key; empty when there is none
	Prompt   int           // tokens of the prompt
	Output   int           // most tokens of the output
	Part     string        // last part of the prompt: whose stream this is
	Cursor   int64         // last event that the caller has
	Resumed  bool          // the caller has a cursor
}

// Order is what goes to a server with a request, besides what the caller sent.
type Order struct {
	Left         time.Duration // of the caller's deadline
	Server       string        // the only server that may run it
	Organisation string        // empty on a route without one
	Cursor       int64         // go on after this event
	Resumed      bool
	Copy         string // address of the server that keeps a copy
	From         string // address of the server that holds the run's memory
	Run          string // request id under which it holds it
	Priority     int    // 0 is first
	Ranked       bool   // the priority counts
}

// Reply is what the headers of a server's answer say.
type Reply struct {
	Request   string // id of the request that it answers
	Signature bool   // it carries the server's signature
	NotRun    bool   // the server did not run the request
	Server    string // id of the server that answered, where another one was meant
	Load      rwbackend.Load
}

// Wire translates the headers of requests and answers.
type Wire interface {
	Ask(h http.Header) Ask
	Order(h http.Header, o Order) http.Header
	Reply(status int, h http.Header) Reply
	Answer(h http.Header) http.Header
}

// Engines orders what model servers do with the memory of runs.
type Engines interface {
	// Copy copies the memory of a run at a server to another server, or what is
	// new since the last call, and returns the handle of the copy.
	Copy(ctx context.Context, server, run, target string) (handle string, err error)
	// Parts returns the parts of prompts that a server holds, and its incarnation
	// (zero when it does not say).
	Parts(ctx context.Context, server string) (incarnation int64, parts []string, err error)
	// Describe asks a server what it is.
	Describe(ctx context.Context, server string) (rwbackend.Said, error)
	// Free gives up a copy, at both ends.
	Free(ctx context.Context, server, handle string) error
}
