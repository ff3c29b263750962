package grammar

import "bytes"

// RuleFieldLine: a name, a colon and a value (RFC 9112, 5).
const RuleFieldLine Rule = "field line"

// ParseFieldLine parses a line of fields without its end. The value has no blanks around it.
func ParseFieldLine(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return nil, nil, NewViolation(RuleFieldLine, "%s has no colon", quote(line))
	}
	return name, bytes.Trim(value, " \t"), nil
}
