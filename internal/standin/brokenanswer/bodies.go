package brokenanswer

import (
	"strconv"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

// chunkedBodies returns the ways in which a body of one chunk can be spoilt.
func chunkedBodies(whole message) []Way {
	size := strconv.FormatInt(int64(len(whole.body)), 16)
	body := whole.body
	way := func(name string, rule grammar.Rule, text string) Way {
		spoilt := whole.framedBy("Transfer-Encoding: chunked")
		spoilt.body = text
		return Way{name, rule, spoilt.text()}
	}
	sized := func(name, size string) Way {
		return way(name, grammar.RuleChunkSize, size+"\r\n"+body+"\r\n0\r\n\r\n")
	}
	extended := func(name, extension string) Way {
		return way(name, grammar.RuleChunkExtension, size+extension+"\r\n"+body+"\r\n0\r\n\r\n")
	}
	ended := func(name, end string) Way {
		return way(name, framing.RuleChunkEnd, size+"\r\n"+body+end+"0\r\n\r\n")
	}
	trailed := func(name, trailer string) Way {
		return way(name, grammar.RuleTrailer, size+"\r\n"+body+"\r\n0\r\n"+trailer+"\r\n")
	}
	return []Way{
		sized("empty chunk size", ""),
		sized("blank before a chunk size", " "+size),
		sized("chunk size with a plus", "+"+size),
		sized("chunk size with a minus", "-"+size),
		sized("chunk size with a prefix", "x"+size),
		sized("chunk size that is too large", "8000000000000000"),
		way("bare line feed after a chunk size", grammar.RuleChunkSize, size+"\n"+body+"\r\n0\r\n\r\n"),
		way("bare line feed after the last chunk", grammar.RuleChunkSize, size+"\r\n"+body+"\r\n0\n\r\n"),
		extended("blank after a chunk size", " "),
		extended("other byte after a chunk size", "g"),
		extended("chunk size with a hexadecimal prefix", "x0"),
		extended("extension without a name", ";"),
		extended("extension with a blank in its name", ";a b"),
		extended("extension with a control byte", ";a=\x01"),
		extended("extension with an open quote", `;a="b`),
		extended("extension with a carriage return", ";a\r"),
		extended("control byte in a quoted value", ";a=\"\x00\""),
		ended("no end of the data", ""),
		ended("bare line feed after the data", "\n"),
		ended("more data than the size", "more\r\n"),
		trailed("blank after a name in the trailer", "X-Broken : x\r\n"),
		trailed("control byte in the trailer", "X-Broken: \x01\r\n"),
		trailed("folded line in the trailer", "X-Broken: a\r\n b\r\n"),
		trailed("no colon in the trailer", "X-Broken\r\n"),
		trailed("bare line feed in the trailer", "X-Broken: x\n"),
		trailed("length in the trailer", "Content-Length: 1\r\n"),
		trailed("transfer encoding in the trailer", "transfer-encoding: chunked\r\n"),
		trailed("too many lines in the trailer", strings.Repeat("X-Broken: x\r\n", 40)),
		trailed("trailer that is too large", "X-Broken: "+strings.Repeat("x", 20<<10)+"\r\n"),
		way("chunks that are mostly extensions", framing.RuleChunkOverhead, strings.Repeat("1;a="+strings.Repeat("x", 2<<10)+"\r\nx\r\n", 20)+"0\r\n\r\n"),
	}
}
