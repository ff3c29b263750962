package grammar

// tokenCharacters are the characters of a token beside letters and digits (RFC 9110, 5.6.2).
const tokenCharacters = "!#$%&'*+-.^_`|~"

// isTokenByte tells for each byte whether it may stand in a token.
var isTokenByte = func() (table [256]bool) {
	for character := range table {
		letter := character | 0x20
		table[character] = 'a' <= letter && letter <= 'z' || isDigit(byte(character))
	}
	for _, character := range []byte(tokenCharacters) {
		table[character] = true
	}
	return table
}()

// IsToken reports whether a part of a message is a token, as names of fields are.
func IsToken(part []byte) bool { return len(part) > 0 && indexNotToken(part) < 0 }

// indexNotToken returns the index of the first byte that may not stand in a token; -1 for none.
func indexNotToken(part []byte) int {
	for index, character := range part {
		if !isTokenByte[character] {
			return index
		}
	}
	return -1
}
