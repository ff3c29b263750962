package grammar

import (
	"bytes"
	"strconv"
)

// Rules of bodies in chunks (RFC 9112, 7.1).
const (
	// RuleChunkSize: a hexadecimal number begins each chunk.
	RuleChunkSize Rule = "chunk size"
	// RuleChunkExtension: names and values follow the size, each after a semicolon.
	RuleChunkExtension Rule = "chunk extension"
	// RuleTrailer: lines of fields that do not say where the body ends, and an empty line.
	RuleTrailer Rule = "trailer"
)

const (
	hexadecimal = 16
	sizeBits    = 63
)

// ParseChunkLine returns the size of the chunk that a line without its end begins.
func ParseChunkLine(line []byte) (size int64, err error) {
	digits := len(line)
	for index, character := range line {
		if !isHexDigit(character) {
			digits = index
			break
		}
	}
	size, err = strconv.ParseInt(string(line[:digits]), hexadecimal, sizeBits+1)
	if err != nil {
		return 0, NewViolation(RuleChunkSize, "%s begins with no hexadecimal number, or with one that is too large", quote(line))
	}
	return size, checkExtensions(line[digits:])
}

func isHexDigit(character byte) bool {
	letter := character | 0x20
	return isDigit(character) || 'a' <= letter && letter <= 'f'
}

// checkExtensions checks the extensions of a chunk, whose meaning a recipient ignores.
func checkExtensions(extensions []byte) error {
	rest := extensions
	for len(rest) > 0 {
		rest = trimBlanks(rest)
		var isValid bool
		if rest, isValid = cutExtension(rest); !isValid {
			return NewViolation(RuleChunkExtension, "%s follows the size", quote(extensions))
		}
	}
	return nil
}

// cutExtension removes a semicolon, a name, and a value if there is one, from the beginning of a chunk's extensions.
func cutExtension(extensions []byte) (rest []byte, isValid bool) {
	rest, found := bytes.CutPrefix(extensions, []byte{';'})
	if !found {
		return nil, false
	}
	if rest, isValid = cutToken(trimBlanks(rest)); !isValid {
		return nil, false
	}
	value, hasValue := bytes.CutPrefix(trimBlanks(rest), []byte{'='})
	if !hasValue {
		return rest, true
	}
	value = trimBlanks(value)
	if quoted, isQuoted := bytes.CutPrefix(value, []byte{'"'}); isQuoted {
		return cutQuoted(quoted)
	}
	return cutToken(value)
}

// cutToken removes a token from the beginning.
func cutToken(text []byte) (rest []byte, isValid bool) {
	end := indexNotToken(text)
	if end < 0 {
		end = len(text)
	}
	return text[end:], end > 0
}

// cutQuoted removes the rest of a quoted string, with its closing quote, from the beginning (RFC 9110, 5.6.4).
func cutQuoted(text []byte) (rest []byte, isValid bool) {
	for index := 0; index < len(text); index++ {
		switch character := text[index]; {
		case character == '"':
			return text[index+1:], true
		case !IsText(character):
			return nil, false
		case character == '\\':
			index++ // a quoted character, which the next step would otherwise take for a quote
			if index < len(text) && !IsText(text[index]) {
				return nil, false
			}
		}
	}
	return nil, false
}

func trimBlanks(text []byte) []byte { return bytes.TrimLeft(text, " \t") }

// CheckTrailerLine checks a line of the trailer, without its end.
func CheckTrailerLine(line []byte) error {
	name, _, err := ParseFieldLine(line)
	if err != nil {
		return NewViolation(RuleTrailer, "%v", err)
	}
	if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return NewViolation(RuleTrailer, "%s may not stand there", quote(name))
	}
	return nil
}
