// Package wirecheck contains checks of HTTP connections that gateways and relays share: names of headers, and
// idle connections.
package wirecheck

import "bytes"

// IsToken reports whether a header name is a valid token according to RFC 9110.
func IsToken(name []byte) bool {
	if len(name) == 0 {
		return false
	}
	for _, character := range name {
		isLetter := 'a' <= character|0x20 && character|0x20 <= 'z'
		isDigit := '0' <= character && character <= '9'
		if !isLetter && !isDigit && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(character)) {
			return false
		}
	}
	return true
}
