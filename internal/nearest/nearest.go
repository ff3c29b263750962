// Package nearest finds the known word closest to a misspelt one, for error
// messages that suggest a cure. It is pure and safe for concurrent use.
package nearest

import "github.com/agnivade/levenshtein"

// maximumDistance is the largest edit distance at which a suggestion still helps.
const maximumDistance = 3

// Word returns the candidate with the smallest edit distance to the given word.
// Of equally close candidates the first wins. It returns false when no candidate
// is close enough to be what was meant.
func Word(word string, candidates []string) (string, bool) {
	best, bestDistance := "", maximumDistance+1
	for _, candidate := range candidates {
		distance := levenshtein.ComputeDistance(word, candidate)
		if distance < bestDistance && distance < max(len(candidate), len(word)) {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != ""
}
