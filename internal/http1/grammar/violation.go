// Package grammar holds the rules of HTTP/1.1 (RFC 9112, RFC 9110) that tell a message from other bytes. The checks are strict: what
// the RFCs let a recipient tolerate is refused, since another recipient may read it differently.
package grammar

import (
	"errors"
	"fmt"
)

// ErrMalformed is the error that every Violation wraps.
var ErrMalformed = errors.New("the bytes received are no message of HTTP/1.1")

// Rule names a rule that a message can break, for logs.
type Rule string

// Rules of the status line (RFC 9112, 4).
const (
	// RuleStatusLine: a version, a space, a status code, a space and a reason that may be empty.
	RuleStatusLine Rule = "status line"
	// RuleVersion: the version is HTTP/1 with any minor number.
	RuleVersion Rule = "version"
	// RuleStatusCode: the status code has three digits, and is from 100 to 599 (RFC 9110, 15).
	RuleStatusCode Rule = "status code"
)

// Violation is the error for a message that breaks a rule. Its text quotes at most a few bytes of the message.
type Violation struct {
	Rule Rule
	// Detail says what was found.
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%v: rule %q: %s", ErrMalformed, string(v.Rule), v.Detail)
}

// Unwrap returns ErrMalformed.
func (v *Violation) Unwrap() error { return ErrMalformed }

// BrokenRule returns the rule that an error says was broken; empty if it says nothing of the kind.
func BrokenRule(err error) Rule {
	var violation *Violation
	if errors.As(err, &violation) {
		return violation.Rule
	}
	return ""
}

// NewViolation returns the error for a broken rule; the arguments are those of fmt.Sprintf.
func NewViolation(rule Rule, format string, arguments ...any) error {
	return &Violation{Rule: rule, Detail: fmt.Sprintf(format, arguments...)}
}

// maxQuotedBytes bounds what an error quotes of a message.
const maxQuotedBytes = 24

// quote returns the beginning of a part of a message with escapes for all bytes that are not printable.
func quote(part []byte) string {
	if len(part) > maxQuotedBytes {
		return fmt.Sprintf("%+q...", part[:maxQuotedBytes])
	}
	return fmt.Sprintf("%+q", part)
}
