package halfhead

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"sync/atomic"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2Way is a way in which an answer of HTTP/2 stops.
type HTTP2Way struct {
	// Name says where the answer stops.
	Name string
	// IsWhole is true if the answer does not stop.
	IsWhole bool
	// write writes the frames of an answer on a stream.
	write func(writer io.Writer, framer *http2.Framer, stream uint32)
}

// headerBlock returns an encoded head with status 200, and with a length unless it is negative.
func headerBlock(length int) []byte {
	block := bytes.Buffer{}
	encoder := hpack.NewEncoder(&block)
	fields := []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/proto"}}
	if length >= 0 {
		fields = append(fields, hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(length)})
	}
	for _, field := range fields {
		_ = encoder.WriteField(field) // writing to a buffer does not fail
	}
	return block.Bytes()
}

// body is a message with one field, of which the beginning is no message.
var body = []byte{0x08, 0x01}

// writeHead writes a head of a length; negative for none.
func writeHead(framer *http2.Framer, stream uint32, length int, endsStream bool) {
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: headerBlock(length), EndHeaders: true, EndStream: endsStream})
}

// HTTP2Ways returns the ways in which an answer of HTTP/2 can stop, and a whole one.
func HTTP2Ways() []HTTP2Way {
	return []HTTP2Way{
		{"whole and empty", true, func(_ io.Writer, framer *http2.Framer, stream uint32) { writeHead(framer, stream, 0, true) }},
		{"nothing", false, func(io.Writer, *http2.Framer, uint32) {}},
		{"within the frame of the head", false, func(writer io.Writer, _ *http2.Framer, stream uint32) {
			frame := bytes.Buffer{}
			writeHead(http2.NewFramer(&frame, nil), stream, 0, true)
			_, _ = writer.Write(frame.Bytes()[:frame.Len()-3])
		}},
		{"before the head's continuation", false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			block := headerBlock(0)
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block[:1], EndStream: true})
		}},
		{"after the head", false, func(_ io.Writer, framer *http2.Framer, stream uint32) { writeHead(framer, stream, -1, false) }},
		{"after a length", false, func(_ io.Writer, framer *http2.Framer, stream uint32) { writeHead(framer, stream, len(body), false) }},
		{"end of the stream before a body of a length", false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			writeHead(framer, stream, len(body), true)
		}},
		{"within a body of a length", false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			writeHead(framer, stream, len(body), false)
			_ = framer.WriteData(stream, true, body[:1])
		}},
		{"after an empty part of the body", false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			writeHead(framer, stream, -1, false)
			_ = framer.WriteData(stream, false, nil)
		}},
		{"body without the end of the stream", false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			writeHead(framer, stream, -1, false)
			_ = framer.WriteData(stream, false, body)
		}},
		{"reset of the stream after the head", false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			writeHead(framer, stream, -1, false)
			_ = framer.WriteRSTStream(stream, http2.ErrCodeInternal)
		}},
		{"end of the connection announced after the head", false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			writeHead(framer, stream, -1, false)
			_ = framer.WriteGoAway(stream, http2.ErrCodeNo, nil)
		}},
	}
}

// SpoiltHTTP2Heads returns answers of HTTP/2 whose head is none: the whole stream is there, with an empty body.
func SpoiltHTTP2Heads() []HTTP2Way {
	field := func(name, value string) hpack.HeaderField { return hpack.HeaderField{Name: name, Value: value} }
	contentType, success := field("content-type", "application/proto"), field(":status", "200")
	ways := []HTTP2Way{}
	for name, fields := range map[string][]hpack.HeaderField{
		"status of zero": {field(":status", "000"), contentType}, "status one": {field(":status", "1"), contentType},
		"status above the classes": {field(":status", "600"), contentType}, "status with a letter": {field(":status", "2o0"), contentType},
		"status with a sign": {field(":status", "+200"), contentType}, "no status": {contentType}, "two statuses": {success, success, contentType},
		"blank within a name": {success, contentType, field("x broken", "x")}, "blank after a name": {success, contentType, field("x-broken ", "x")},
		"control byte in a name": {success, contentType, field("x\x01broken", "x")}, "upper-case name": {success, contentType, field("X-Broken", "x")},
		"control byte in a value": {success, contentType, field("x-broken", "a\x01b")}, "zero byte in a value": {success, contentType, field("x-broken", "a\x00b")},
		"line feed in a value": {success, contentType, field("x-broken", "a\nb")},
		"status after a field": {contentType, success}, "unknown pseudo field": {success, field(":broken", "x"), contentType},
	} {
		ways = append(ways, HTTP2Way{name, false, func(_ io.Writer, framer *http2.Framer, stream uint32) {
			block := bytes.Buffer{}
			encoder := hpack.NewEncoder(&block)
			for _, each := range fields {
				_ = encoder.WriteField(each) // writing to a buffer does not fail
			}
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true})
		}})
	}
	return ways
}

// HTTP2Server answers requests of HTTP/2 without encryption in one way, and closes the connection after an answer that is not whole.
type HTTP2Server struct {
	listener net.Listener
	way      HTTP2Way
	requests atomic.Int64
}

// StartHTTP2 starts a server at a free port of the loopback address. It must be closed.
func StartHTTP2(way HTTP2Way) (*HTTP2Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &HTTP2Server{listener: listener, way: way}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go server.serve(connection)
		}
	}()
	return server, nil
}

// Address returns the IP:port of the server.
func (s *HTTP2Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were read.
func (s *HTTP2Server) Requests() int { return int(s.requests.Load()) }

// Close stops the server.
func (s *HTTP2Server) Close() { _ = s.listener.Close() } // fails only if it is closed already

// serve answers the first request of one connection, or all of them with whole answers.
func (s *HTTP2Server) serve(connection net.Conn) {
	defer connection.Close()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(connection, preface); err != nil {
		return
	}
	framer := http2.NewFramer(connection, connection)
	if framer.WriteSettings() != nil {
		return
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() && framer.WriteSettingsAck() != nil {
				return
			}
		case *http2.HeadersFrame, *http2.DataFrame:
			header := frame.Header()
			if header.Flags.Has(http2.FlagDataEndStream) { // the flag of both kinds
				s.requests.Add(1)
				s.way.write(connection, framer, header.StreamID)
				if !s.way.IsWhole {
					return
				}
			}
		}
	}
}
