package rwengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtoken"

	"github.com/juju/errors"
)

const (
	maxErrorBytes      = 4 << 10 // of an error response, quoted in the error
	maxReplyBytes      = 8 << 20 // of a load report or a list of cache events
	initialEventBuffer = 4 << 10
	maxEventBytes      = 4 << 20
)

// Client sends requests to engines. Neither of its clients may retry requests by itself.
// An engine's responses don't tell which request they belong to, so Streams must not reuse
// connections.
type Client struct {
	HTTP    *http.Client // for load reports, orders and the like
	Streams *http.Client // for completions
}

// StreamEvent is the decoded content of one event of a stream.
type StreamEvent struct {
	Offset int // of the first token, in tokens from the stream's start
	Tokens []rwtoken.Token
	Prompt []uint32 // token IDs of the prompt, on the first event only
	Finish string   // finish reason; empty before the generation has ended
}

// Stream reads the events of a completion.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Complete starts a completion at an engine's address. The engine uses stream as the
// name of the stream.
func (c *Client) Complete(ctx context.Context, address, stream string, request Request) (*Stream, error) {
	path := "/v1/completions"
	if request.Messages != nil {
		path = "/v1/chat/completions"
	}
	body, err := request.encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return c.open(ctx, http.MethodPost, "http://"+address+path, stream, body)
}

// Resume reopens a stream that the engine still holds, starting at an offset in
// tokens.
func (c *Client) Resume(ctx context.Context, address, stream string, offset int) (*Stream, error) {
	target := fmt.Sprintf("http://%s/v1/streams/%s?offset=%d", address, url.PathEscape(stream), offset)
	return c.open(ctx, http.MethodGet, target, stream, nil)
}

// Cancel cancels a stream at the engine.
func (c *Client) Cancel(ctx context.Context, address, stream string) error {
	return c.do(ctx, http.MethodDelete, address, "/v1/streams/"+url.PathEscape(stream), nil, nil)
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	return l, c.do(ctx, http.MethodGet, address, "/load", nil, &l)
}

// Order sends the engine an order to load or unload a version.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	return c.do(ctx, http.MethodPost, address, "/orders", o, nil)
}

// CacheEvents returns the prefix cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	return events, c.do(ctx, http.MethodGet, address, fmt.Sprintf("/cache?after=%d", after), nil, &events)
}

// open sends a request and returns the events of its response. Any status other than 200
// is an error.
func (c *Client) open(ctx context.Context, method, target, stream string, body []byte) (*Stream, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, newUnrewindableReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", stream)
	response, err := c.Streams.Do(request)
	if err != nil {
		return nil, connectionError(err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	return newStream(response.Body), nil
}

func newStream(body io.ReadCloser) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialEventBuffer), maxEventBytes)
	scanner.Split(scanEvents)
	return &Stream{body: body, scanner: scanner}
}

// scanEvents is a bufio.SplitFunc for the lines of a server-sent event, which a blank line
// ends. An event that the end of the connection cuts is dropped: its data may be cut, too.
func scanEvents(data []byte, _ bool) (advance int, event []byte, err error) {
	for start := 0; ; {
		n := bytes.IndexByte(data[start:], '\n')
		if n < 0 {
			return 0, nil, nil
		}
		if len(bytes.TrimSuffix(data[start:start+n], []byte("\r"))) == 0 {
			return start + n + 1, data[:start], nil
		}
		start += n + 1
	}
}

// dataOf returns the data of an event, or nil if it has none.
func dataOf(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// newUnrewindableReader returns a request body that net/http can't rewind, which keeps
// it from retrying the request on another connection.
func newUnrewindableReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return io.MultiReader(bytes.NewReader(body))
}

// do sends a request, with body as JSON unless it is nil, and decodes the response into
// result. If result is nil, the response is discarded.
func (c *Client) do(ctx context.Context, method, address, path string, body, result any) error {
	var content []byte
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return errors.Trace(err)
		}
		content = b
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, newUnrewindableReader(content))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return connectionError(err)
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response)
	}
	if result == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
		return errors.Trace(err)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(result))
}

func statusError(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	kind := rwerror.KindFailed
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusGone:
		kind = rwerror.KindNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = rwerror.KindOverloaded
	case http.StatusBadRequest:
		kind = rwerror.KindInvalid
	case http.StatusConflict, http.StatusPreconditionFailed:
		kind = rwerror.KindConflict
	}
	return rwerror.New(kind, "read the backend server's log", "the backend server responded with status %d: %s", response.StatusCode, bytes.TrimSpace(content))
}

func connectionError(err error) error {
	return rwerror.New(rwerror.KindUnavailable, "retry on another backend server", "the connection to the backend server was lost: %v", err).
		WithRetryAfter(time.Second).WithRan(rwerror.RanUnknown).WithCause(err)
}

var dataPrefix = []byte("data:")

// Next blocks until the next event. It returns io.EOF after the last one, an error
// with KindUnavailable if the connection is lost, also within an event, and one with
// KindFailed if the engine reports an error or sends an invalid event.
func (s *Stream) Next() (StreamEvent, error) {
	for s.scanner.Scan() {
		data := dataOf(s.scanner.Bytes())
		if data == nil {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return StreamEvent{}, io.EOF
		}
		return parseChunk(data)
	}
	if err := s.scanner.Err(); err != nil {
		return StreamEvent{}, connectionError(err)
	}
	return StreamEvent{}, connectionError(io.ErrUnexpectedEOF)
}

// Close closes the connection. The engine may hold the stream for some time after.
func (s *Stream) Close() { _ = s.body.Close() }

func parseChunk(data []byte) (StreamEvent, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return StreamEvent{}, rwerror.New(rwerror.KindFailed, "check the backend server's release", "the backend server sent an event that cannot be decoded: %v", err)
	}
	if chunk.Error != nil {
		return StreamEvent{}, rwerror.New(rwerror.KindFailed, "read the backend server's log", "the backend server failed: %s", chunk.Error.Message).WithRan(rwerror.RanYes)
	}
	event := StreamEvent{Offset: chunk.Offset, Prompt: chunk.Prompt}
	if len(chunk.Choices) == 0 {
		return event, nil
	}
	choice := chunk.Choices[0]
	event.Finish = choice.Finish
	for i, id := range choice.TokenIDs {
		token := rwtoken.Token{ID: id}
		if choice.Logprobs != nil && i < len(choice.Logprobs.Content) {
			token.Text = bytesOf(choice.Logprobs.Content[i].Bytes)
		}
		event.Tokens = append(event.Tokens, token)
	}
	return event, nil
}

// bytesOf converts the bytes of a token, which the engine sends as a list of numbers.
func bytesOf(numbers []int) []byte {
	b := make([]byte, len(numbers))
	for i, n := range numbers {
		b[i] = byte(n)
	}
	return b
}
