package gateway

import (
	"slices"

	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/stream"
)

// sharedPartIDs returns what identifies the parts of the prompt that other requests may share, in order: the distinct messages of a
// chat but the last one, which is the request's own. A prompt of the completions protocol has no such parts.
func (r *chatRequest) sharedPartIDs() []string {
	if r.format != stream.FormatChat {
		return nil
	}
	messages := gjson.ParseBytes(r.prompt).Array()
	var ids []string
	for _, message := range messages[:max(len(messages)-1, 0)] {
		if !slices.Contains(ids, message.Raw) {
			ids = append(ids, message.Raw)
		}
	}
	return ids
}
