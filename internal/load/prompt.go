package load

import (
	"fmt"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
)

const (
	bytesPerToken = 4
	fillerWord    = "lot "
)

// promptBuilder builds the prompts of one run. Each prompt is unique; those of one dossier
// share a prefix.
type promptBuilder struct {
	seed     uint64
	dossiers map[string]string
}

func newPromptBuilder(seed uint64) *promptBuilder {
	return &promptBuilder{seed: seed, dossiers: make(map[string]string)}
}

// text returns a prompt of about the given number of tokens. The first shared tokens of the prompt are the beginning
// of the dossier's text; number makes the rest unique in the run.
func (p *promptBuilder) text(dossier string, shared, number, tokens int) string {
	var built strings.Builder
	built.Grow((tokens + 16) * bytesPerToken)
	if shared > 0 {
		built.WriteString(p.dossierText(dossier, shared)[:shared*bytesPerToken])
	}
	fmt.Fprintf(&built, " request %x-%d ", p.seed, number)
	for built.Len() < tokens*bytesPerToken {
		built.WriteString(fillerWord)
	}
	return built.String()
}

// dossierText returns the text of a dossier with at least the given number of tokens. A
// longer text has the shorter ones as prefixes.
func (p *promptBuilder) dossierText(name string, tokens int) string {
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
