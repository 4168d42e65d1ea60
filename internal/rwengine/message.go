package rwengine

import "encoding/json"

// Request is the body of a completion. Prompt holds a string or token numbers;
// Messages is set instead for a chat completion.
type Request struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority,omitempty"`
	TokenIDs  bool            `json:"return_token_ids"`
	Logprobs  bool            `json:"logprobs"`

	// Sampling is a JSON object of further fields, such as temperature and seed.
	Sampling json.RawMessage `json:"-"`
}

// encode writes the request with its sampling fields beside the others. A field
// of the request goes before one of the same name in Sampling, since it comes
// later.
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
	Choices []Choice  `json:"choices"`
	Offset  int       `json:"offset"` // of the first token, from the stream's start
	Prompt  []uint32  `json:"prompt_token_ids,omitempty"`
	Error   *ErrorMsg `json:"error,omitempty"`
}

// Choice is the generated part of a chunk.
type Choice struct {
	TokenIDs []uint32  `json:"token_ids"`
	Logprobs *Logprobs `json:"logprobs,omitempty"`
	Finish   string    `json:"finish_reason,omitempty"`
}

// Logprobs holds one entry a token.
type Logprobs struct {
	Content []Logprob `json:"content"`
}

// Logprob holds a token's bytes as a list of numbers, as the published form does.
type Logprob struct {
	Bytes []int `json:"bytes"`
}

// ErrorMsg is an error inside a stream.
type ErrorMsg struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// Load is an engine's report of its load.
type Load struct {
	Incarnation string   `json:"incarnation"` // another after each restart
	Running     int      `json:"running"`
	Capacity    int      `json:"capacity"`
	Versions    []string `json:"versions"`
	Number      int64    `json:"number"` // the highest fencing number seen
}

// Order tells an engine to load or unload a version.
type Order struct {
	Action  string `json:"action"` // load or unload
	Version string `json:"version"`
	Number  int64  `json:"number"` // fencing number
}

// CacheEvent tells of a change of the engine's prefix cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Type     string `json:"type"` // stored, removed or cleared
	Block    uint64 `json:"block"`
}
