package brokenanswer

import (
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

// fieldLines returns the ways in which a line of a field can be none.
func fieldLines(whole message) []Way {
	line := func(name string, rule grammar.Rule, text string) Way {
		return Way{name, rule, whole.withField(text).text()}
	}
	ways := []Way{
		line("blank within a name", grammar.RuleFieldName, "X Broken: x"),
		line("blank after a name", grammar.RuleFieldName, "X-Broken : x"),
		line("tab after a name", grammar.RuleFieldName, "X-Broken\t: x"),
		line("control byte within a name", grammar.RuleFieldName, "X\x01Broken: x"),
		line("control byte after a name", grammar.RuleFieldName, "X-Broken\x0b: x"),
		line("control byte before a name", grammar.RuleFieldName, "\x0bX-Broken: x"),
		line("zero byte within a name", grammar.RuleFieldName, "X\x00Broken: x"),
		line("delete byte within a name", grammar.RuleFieldName, "X\x7fBroken: x"),
		line("byte above 127 within a name", grammar.RuleFieldName, "X\xe9Broken: x"),
		line("quotes around a name", grammar.RuleFieldName, "\"X-Broken\": x"),
		line("brackets within a name", grammar.RuleFieldName, "X(Broken): x"),
		line("slash within a name", grammar.RuleFieldName, "X/Broken: x"),
		line("empty name", grammar.RuleFieldName, ": x"),
		line("no colon", grammar.RuleFieldLine, "X-Broken"),
		line("zero byte in a value", grammar.RuleFieldValue, "X-Broken: a\x00b"),
		line("control byte in a value", grammar.RuleFieldValue, "X-Broken: a\x01b"),
		line("delete byte in a value", grammar.RuleFieldValue, "X-Broken: a\x7fb"),
		line("carriage return in a value", grammar.RuleFieldValue, "X-Broken: a\rb"),
		line("line folded by a blank", grammar.RuleFoldedLine, "X-Broken: a\r\n b"),
		line("line folded by a tab", grammar.RuleFoldedLine, "X-Broken: a\r\n\tb"),
		line("blank line that does not end the head", grammar.RuleFoldedLine, " "),
	}
	for number, field := range whole.fields { // the answer's own fields, spelt with a blank
		spoilt := whole
		spoilt.fields = append([]string(nil), whole.fields...)
		spoilt.fields[number] = strings.Replace(field, ":", " :", 1)
		name, _, _ := strings.Cut(field, ":")
		ways = append(ways, Way{"blank after the name of " + name, grammar.RuleFieldName, spoilt.text()})
	}
	folded := whole
	folded.fields = append([]string{" X-Broken: x"}, whole.fields...)
	return append(ways, Way{"blank before the first field", grammar.RuleFoldedLine, folded.text()})
}

// framingFields returns the ways in which the fields that say where the body ends can be spoilt.
func framingFields(whole message) []Way {
	chunked := whole.inChunks("")
	length := strings.TrimPrefix(whole.framing[0], "Content-Length: ")
	lines := func(name string, rule grammar.Rule, of message, lines ...string) Way {
		return Way{name, rule, of.framedBy(lines...).text()}
	}
	older := chunked
	older.version = "HTTP/1.0"
	return []Way{
		lines("blank after the name of the length", grammar.RuleFieldName, whole, "Content-Length : "+length),
		lines("blank within the name of the length", grammar.RuleFieldName, whole, "Content -Length: 1", "Content-Length: "+length),
		lines("control byte after the name of the length", grammar.RuleFieldName, whole, "Content-Length\x0b: "+length),
		lines("folded length", grammar.RuleContentLength, whole, "Content-Length:\r\n "+length),
		lines("empty length", grammar.RuleContentLength, whole, "Content-Length:"),
		lines("length with a plus", grammar.RuleContentLength, whole, "Content-Length: +"+length),
		lines("length with a minus", grammar.RuleContentLength, whole, "Content-Length: -"+length),
		lines("hexadecimal length", grammar.RuleContentLength, whole, "Content-Length: 0x"+length),
		lines("length with a fraction", grammar.RuleContentLength, whole, "Content-Length: "+length+".0"),
		lines("length with a blank", grammar.RuleContentLength, whole, "Content-Length: 1 2"),
		lines("length of letters", grammar.RuleContentLength, whole, "Content-Length: all"),
		lines("length that is too large", grammar.RuleContentLength, whole, "Content-Length: 99999999999999999999"),
		lines("list of lengths", grammar.RuleContentLength, whole, "Content-Length: "+length+", "+length),
		lines("two lengths", grammar.RuleContentLength, whole, "Content-Length: "+length, "Content-Length: 1"),
		lines("the same length twice", grammar.RuleContentLength, whole, "Content-Length: "+length, "Content-Length: "+length),
		lines("blank after the name of the transfer encoding", grammar.RuleFieldName, chunked, "Transfer-Encoding : chunked"),
		lines("blank within the name of the transfer encoding", grammar.RuleFieldName, chunked, "Transfer -Encoding: chunked"),
		lines("control byte after the name of the transfer encoding", grammar.RuleFieldName, chunked, "Transfer-Encoding\x0b: chunked"),
		lines("control byte before the transfer encoding", grammar.RuleFieldValue, chunked, "Transfer-Encoding: \x0bchunked"),
		lines("folded transfer encoding", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding:\r\n chunked"),
		lines("unknown transfer encoding", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding: xchunked"),
		lines("identity as transfer encoding", grammar.RuleTransferEncoding, whole, "Transfer-Encoding: identity"),
		lines("empty transfer encoding", grammar.RuleTransferEncoding, whole, "Transfer-Encoding:"),
		lines("compressed chunks", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding: gzip, chunked"),
		lines("chunks that are not the last encoding", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding: chunked, gzip"),
		lines("chunks in chunks", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding: chunked, chunked"),
		lines("transfer encoding with a parameter", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding: chunked;a=b"),
		lines("quoted transfer encoding", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding: \"chunked\""),
		lines("two transfer encodings", grammar.RuleTransferEncoding, chunked, "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
		lines("unknown transfer encoding beside a length", grammar.RuleTransferEncoding, whole, "Transfer-Encoding: gzip", "Content-Length: "+length),
		{"transfer encoding of the older protocol", grammar.RuleTransferEncoding, older.text()},
	}
}

// lineEnds returns the ways in which the ends of lines can be spoilt.
func lineEnds(whole message) []Way {
	bare := whole
	bare.lineEnd = "\n"
	doubled := whole
	doubled.lineEnd = "\r\r\n"
	return []Way{
		{"bare line feeds", answerhead.RuleLineEnd, bare.text()},
		{"bare line feed after a field", answerhead.RuleLineEnd, whole.withField("X-Broken: x\nX-Other: y").text()},
		{"two carriage returns", grammar.RuleStatusLine, doubled.text()},
		{"bare line feed in place of the empty line", answerhead.RuleLineEnd, strings.Replace(whole.text(), "\r\n\r\n", "\r\n\n", 1)},
		{"head that is too large", answerhead.RuleHeadSize, whole.withField("X-Broken: " + strings.Repeat("x", answerhead.MaxBytes)).text()},
	}
}
