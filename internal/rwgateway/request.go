package rwgateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwmember"

	"github.com/cespare/xxhash/v2"
)

// Limits of requests.
const (
	MaxBodyBytes     = 2 << 20
	maxTokens        = 65536
	defaultMaxTokens = 1024
	maxStopSequences = 8
	maxStopBytes     = 256
	maxKeyBytes      = 256
	defaultTimeout   = 15 * time.Minute
)

// Request headers beyond the standard ones.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderCursor         = "Last-Event-ID"
	HeaderTimeout        = "Request-Timeout" // in seconds, from the arrival of the request
)

// completion is the body of a request for a completion or chat completion.
type completion struct {
	Model          string          `json:"model"`
	Prompt         json.RawMessage `json:"prompt,omitempty"`
	Messages       json.RawMessage `json:"messages,omitempty"`
	MaxTokens      *int            `json:"max_tokens,omitempty"`
	MaxCompletion  *int            `json:"max_completion_tokens,omitempty"`
	Stream         bool            `json:"stream,omitempty"`
	StreamOptions  streamOptions   `json:"stream_options,omitempty"`
	Stop           json.RawMessage `json:"stop,omitempty"`
	N              *int            `json:"n,omitempty"`
	Priority       int             `json:"priority,omitempty"`
	Temperature    *float64        `json:"temperature,omitempty"`
	TopP           *float64        `json:"top_p,omitempty"`
	Seed           *int64          `json:"seed,omitempty"`
	Presence       *float64        `json:"presence_penalty,omitempty"`
	Frequency      *float64        `json:"frequency_penalty,omitempty"`
	LogitBias      json.RawMessage `json:"logit_bias,omitempty"`
	ResponseFormat json.RawMessage `json:"response_format,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// sampling holds the parameters that are passed to the engine unchanged.
type sampling struct {
	Temperature    *float64        `json:"temperature,omitempty"`
	TopP           *float64        `json:"top_p,omitempty"`
	Seed           *int64          `json:"seed,omitempty"`
	Presence       *float64        `json:"presence_penalty,omitempty"`
	Frequency      *float64        `json:"frequency_penalty,omitempty"`
	LogitBias      json.RawMessage `json:"logit_bias,omitempty"`
	ResponseFormat json.RawMessage `json:"response_format,omitempty"`
}

// parseCompletion decodes and validates a request body.
func parseCompletion(body []byte, chat bool) (completion, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return c, invalid("correct the JSON", "cannot decode the request body: %v", err)
	}
	switch {
	case c.Model == "":
		return c, invalid("set model to the name of a model", "the field model is missing")
	case chat && !isList(c.Messages):
		return c, invalid("set messages to a list of messages", "the field messages is missing or not a list")
	case !chat && !isString(c.Prompt):
		return c, invalid("set prompt to one string", "the field prompt is missing or not a string")
	case c.N != nil && *c.N != 1:
		return c, invalid("send one request for each answer", "values of n other than 1 are not supported")
	}
	if n := c.tokenLimit(); n < 1 || n > maxTokens {
		return c, invalid("set max_tokens to a value from 1 to "+strconv.Itoa(maxTokens), "max_tokens is %d", n)
	}
	_, err := c.stops()
	return c, err
}

func invalid(remedy, format string, args ...any) error {
	return rwerror.New(rwerror.KindInvalid, remedy, format, args...)
}

func isList(raw json.RawMessage) bool { return bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) }

func isString(raw json.RawMessage) bool { return bytes.HasPrefix(bytes.TrimSpace(raw), []byte(`"`)) }

// tokenLimit returns the maximum number of tokens of the answer. max_completion_tokens
// takes precedence over max_tokens.
func (c completion) tokenLimit() int {
	switch {
	case c.MaxCompletion != nil:
		return *c.MaxCompletion
	case c.MaxTokens != nil:
		return *c.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// stops decodes the field stop, which is a string or a list of strings.
func (c completion) stops() ([]string, error) {
	if len(c.Stop) == 0 || string(c.Stop) == "null" {
		return nil, nil
	}
	var list []string
	var one string
	if json.Unmarshal(c.Stop, &one) == nil {
		list = []string{one}
	} else if json.Unmarshal(c.Stop, &list) != nil {
		return nil, invalid("set stop to a string or a list of strings", "the field stop is neither a string nor a list of strings")
	}
	if len(list) > maxStopSequences {
		return nil, invalid("send at most "+strconv.Itoa(maxStopSequences), "there are %d stop sequences", len(list))
	}
	for _, s := range list {
		if s == "" || len(s) > maxStopBytes {
			return nil, invalid("send 1 to "+strconv.Itoa(maxStopBytes)+" bytes", "a stop sequence has %d bytes", len(s))
		}
	}
	return list, nil
}

// prompt returns the prompt, or the messages of a chat, as JSON without white space
// between the values, so that formatting does not change the fingerprint.
func (c completion) prompt(chat bool) json.RawMessage {
	raw := c.Prompt
	if chat {
		raw = c.Messages
	}
	var compact bytes.Buffer
	if json.Compact(&compact, raw) != nil {
		return raw
	}
	return compact.Bytes()
}

func (c completion) samplingJSON() json.RawMessage {
	body, err := json.Marshal(sampling{
		Temperature: c.Temperature, TopP: c.TopP, Seed: c.Seed, Presence: c.Presence,
		Frequency: c.Frequency, LogitBias: c.LogitBias, ResponseFormat: c.ResponseFormat,
	})
	if err != nil {
		return nil
	}
	return body
}

// fingerprint hashes what the request asks for. It does not depend on whether the
// answer is streamed.
func (c completion) fingerprint(chat bool, organisation string) uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{
		[]byte(organisation), []byte(c.Model), c.prompt(chat), c.samplingJSON(), c.Stop,
		strconv.AppendInt(nil, int64(c.tokenLimit()), 10), strconv.AppendBool(nil, chat),
	} {
		_, _ = h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// newGenerationID returns the ID of a generation. The first half is the request's
// fingerprint and determines the primary, so generations of the same request share it.
// The second half is a digest of the Idempotency-Key, or random without one.
func newGenerationID(fingerprint uint64, organisation, key string) rwcursor.GenerationID {
	var id rwcursor.GenerationID
	binary.LittleEndian.PutUint64(id[:8], fingerprint)
	second := rand.Uint64()
	if key != "" {
		second = keyDigest(organisation, key)
	}
	binary.LittleEndian.PutUint64(id[8:], second)
	return id
}

func keyDigest(organisation, key string) uint64 {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return binary.LittleEndian.Uint64(sum[:])
}

// placementKey returns the key that determines the primary of a generation.
func placementKey(id rwcursor.GenerationID) uint64 { return rwmember.PlacementKey(id[:]) }

// parseDeadline returns the deadline of the request, from the header Request-Timeout.
func parseDeadline(r *http.Request) (time.Time, error) {
	text := strings.TrimSpace(r.Header.Get(HeaderTimeout))
	if text == "" {
		return time.Now().Add(defaultTimeout), nil
	}
	seconds, err := strconv.ParseFloat(strings.TrimSuffix(text, "s"), 64)
	if err != nil || !(seconds > 0) || seconds > defaultTimeout.Seconds() {
		return time.Time{}, invalid("set a number of seconds above 0, at most "+strconv.Itoa(int(defaultTimeout.Seconds())), "the header %s is %q", HeaderTimeout, text)
	}
	return time.Now().Add(time.Duration(seconds * float64(time.Second))), nil
}

// spec returns the specification of the requested generation.
func (c completion) spec(chat bool, id rwcursor.GenerationID, fingerprint uint64) rwgeneration.Spec {
	stops, _ := c.stops() // checked by parseCompletion
	return rwgeneration.Spec{
		ID:          id,
		Fingerprint: fingerprint,
		Chat:        chat,
		Prompt:      c.prompt(chat),
		MaxTokens:   c.tokenLimit(),
		Stop:        stops,
		Sampling:    c.samplingJSON(),
		Priority:    c.Priority,
	}
}
