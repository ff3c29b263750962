// Package brokenanswer holds answers of back ends for tests: some that are no answers by the grammar of HTTP/1.1, which no reader may
// use or pass on, and unusual ones that are answers.
package brokenanswer

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Way is a way in which an answer breaks a rule.
type Way struct {
	Name string
	// Rule is the rule that is broken.
	Rule grammar.Rule
	// Text is the answer.
	Text string
}

// Heads returns the ways in which the head of an answer can be none.
func Heads(answer halfhead.Answer) []Way {
	whole := messageOf(answer)
	return slices.Concat(statusLines(whole), fieldLines(whole), framingFields(whole), lineEnds(whole))
}

// Bodies returns the ways in which the body of an answer with a sound head can be spoilt.
func Bodies(answer halfhead.Answer) []Way { return chunkedBodies(messageOf(answer)) }

// OnePerRule returns the first way of each rule, for tests whose cases take long.
func OnePerRule(ways []Way) []Way {
	var chosen []Way
	for _, way := range ways {
		if !slices.ContainsFunc(chosen, func(other Way) bool { return other.Rule == way.Rule }) {
			chosen = append(chosen, way)
		}
	}
	return chosen
}
