// Package nearest finds the known word closest to a misspelt one, for suggestions in error messages. It is pure and
// safe for concurrent use.
package nearest

import "github.com/agnivade/levenshtein"

// maxDistance is the largest edit distance at which a suggestion is still useful.
const maxDistance = 3

// Word returns the candidate with the smallest edit distance to the given word, the first one of equals. It returns
// false if every candidate is more than maxDistance edits away, or as many as the longer of both words has letters.
func Word(word string, candidates []string) (string, bool) {
	best, bestDistance := "", maxDistance+1
	for _, candidate := range candidates {
		distance := levenshtein.ComputeDistance(word, candidate)
		if distance < bestDistance && distance < max(len(candidate), len(word)) {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != ""
}
