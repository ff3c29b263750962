package grammar

import "bytes"

// Rules of fields (RFC 9112, 5; RFC 9110, 5).
const (
	// RuleFieldLine: a name, a colon and a value.
	RuleFieldLine Rule = "field line"
	// RuleFieldName: the name is a token, and the colon follows it at once.
	RuleFieldName Rule = "field name"
	// RuleFieldValue: no control bytes but tabs.
	RuleFieldValue Rule = "field value"
	// RuleFoldedLine: no line begins with a blank. Folding is obsolete, and a recipient may refuse it.
	RuleFoldedLine Rule = "folded line"
)

// ParseFieldLine parses a line of fields without its end. The value has no blanks around it.
func ParseFieldLine(line []byte) (name, value []byte, err error) {
	if len(line) > 0 && (line[0] == space || line[0] == tab) {
		return nil, nil, NewViolation(RuleFoldedLine, "a line begins with a blank")
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return nil, nil, NewViolation(RuleFieldLine, "%s has no colon", quote(line))
	}
	if len(name) == 0 {
		return nil, nil, NewViolation(RuleFieldName, "it is empty")
	}
	if index := indexNotToken(name); index >= 0 {
		return nil, nil, NewViolation(RuleFieldName, "%s holds %s", quote(name), quote(name[index:index+1]))
	}
	if index := indexNotText(value); index >= 0 {
		return nil, nil, NewViolation(RuleFieldValue, "that of %s holds %s", quote(name), quote(value[index:index+1]))
	}
	return name, bytes.Trim(value, " \t"), nil
}
