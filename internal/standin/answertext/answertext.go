// Package answertext defines the output of the stand-in engines. It depends on the prompt
// and the token's index alone, so that a caller can check whether an answer is complete and
// belongs to its request.
package answertext

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the stand-ins' tokenizer: every four bytes of a prompt are one token.
const bytesPerToken = 4

// DefaultOutputTokens is the output length of a request that sets no limit.
const DefaultOutputTokens = 64

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// Prompt returns the text of a chat as the stand-ins prefill it.
func Prompt(messages []Message) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// Hash returns the hash that identifies a prompt.
func Hash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// PromptTokens returns a prompt's length in tokens, at least 1.
func PromptTokens(prompt string) int { return max(1, len(prompt)/bytesPerToken) }

// AppendToken appends the text of the output token at index, from 0.
func AppendToken(buffer []byte, hash uint64, index int) []byte {
	mixed := (hash ^ uint64(index+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	buffer = append(buffer, ' ')
	return strconv.AppendUint(buffer, (mixed>>32)&0xffffff, 36)
}

// Text returns the first tokens of the output for a prompt.
func Text(hash uint64, tokens int) string {
	var buffer []byte
	for index := range tokens {
		buffer = AppendToken(buffer, hash, index)
	}
	return string(buffer)
}

// Blocks returns the hashes of a prompt's full prefix blocks of blockTokens tokens. Each
// covers the salt and all text up to its end, so that prompts with different salts share
// no block.
func Blocks(salt, prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	if size <= 0 {
		return nil
	}
	blocks := make([]uint64, 0, len(prompt)/size)
	digest := xxhash.New()
	_, _ = digest.WriteString(salt) // a digest's writes never fail
	_, _ = digest.Write([]byte{0})
	for end := size; end <= len(prompt); end += size {
		_, _ = digest.WriteString(prompt[end-size : end])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}
