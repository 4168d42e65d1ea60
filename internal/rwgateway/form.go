package rwgateway

import (
	"encoding/json"
	"time"

	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwtoken"
)

// The OpenAI completions form of answers.

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

type body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Version string   `json:"system_fingerprint,omitempty"` // the version that the answer comes from
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *answer) head(object string) body {
	prefix := "cmpl-"
	if a.chat {
		prefix = "chatcmpl-"
	}
	return body{
		ID:      prefix + rwgeneration.Text(a.spec.ID),
		Object:  object,
		Created: time.Now().Unix(),
		Model:   a.model,
		Version: a.relay.lineage.GetVersion(),
		Choices: []choice{},
	}
}

// chunk is an event with a piece of text, or with the finish.
func (a *answer) chunk(text string, finish *string) body {
	if !a.chat {
		b := a.head("text_completion")
		b.Choices = append(b.Choices, choice{Text: &text, Finish: finish})
		return b
	}
	b := a.head("chat.completion.chunk")
	delta := &message{Content: text}
	if !a.roleSent {
		delta.Role = "assistant"
		a.roleSent = true
	}
	b.Choices = append(b.Choices, choice{Delta: delta, Finish: finish})
	return b
}

func (a *answer) usageChunk() body {
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	b := a.head(object)
	b.Usage = a.counted()
	return b
}

func (a *answer) counted() *usage {
	prompt := a.promptTokens()
	return &usage{Prompt: prompt, Completion: a.offset, Total: prompt + a.offset}
}

// whole answers a caller that does not stream.
func (a *answer) whole(finish rwtoken.Finish) error {
	text := string(a.text)
	var b body
	if a.chat {
		b = a.head("chat.completion")
		b.Choices = append(b.Choices, choice{Message: &message{Role: "assistant", Content: text}, Finish: &finish.Reason})
	} else {
		b = a.head("text_completion")
		b.Choices = append(b.Choices, choice{Text: &text, Finish: &finish.Reason})
	}
	b.Usage = a.counted()
	content, err := json.Marshal(b)
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Generation-Id", rwgeneration.Text(a.spec.ID))
	_, _ = a.w.Write(content)
	return nil
}
