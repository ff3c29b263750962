// Package answertext says what the stand-in engines write: an output that follows
// from the prompt and the token's number alone, so that a caller can tell whether
// an answer is whole and whether it is its own.
package answertext

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the stand-ins' tokenizer: four bytes of prompt are one token.
const bytesPerToken = 4

// DefaultOutputTokens is written when a request sets no limit.
const DefaultOutputTokens = 64

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// Prompt is the whole text of a chat as the stand-ins read it.
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

// Hash identifies a prompt.
func Hash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// PromptTokens counts a prompt's tokens; at least 1.
func PromptTokens(prompt string) int { return max(1, len(prompt)/bytesPerToken) }

// AppendToken appends the text of an output's token number index, from 0.
func AppendToken(buffer []byte, hash uint64, index int) []byte {
	mixed := (hash ^ uint64(index+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	buffer = append(buffer, ' ')
	return strconv.AppendUint(buffer, (mixed>>32)&0xffffff, 36)
}

// Text is the first tokens of the output that belongs to a prompt.
func Text(hash uint64, tokens int) string {
	var buffer []byte
	for index := range tokens {
		buffer = AppendToken(buffer, hash, index)
	}
	return string(buffer)
}

// Blocks are the hashes of a prompt's full blocks of blockTokens tokens; each covers
// all text before its end, and the salt, so that salts share nothing.
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
