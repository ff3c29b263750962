package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
)

const (
	bytesPerToken = 4
	word          = "lot "
)

// prompts makes the prompts of one run. Each is unique; those of one dossier share
// their beginning.
type prompts struct {
	seed     uint64
	dossiers map[string]string
}

func newPrompts(seed uint64) *prompts {
	return &prompts{seed: seed, dossiers: make(map[string]string)}
}

// text returns a prompt of about tokens tokens.
func (p *prompts) text(kind string, chat ChatTraffic, number, tokens int, source *rand.Rand) string {
	shared := int(float64(tokens) * chat.SharedShare)
	var built strings.Builder
	built.Grow((tokens + 16) * bytesPerToken)
	if chat.Dossiers > 0 {
		built.WriteString(p.dossier(kind, source.IntN(chat.Dossiers), chat.PromptTokens.High)[:shared*bytesPerToken])
	}
	fmt.Fprintf(&built, " request %x-%d ", p.seed, number)
	for built.Len() < tokens*bytesPerToken {
		built.WriteString(word)
	}
	return built.String()
}

// dossier returns the text that prompts of one dossier begin with.
func (p *prompts) dossier(kind string, number, tokens int) string {
	name := fmt.Sprintf("%s-%d", kind, number)
	if text, found := p.dossiers[name]; found {
		return text
	}
	var built strings.Builder
	fmt.Fprintf(&built, "dossier %s of run %x: ", name, p.seed)
	hash := answertext.Hash(name)
	for index := 0; built.Len() < tokens*bytesPerToken; index++ {
		built.Write(answertext.AppendToken(nil, hash, index))
	}
	p.dossiers[name] = built.String()
	return p.dossiers[name]
}
