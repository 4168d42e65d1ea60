package rwgateway

import (
	"encoding/json"
	"time"

	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwtoken"
)

// The response format of the OpenAI completions API.

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Version string   `json:"system_fingerprint,omitempty"` // model version that generated the answer
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// newResponse returns a response of the given object type without choices.
func (a *answerWriter) newResponse(object string) completionResponse {
	prefix := "cmpl-"
	if a.chat {
		prefix = "chatcmpl-"
	}
	return completionResponse{
		ID:      prefix + rwgeneration.FormatID(a.spec.ID),
		Object:  object,
		Created: time.Now().Unix(),
		Model:   a.model,
		Version: a.relay.lineage.GetVersion(),
		Choices: []choice{},
	}
}

// chunk returns an event with a piece of text, or with the finish reason.
func (a *answerWriter) chunk(text string, finish *string) completionResponse {
	if !a.chat {
		b := a.newResponse("text_completion")
		b.Choices = append(b.Choices, choice{Text: &text, Finish: finish})
		return b
	}
	b := a.newResponse("chat.completion.chunk")
	delta := &message{Content: text}
	if !a.roleSent {
		delta.Role = "assistant"
		a.roleSent = true
	}
	b.Choices = append(b.Choices, choice{Delta: delta, Finish: finish})
	return b
}

// usageChunk returns the event that follows the finish reason if the caller asked for the
// token usage. It has no choices.
func (a *answerWriter) usageChunk() completionResponse {
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	b := a.newResponse(object)
	b.Usage = a.tokenUsage()
	return b
}

func (a *answerWriter) tokenUsage() *usage {
	prompt := a.promptTokens()
	return &usage{Prompt: prompt, Completion: a.offset, Total: prompt + a.offset}
}

// sendWhole sends the complete answer to a caller that does not stream.
func (a *answerWriter) sendWhole(finish rwtoken.Finish) error {
	text := string(a.pending)
	var b completionResponse
	if a.chat {
		b = a.newResponse("chat.completion")
		b.Choices = append(b.Choices, choice{Message: &message{Role: "assistant", Content: text}, Finish: &finish.Reason})
	} else {
		b = a.newResponse("text_completion")
		b.Choices = append(b.Choices, choice{Text: &text, Finish: &finish.Reason})
	}
	b.Usage = a.tokenUsage()
	content, err := json.Marshal(b)
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Generation-Id", rwgeneration.FormatID(a.spec.ID))
	_, _ = a.w.Write(content)
	return nil
}
