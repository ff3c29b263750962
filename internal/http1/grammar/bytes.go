package grammar

const (
	tab        = '\t'
	space      = ' '
	deleteByte = 0x7f
)

// isDigit reports whether a byte is a decimal digit.
func isDigit(character byte) bool { return '0' <= character && character <= '9' }

// IsText reports whether a byte may stand in a reason or in a field's value: anything but control bytes, and tabs (RFC 9110, 5.5).
func IsText(character byte) bool {
	return character >= space && character != deleteByte || character == tab
}

// indexNotText returns the index of the first byte that is no text; -1 for none.
func indexNotText(part []byte) int {
	for index, character := range part {
		if !IsText(character) {
			return index
		}
	}
	return -1
}
