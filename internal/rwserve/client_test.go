package rwserve

import (
	"context"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"
)

// TestOpenAIClient checks that OpenAI's own Go client works unmodified.
func TestOpenAIClient(t *testing.T) {
	withFleet(t, smallFleet, func(f *fleet) {
		client := openai.NewClient(
			option.WithBaseURL("http://"+callersAddress(0)+"/v1/"),
			option.WithAPIKey(callerKey),
			option.WithHTTPClient(f.client),
		)
		ctx := context.Background()
		t.Run("lists models", func(t *testing.T) {
			page, err := client.Models.List(ctx)
			require.NoError(t, err)
			require.Equal(t, "m", page.Data[0].ID)
		})
		t.Run("streams a chat completion", func(t *testing.T) {
			stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
				Model:     "m",
				Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("draft the dairy aisle")},
				MaxTokens: openai.Int(60),
			})
			text, finish := "", ""
			for stream.Next() {
				for _, c := range stream.Current().Choices {
					text += c.Delta.Content
					finish += c.FinishReason
				}
			}
			require.NoError(t, stream.Err())
			require.Equal(t, "length", finish)
			require.Equal(t, expectedText("v1", `[{"content":"draft the dairy aisle","role":"user"}]`, 60), text)
		})
		t.Run("returns a complete completion with its usage", func(t *testing.T) {
			answer, err := client.Completions.New(ctx, openai.CompletionNewParams{
				Model:     "m",
				Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
				MaxTokens: openai.Int(20),
			})
			require.NoError(t, err)
			require.Equal(t, expectedText("v1", "p", 20), answer.Choices[0].Text)
			require.EqualValues(t, 20, answer.Usage.CompletionTokens)
		})
		t.Run("parses an error", func(t *testing.T) {
			_, err := client.Completions.New(ctx, openai.CompletionNewParams{
				Model:  "none",
				Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
			})
			var typed *openai.Error
			require.ErrorAs(t, err, &typed)
			require.Equal(t, "notfound", typed.Code)
		})
	})
}
