package gateway

import (
	"context"
	"errors"
	"io"
	"testing"

	openai "github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TestChatLibrary shows that a client of a widely used Go library gets a complete and a
// streamed answer.
func TestChatLibrary(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	config := openai.DefaultConfig(testKey)
	config.BaseURL = gateway.url + "/v1"
	config.HTTPClient = &kindClient{kind: "matching"}
	client := openai.NewClientWithConfig(config)
	request := openai.ChatCompletionRequest{
		Model:    "base",
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "Which grade has lot 7?"}},
	}

	whole, err := client.CreateChatCompletion(context.Background(), request)
	require.NoError(t, err)
	require.Equal(t, answerText, whole.Choices[0].Message.Content)
	require.Equal(t, openai.FinishReasonStop, whole.Choices[0].FinishReason)
	require.Equal(t, len(answerTokens), whole.Usage.CompletionTokens)

	request.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
	events, err := client.CreateChatCompletionStream(context.Background(), request)
	require.NoError(t, err)
	defer events.Close()
	text, usage := "", 0
	for {
		event, err := events.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		if event.Usage != nil {
			usage = event.Usage.CompletionTokens
		}
		for _, choice := range event.Choices {
			text += choice.Delta.Content
		}
	}
	require.Equal(t, answerText, text)
	require.Equal(t, len(answerTokens), usage)
}
