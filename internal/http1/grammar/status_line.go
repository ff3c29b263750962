package grammar

import "bytes"

// VersionPrefix begins each version of HTTP/1, and so each answer. A minor number of one digit follows.
const VersionPrefix = "HTTP/1."

const (
	versionBytes = len(VersionPrefix) + 1
	statusDigits = 3
	// MinStatus and MaxStatus are the smallest and the largest status code.
	MinStatus = 100
	MaxStatus = 599
)

// StatusLine is the content of a status line. The reason is of no use to a recipient.
type StatusLine struct {
	// Minor is the minor number of the version.
	Minor int
	// Status is the status code.
	Status int
}

// ParseStatusLine parses a line without its end.
func ParseStatusLine(line []byte) (StatusLine, error) {
	if len(line) < versionBytes || string(line[:len(VersionPrefix)]) != VersionPrefix || !isDigit(line[versionBytes-1]) {
		return StatusLine{}, NewViolation(RuleVersion, "the answer begins with %s", quote(line))
	}
	parsed := StatusLine{Minor: int(line[versionBytes-1] - '0')}
	rest, hasSpace := bytes.CutPrefix(line[versionBytes:], []byte{space})
	if !hasSpace {
		return StatusLine{}, NewViolation(RuleStatusLine, "%s follows the version in place of one space and a status code", quote(line[versionBytes:]))
	}
	code, reason, hasReason := bytes.Cut(rest, []byte{space})
	var err error
	if parsed.Status, err = ParseStatus(code); err != nil {
		return StatusLine{}, err
	}
	if !hasReason {
		return StatusLine{}, NewViolation(RuleStatusLine, "no space follows the status code")
	}
	if index := indexNotText(reason); index >= 0 {
		return StatusLine{}, NewViolation(RuleStatusLine, "the reason holds %s", quote(reason[index:index+1]))
	}
	return parsed, nil
}

// ParseStatus parses a status code.
func ParseStatus(code []byte) (int, error) {
	if len(code) != statusDigits {
		return 0, NewViolation(RuleStatusCode, "%s has not three digits", quote(code))
	}
	status := 0
	for _, character := range code {
		if !isDigit(character) {
			return 0, NewViolation(RuleStatusCode, "%s has not three digits", quote(code))
		}
		status = 10*status + int(character-'0')
	}
	if status < MinStatus || status > MaxStatus {
		return 0, NewViolation(RuleStatusCode, "%s is not from %d to %d", quote(code), MinStatus, MaxStatus)
	}
	return status, nil
}
