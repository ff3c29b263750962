package brokenanswer

import (
	"strconv"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// message is an answer in parts, each of which a Way may spoil.
type message struct {
	// version and status stand in the status line, with a space between them.
	version, status string
	// fields are the lines of the answer's own fields, and framing the lines that say where its body ends.
	fields, framing []string
	// lineEnd ends each line.
	lineEnd string
	// before precedes the status line.
	before string
	// body is what follows the head.
	body string
}

// messageOf returns the parts of a whole answer with a length.
func messageOf(answer halfhead.Answer) message {
	status := answer.Status
	if status == "" {
		status = halfhead.DefaultStatus
	}
	return message{
		version: "HTTP/1.1", status: status, fields: strings.SplitAfter(strings.TrimSuffix(answer.Headers, "\r\n"), "\r\n"),
		framing: []string{"Content-Length: " + strconv.Itoa(len(answer.Body))}, lineEnd: "\r\n", body: answer.Body,
	}
}

// text returns the message as it is sent.
func (m message) text() string {
	lines := []string{m.before + m.version + " " + m.status}
	for _, field := range m.fields {
		lines = append(lines, strings.TrimSuffix(field, "\r\n"))
	}
	lines = append(lines, m.framing...)
	return strings.Join(lines, m.lineEnd) + m.lineEnd + m.lineEnd + m.body
}

// withField returns the message with another line after its own fields.
func (m message) withField(line string) message {
	m.fields = append(append([]string(nil), m.fields...), line)
	return m
}

// framedBy returns the message with other lines that say where its body ends.
func (m message) framedBy(lines ...string) message {
	m.framing = lines
	return m
}

// inChunks returns the message with its body in two chunks, each with an extension, and with lines of a trailer.
func (m message) inChunks(extension string, trailer ...string) message {
	body := ""
	for _, half := range []string{m.body[:len(m.body)/2], m.body[len(m.body)/2:]} {
		if half != "" {
			body += strings.ToUpper(strconv.FormatInt(int64(len(half)), 16)) + extension + "\r\n" + half + "\r\n"
		}
	}
	body += "0\r\n"
	for _, line := range trailer {
		body += line + "\r\n"
	}
	m.body = body + "\r\n"
	m.framing = []string{"Transfer-Encoding: chunked"}
	return m
}
