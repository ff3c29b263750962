package halfhead

import (
	"strconv"
	"strings"
)

// DefaultStatus is the status of an Answer that names none.
const DefaultStatus = "200 OK"

// Answer is the whole answer of which a Way is a part.
type Answer struct {
	// Status is the status with its reason; empty for DefaultStatus.
	Status string
	// Headers are the header lines without those that say where the body ends. Each of them ends with CRLF.
	Headers string
	// Body is the whole body.
	Body string
}

// Way is a way in which an answer stops before its end.
type Way struct {
	// Name says where the answer stops.
	Name string
	// Text is what is sent of the answer.
	Text string
	// IsHeadWhole is true if the head is whole, so that its reader knows the status.
	IsHeadWhole bool
	// IsLengthZero is true if the head is whole and declares an empty body, so that only the reader of the body can notice.
	IsLengthZero bool
}

// statusLine returns the line of the status without the end of the line.
func (a Answer) statusLine(version string) string {
	status := a.Status
	if status == "" {
		status = DefaultStatus
	}
	return version + " " + status
}

// length returns the header line that declares the body's length.
func (a Answer) length() string { return "Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n" }

// Whole returns the whole answer, with its length.
func (a Answer) Whole() string {
	return a.statusLine("HTTP/1.1") + "\r\n" + a.Headers + a.length() + "\r\n" + a.Body
}

// Ways returns the ways in which the answer can stop within its head or without its whole body.
func (a Answer) Ways() []Way {
	const chunked, early = "Transfer-Encoding: chunked\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	line := a.statusLine("HTTP/1.1")
	head := line + "\r\n" + a.Headers
	bare := strings.ReplaceAll(head, "\r\n", "\n")
	ways := []Way{
		{Name: "nothing", Text: ""},
		{Name: "part of the status line", Text: line[:len("HTTP/1.1 2")]},
		{Name: "status line without its end", Text: line},
		{Name: "status line alone", Text: line + "\r\n"},
		{Name: "within a header's name", Text: head + "Content-Le"},
		{Name: "within a header's value", Text: head + "X-Filler: ab"},
		{Name: "within the length", Text: head + "Content-Length: 1"},
		{Name: "after the length", Text: head + a.length()},
		{Name: "after a length of zero", Text: head + "Content-Length: 0\r\n"},
		{Name: "after the transfer encoding", Text: head + chunked},
		{Name: "after the type of a stream", Text: head + "Content-Type: text/event-stream\r\n"},
		{Name: "within the empty line", Text: head + a.length() + "\r"},
		{Name: "within the empty line after a length of zero", Text: head + "Content-Length: 0\r\n\r"},
		{Name: "after an informational head", Text: early},
		{Name: "within the head that follows an informational one", Text: early + head},
		{Name: "bare line feeds", Text: bare + "Content-Length: 0\n"},
		{Name: "older protocol", Text: a.statusLine("HTTP/1.0") + "\r\n" + a.Headers},
	}
	whole := []Way{
		{Name: "before a body of a length", Text: head + a.length() + "\r\n", IsLengthZero: a.Body == ""},
		{Name: "before the first chunk", Text: head + chunked + "\r\n"},
		{Name: "within the size of a chunk", Text: head + chunked + "\r\n1"},
		{Name: "before a body that ends with the connection", Text: head + "\r\n"},
		{Name: "before a body of the older protocol", Text: a.statusLine("HTTP/1.0") + "\r\n" + a.Headers + "\r\n"},
	}
	if half := a.Body[:len(a.Body)/2]; half != "" {
		size := strconv.FormatInt(int64(len(a.Body)), 16)
		whole = append(whole,
			Way{Name: "within a body of a length", Text: head + a.length() + "\r\n" + half},
			Way{Name: "within a chunk", Text: head + chunked + "\r\n" + size + "\r\n" + half},
			Way{Name: "within a body that ends with the connection", Text: head + "\r\n" + half},
		)
	}
	for _, way := range whole {
		way.IsHeadWhole = true
		ways = append(ways, way)
	}
	return append(ways,
		Way{Name: "a length of zero", Text: head + "Content-Length: 0\r\n\r\n", IsHeadWhole: true, IsLengthZero: true},
		Way{Name: "no chunk but the last", Text: head + chunked + "\r\n0\r\n\r\n", IsHeadWhole: true, IsLengthZero: true},
	)
}

// ReadBufferSizes are the sizes of readers' buffers, around which the pieces of a head may end.
var ReadBufferSizes = []int{4 << 10, 16 << 10}

// Padded returns the answer with a header line that makes its head, up to the header lines that declare the body's end, as long as
// given. The length must exceed that of the head by some bytes.
func (a Answer) Padded(length int) Answer {
	const name, end = "X-Filler: ", "\r\n"
	missing := length - len(a.statusLine("HTTP/1.1")+"\r\n"+a.Headers+name+end)
	a.Headers += name + strings.Repeat("x", missing) + end
	return a
}
