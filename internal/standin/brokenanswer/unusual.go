package brokenanswer

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Unusual is an answer that few back ends send, and that keeps all rules.
type Unusual struct {
	Name string
	// Status is the status code.
	Status int
	// Text is the answer.
	Text string
}

// UnusualAnswers returns unusual forms of a whole answer.
func UnusualAnswers(answer halfhead.Answer) []Unusual {
	whole := messageOf(answer)
	var unusual []Unusual
	add := func(name string, form message) { unusual = append(unusual, Unusual{name, 200, form.text()}) }
	status := func(name, text string, code int) {
		form := whole
		form.status = text
		unusual = append(unusual, Unusual{name, code, form.text()})
	}
	status("empty reason", "200 ", 200)
	status("long reason with bytes above 127", "200 Tr\xe8s  bien, \tmerci", 200)
	status("unknown success", "299 X", 299)
	status("unknown refusal", "499 X", 499)
	status("largest failure", "599 X", 599)
	add("older protocol", versioned(whole, "HTTP/1.0"))
	add("newer minor version", versioned(whole, "HTTP/1.2"))
	add("informational heads", preceded(whole, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"))
	add("value with bytes above 127", whole.withField("X-Name: Gr\xfc\xdfe"))
	add("empty value", whole.withField("X-Empty:"))
	add("blanks around a value", whole.withField("X-Padded: \t a\tb \t "))
	add("no blank before a value", whole.withField("X-Near:a"))
	add("all characters of a name", whole.withField("X!#$%&'*+-.^_`|~9: a"))
	add("the same field twice", whole.withField("X-Twice: a").withField("X-Twice: b"))
	add("many fields", withManyFields(whole))
	add("long field", whole.withField("X-Long: "+strings.Repeat("x", 8<<10)))
	add("blanks around the length", whole.framedBy(strings.Replace(whole.framing[0], ": ", ":\t  ", 1)+" \t"))
	add("length with zeros before it", whole.framedBy(strings.Replace(whole.framing[0], ": ", ": 000", 1)))
	add("names in lower case", spelt(whole, strings.ToLower))
	add("names in other cases", spelt(whole, swapCase))
	add("chunks", whole.inChunks(""))
	add("chunks with extensions", whole.inChunks(` ;a ; b=c;d="e\" f"`))
	add("chunks with a trailer", whole.inChunks("", "X-Checksum: 1", "X-Other:"))
	add("chunks with an announced trailer", whole.inChunks("", "X-Checksum: 1").framedBy("Trailer: X-Checksum", "Transfer-Encoding: chunked"))
	add("transfer encoding in upper case", whole.inChunks("").framedBy("TRANSFER-ENCODING: CHUNKED"))
	add("both a length and chunks", whole.inChunks("").framedBy("Content-Length: 1", "Transfer-Encoding: chunked"))
	return unusual
}

func versioned(whole message, version string) message {
	whole.version = version
	return whole
}

func preceded(whole message, before string) message {
	whole.before = before
	return whole
}

// withManyFields returns the message with more fields than fit into a usual read buffer.
func withManyFields(whole message) message {
	const count = 200
	for number := range count {
		whole = whole.withField(fmt.Sprintf("X-Field-%d: value %d", number, number))
	}
	return whole
}

// swapCase returns a name with its letters in the other case.
func swapCase(name string) string {
	return strings.Map(func(letter rune) rune {
		if unicode.IsUpper(letter) {
			return unicode.ToLower(letter)
		}
		return unicode.ToUpper(letter)
	}, name)
}

// spelt returns the message with the names of all fields changed.
func spelt(whole message, change func(string) string) message {
	respell := func(line string) string {
		name, value, _ := strings.Cut(line, ":")
		return change(name) + ":" + value
	}
	fields := make([]string, len(whole.fields))
	for number, line := range whole.fields {
		fields[number] = respell(line)
	}
	whole.fields = fields
	return whole.framedBy(respell(whole.framing[0]))
}
