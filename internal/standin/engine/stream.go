package engine

import (
	"bufio"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// streamFaults are the faults that apply to one stream.
type streamFaults struct {
	cut, truncate, stall, skip, earlyDone int // number of tokens of this stream before the fault; -1 is never
	crossed, duplicate                    bool
}

func (p *process) strikeStreamFaults() streamFaults {
	after := func(kind fault.Kind) int {
		if drawn, strikes := p.strikeFault(kind); strikes {
			return drawn.Tokens
		}
		return -1
	}
	drawn := streamFaults{cut: after(fault.Cut), truncate: after(fault.Truncate), stall: after(fault.Stall), skip: after(fault.Skip), earlyDone: after(fault.EarlyDone)}
	_, drawn.crossed = p.strikeFault(fault.Crossed)
	_, drawn.duplicate = p.strikeFault(fault.Duplicate)
	return drawn
}

// streamer sends one exchange to one reader.
type streamer struct {
	process      *process
	exchange     *exchange
	reader       *reader
	conn         net.Conn
	events       *eventWriter
	faults       streamFaults
	finishReason string
	offset       int // tokens sent, including those before this stream
	sent         int // tokens sent by this stream
	buffer       []byte
}

// answerStream sends the event stream of an exchange, starting at offset.
func (p *process) answerStream(ctx *fasthttp.RequestCtx, sent *exchange, recipient *reader, offset int, reason string) {
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	sender := &streamer{
		process: p, exchange: sent, reader: recipient, conn: ctx.Conn(), events: newEventWriter(sent, offset == 0),
		faults: p.strikeStreamFaults(), finishReason: reason, offset: offset,
	}
	ctx.SetBodyStreamWriter(sender.run)
}

// run sends events until the exchange ends, the reader disconnects or another reader replaces it.
func (s *streamer) run(out *bufio.Writer) {
	defer s.process.detach(s.exchange, s.reader)
	for {
		s.process.lockThawed()
		replaced := s.exchange.reader != s.reader
		decoded, cached := s.exchange.decodedTokens, s.exchange.cachedTokens
		ended, cancelled, dead := s.exchange.finished, s.exchange.cancelled, s.process.dead
		s.process.mutex.Unlock()
		if replaced || dead {
			crashable.ResetConnection(s.conn)
			return
		}
		s.buffer = s.buffer[:0]
		endingFault := s.appendTokens(decoded)
		if endingFault == "" && ended {
			s.buffer = s.events.end(s.buffer, decoded, cached, s.finishReason)
		}
		if endingFault == "" && cancelled {
			s.buffer = s.events.failure(s.buffer, decoded, "cancelled")
		}
		if len(s.buffer) > 0 {
			if _, err := out.Write(s.buffer); err != nil || out.Flush() != nil {
				return
			}
		}
		switch endingFault {
		case fault.Cut:
			crashable.ResetConnection(s.conn)
			return
		case fault.Stall:
			s.stall()
			return
		case fault.Truncate, fault.EarlyDone:
			return
		}
		if ended || cancelled {
			return
		}
		select {
		case <-s.reader.changed:
		case <-s.process.ctx.Done():
		}
	}
}

// appendTokens appends the events of the tokens that have been decoded and not sent. It returns the fault that ends the
// stream here, or "".
func (s *streamer) appendTokens(decoded int) fault.Kind {
	for s.offset < decoded {
		switch s.sent {
		case s.faults.cut:
			return fault.Cut
		case s.faults.truncate:
			return fault.Truncate
		case s.faults.stall:
			return fault.Stall
		case s.faults.earlyDone:
			s.buffer = append(s.buffer, "data: "+enginecontract.DoneMarker+"\n\n"...)
			return fault.EarlyDone
		}
		if s.faults.crossed && s.sent == 1 {
			s.appendCrossed()
		}
		if s.sent != s.faults.skip {
			s.buffer = s.events.token(s.buffer, s.offset)
		}
		if s.faults.duplicate {
			s.buffer = s.events.token(s.buffer, s.offset)
		}
		s.offset++
		s.sent++
	}
	return ""
}

// stall sends nothing and keeps the connection open until the stream is replaced or cancelled.
func (s *streamer) stall() {
	for {
		select {
		case <-s.reader.changed:
		case <-s.process.ctx.Done():
			return
		}
		s.process.mutex.Lock()
		replaced, cancelled := s.exchange.reader != s.reader, s.exchange.cancelled
		s.process.mutex.Unlock()
		if replaced || cancelled {
			return
		}
	}
}

// appendCrossed appends a token event of another exchange.
func (s *streamer) appendCrossed() {
	other := &exchange{id: foreignExchange, model: s.exchange.model, endpoint: s.exchange.endpoint, prompt: ^s.exchange.prompt}
	s.buffer = newEventWriter(other, false).token(s.buffer, s.offset)
}
