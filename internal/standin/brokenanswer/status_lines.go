package brokenanswer

import (
	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

// statusLines returns the ways in which the status line can be none.
func statusLines(whole message) []Way {
	status := func(name string, rule grammar.Rule, text string) Way {
		spoilt := whole
		spoilt.status = text
		return Way{name, rule, spoilt.text()}
	}
	version := func(name string, text string) Way {
		spoilt := whole
		spoilt.version = text
		return Way{name, grammar.RuleVersion, spoilt.text()}
	}
	before := func(name string, text string) Way {
		spoilt := whole
		spoilt.before = text
		return Way{name, grammar.RuleVersion, spoilt.text()}
	}
	longVersion := whole
	longVersion.version = "HTTP/1.10"
	return []Way{
		{"version with two digits", grammar.RuleStatusLine, longVersion.text()},
		status("status of zero", grammar.RuleStatusCode, "000 OK"),
		status("status one", grammar.RuleStatusCode, "001 OK"),
		status("status below the classes", grammar.RuleStatusCode, "099 OK"),
		status("status above the classes", grammar.RuleStatusCode, "600 OK"),
		status("largest status", grammar.RuleStatusCode, "999 OK"),
		status("status of two digits", grammar.RuleStatusCode, "20 OK"),
		status("status of four digits", grammar.RuleStatusCode, "2000 OK"),
		status("status with a sign", grammar.RuleStatusCode, "+20 OK"),
		status("status with a letter", grammar.RuleStatusCode, "2o0 OK"),
		status("no status", grammar.RuleStatusCode, "OK"),
		status("two spaces before the status", grammar.RuleStatusCode, " 200 OK"),
		status("tab before the status", grammar.RuleStatusCode, "\t200 OK"),
		status("tab after the status", grammar.RuleStatusCode, "200\tOK"),
		status("no space after the status", grammar.RuleStatusLine, "200"),
		status("control byte in the reason", grammar.RuleStatusLine, "200 O\x01K"),
		status("zero byte in the reason", grammar.RuleStatusLine, "200 O\x00K"),
		status("carriage return in the reason", grammar.RuleStatusLine, "200 O\rK"),
		status("switched protocol", answerhead.RuleSwitchedProtocol, "101 Switching Protocols"),
		version("version 0.9", "HTTP/0.9"),
		version("version 2.0", "HTTP/2.0"),
		version("version 3", "HTTP/3"),
		version("version without a minor number", "HTTP/1"),
		version("version with a letter", "HTTP/1.x"),
		version("lower-case version", "http/1.1"),
		version("other protocol", "ICY/1.1"),
		version("no version", ""),
		before("blank before the version", " "),
		before("empty line before the version", "\r\n"),
		before("control byte before the version", "\x01"),
		before("byte order mark", "\xef\xbb\xbf"),
	}
}
