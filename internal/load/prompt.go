package load

import (
	"fmt"
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

// text returns a prompt of about tokens tokens. Its first shared tokens are the
// beginning of a dossier.
func (p *prompts) text(dossier string, shared, number, tokens int) string {
	var built strings.Builder
	built.Grow((tokens + 16) * bytesPerToken)
	if shared > 0 {
		built.WriteString(p.dossier(dossier, shared)[:shared*bytesPerToken])
	}
	fmt.Fprintf(&built, " request %x-%d ", p.seed, number)
	for built.Len() < tokens*bytesPerToken {
		built.WriteString(word)
	}
	return built.String()
}

// dossier returns the text that prompts of one dossier begin with, of at least so
// many tokens. A longer one begins with the shorter ones.
func (p *prompts) dossier(name string, tokens int) string {
	if text := p.dossiers[name]; len(text) >= tokens*bytesPerToken {
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
