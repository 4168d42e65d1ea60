package rwforward

import (
	"context"
	"net/http"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlimit"
)

// RequestInfo holds the parsed headers of a caller's request.
type RequestInfo struct {
	ID        string        // request id
	Deadline  time.Duration // remaining time; zero if the caller set none
	Key       string        // API key; empty if there is none
	Prompt    int           // length of the prompt, in tokens
	MaxOutput int           // maximum length of the output, in tokens
	LastPart  string        // id of the last part of the prompt, which other requests may have too
	Cursor    int64         // id of the last event that the caller received
	Resumed   bool          // the caller sent a cursor

	Generation  []string // what else the headers say of what is generated: model, prompt and lengths
	SharedParts []string // ids of the other parts of the prompt, in order, see BoundParts
}

// UpstreamInfo is what the instance adds to a request for a backend server.
type UpstreamInfo struct {
	Timeout      time.Duration // remaining time until the deadline
	Server       string        // id of the only server that may run the request
	Organisation string        // empty on a route without organisations
	Cursor       int64         // resume after the event with this id
	Resumed      bool          // Cursor is set
	CopyTarget   string        // address of the server that receives a copy of the KV cache; empty for none
	KVSource     string        // address of the server to fetch the KV cache from; empty for none
	KVRun        string        // request id or copy handle under which that server holds the KV cache
	Priority     int           // 0 is the highest
	HasPriority  bool          // Priority is set
}

// ResponseInfo holds the parsed status and headers of a backend server's response.
type ResponseInfo struct {
	RequestID string // id of the request that was answered
	Signed    bool   // the response carries the server's signature
	NotRun    bool   // the server did not run the request
	ServerID  string // id of the server that responded, not always the addressed one
	Load      rwbackend.Load
	Limit     rwlimit.Limit       // that the server names
	Statement rwbackend.Statement // what the server says of itself

	InvalidLimit string // its text if it can't be used; Limit then names none
	InvalidLoad  bool   // the load, or a part of it, can't be used; Statement.Invalid has its text
}

// HeaderCodec parses and builds the headers of requests and responses.
type HeaderCodec interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// RequestHeaders returns the headers of a request to a backend server.
	RequestHeaders(h http.Header, info UpstreamInfo) http.Header
	// ParseResponse parses the status and headers of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeaders returns the headers of a response to the caller.
	ResponseHeaders(h http.Header) http.Header
}

// EngineClient controls the KV caches of model servers.
type EngineClient interface {
	// Copy copies the KV cache of a run from one server to another, or the part
	// that was added since the last call. It returns the handle of the copy.
	Copy(ctx context.Context, server, run, target string) (handle string, err error)
	// ListPromptParts returns the ids of the prompt parts that a server has cached, and the
	// server's incarnation (zero if it reports none).
	ListPromptParts(ctx context.Context, server string) (incarnation int64, parts []string, err error)
	// Describe returns the models, readiness and incarnation of a server.
	Describe(ctx context.Context, server string) (rwbackend.ServerStatus, error)
	// ReleaseCopy releases a copy on both servers.
	ReleaseCopy(ctx context.Context, server, handle string) error
}
