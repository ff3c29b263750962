// Package nearest finds the known word closest to a misspelt one, for error
// messages that suggest a cure. It is pure and safe for concurrent use.
package nearest

// maximumDistance is the largest edit distance at which a suggestion still helps.
const maximumDistance = 3

// Word returns the candidate with the smallest edit distance to the given word.
// Of equally close candidates the first wins. It returns false when no candidate
// is close enough to be what was meant.
func Word(word string, candidates []string) (string, bool) {
	best, bestDistance := "", maximumDistance+1
	for _, candidate := range candidates {
		distance := editDistance(word, candidate)
		if distance < bestDistance && distance < max(len(candidate), len(word)) {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != ""
}

// editDistance counts the insertions, deletions and substitutions of bytes that
// turn one word into the other (Levenshtein distance).
func editDistance(from, to string) int {
	previous := make([]int, len(to)+1)
	for column := range previous {
		previous[column] = column
	}
	for row := 1; row <= len(from); row++ {
		current := make([]int, len(to)+1)
		current[0] = row
		for column := 1; column <= len(to); column++ {
			substitution := previous[column-1]
			if from[row-1] != to[column-1] {
				substitution++
			}
			current[column] = min(previous[column]+1, current[column-1]+1, substitution)
		}
		previous = current
	}
	return previous[len(to)]
}
