package rwengine

import "encoding/json"

// Request is the body of a completion request. Prompt is a string or a list of token
// IDs; a chat completion has Messages instead.
type Request struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority,omitempty"`
	TokenIDs  bool            `json:"return_token_ids"`
	Logprobs  bool            `json:"logprobs"`

	// Sampling is a JSON object with more fields of the request, such as temperature
	// and seed.
	Sampling json.RawMessage `json:"-"`
}

// encode returns the request as JSON with the fields of Sampling merged in. A field of
// Request overrides one of the same name in Sampling, since JSON decoders use the
// last one.
func (r Request) encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil || len(r.Sampling) <= len("{}") {
		return body, err
	}
	var joined []byte
	joined = append(joined, r.Sampling[:len(r.Sampling)-1]...)
	joined = append(joined, ',')
	return append(joined, body[1:]...), nil
}

// Chunk is one event of a streamed completion.
type Chunk struct {
	Choices []Choice      `json:"choices"`
	Offset  int           `json:"offset"` // of the first token, in tokens from the stream's start
	Prompt  []uint32      `json:"prompt_token_ids,omitempty"`
	Error   *ErrorMessage `json:"error,omitempty"`
}

// Choice is the generated content of a chunk.
type Choice struct {
	TokenIDs []uint32  `json:"token_ids"`
	Logprobs *Logprobs `json:"logprobs,omitempty"`
	Finish   string    `json:"finish_reason,omitempty"`
}

// Logprobs holds one entry per token.
type Logprobs struct {
	Content []Logprob `json:"content"`
}

// Logprob holds a token's bytes as a list of numbers, as in the OpenAI API.
type Logprob struct {
	Bytes []int `json:"bytes"`
}

// ErrorMessage is an error reported in a stream.
type ErrorMessage struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// Load is an engine's load report.
type Load struct {
	Incarnation  string   `json:"incarnation"` // changes with each restart of the engine
	Running      int      `json:"running"`
	Capacity     int      `json:"capacity"`
	Versions     []string `json:"versions"`
	FencingToken int64    `json:"number"` // highest fencing token seen
}

// Order tells an engine to load or unload a version.
type Order struct {
	Action       string `json:"action"` // "load" or "unload"
	Version      string `json:"version"`
	FencingToken int64  `json:"number"`
}

// CacheEvent is a change of the engine's prefix cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Type     string `json:"type"` // "stored", "removed" or "cleared"
	Block    uint64 `json:"block"`
}
