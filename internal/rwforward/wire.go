package rwforward

import (
	"context"
	"net/http"
	"time"

	"ragwortwall/internal/rwbackend"
)

// Ask is what the headers of a caller's request say.
type Ask struct {
	ID       string        // request id
	Deadline time.Duration // remaining time; zero if the caller set none
	Key      string        // API key; empty if there is none
	Prompt   int           // length of the prompt, in tokens
	Output   int           // maximum length of the output, in tokens
	Part     string        // id of the last part of the prompt; identifies the stream across reconnects
	Cursor   int64         // id of the last event that the caller received
	Resumed  bool          // the caller sent a cursor
}

// Order is what the instance adds to a request for a backend server.
type Order struct {
	Left         time.Duration // remaining time until the deadline
	Server       string        // id of the only server that may run the request
	Organisation string        // empty on a route without organisations
	Cursor       int64         // resume after the event with this id
	Resumed      bool          // Cursor is set
	Copy         string        // address of the server that receives a copy of the KV cache; empty for none
	From         string        // address of the server to fetch the KV cache from; empty for none
	Run          string        // request id or copy handle under which that server holds the KV cache
	Priority     int           // 0 is the highest
	Ranked       bool          // Priority is set
}

// Reply is what the headers of a backend server's response say.
type Reply struct {
	Request   string // id of the request that was answered
	Signature bool   // the response carries the server's signature
	NotRun    bool   // the server did not run the request
	Server    string // id of the server that responded, not always the addressed one
	Load      rwbackend.Load
}

// Wire translates between HTTP headers and their meaning.
type Wire interface {
	// Ask parses the headers of a caller's request.
	Ask(h http.Header) Ask
	// Order returns the headers of a request to a backend server.
	Order(h http.Header, info Order) http.Header
	// Reply parses the status and headers of a backend server's response.
	Reply(status int, h http.Header) Reply
	// Answer returns the headers of a response to the caller.
	Answer(h http.Header) http.Header
}

// Engines controls the KV caches of model servers.
type Engines interface {
	// Copy copies the KV cache of a run from one server to another, or the part
	// that was added since the last call. It returns the handle of the copy.
	Copy(ctx context.Context, server, run, target string) (handle string, err error)
	// Parts returns the ids of the prompt parts that a server has cached, and the
	// server's incarnation (zero if it reports none).
	Parts(ctx context.Context, server string) (incarnation int64, parts []string, err error)
	// Describe returns the models, readiness and incarnation of a server.
	Describe(ctx context.Context, server string) (rwbackend.Said, error)
	// Free releases a copy on both servers.
	Free(ctx context.Context, server, handle string) error
}
