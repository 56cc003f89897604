package engineserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/engineserver"
)

// Guards against responses and heartbeats that openai-go, a published client of
// the API, cannot read.
func TestOpenAIClient(t *testing.T) {
	f := start(t, &engineserver.Server{TokenRate: 200, Heartbeat: 10 * time.Millisecond})
	c := openai.NewClient(option.WithBaseURL("http://"+f.address+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:         "m",
		MaxTokens:     openai.Int(20),
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how many towels?")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	whole, err := c.Chat.Completions.New(context.Background(), params)
	assert.NilError(t, err)
	assert.Equal(t, whole.Usage.CompletionTokens, int64(20))

	stream := c.Chat.Completions.NewStreaming(context.Background(), params)
	accumulated := openai.ChatCompletionAccumulator{}
	cached := int64(0)
	for stream.Next() {
		// The accumulator of openai-go drops the details of the usage.
		cached += stream.Current().Usage.PromptTokensDetails.CachedTokens
		assert.Assert(t, accumulated.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, accumulated.Choices[0].Message.Content, whole.Choices[0].Message.Content)
	assert.Equal(t, accumulated.Choices[0].FinishReason, "length")
	assert.Equal(t, accumulated.Usage.TotalTokens, whole.Usage.TotalTokens)
	assert.Assert(t, cached > 0)
}
