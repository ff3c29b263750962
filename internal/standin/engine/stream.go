package engine

import (
	"bufio"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// streamFaults are the faults that strike one stream.
type streamFaults struct {
	cut, truncate, stall, skip, earlyDone int // after so many tokens of this stream; -1 is never
	crossed, duplicate                    bool
}

func (l *life) drawStreamFaults() streamFaults {
	after := func(kind fault.Kind) int {
		if drawn, strikes := l.takeFault(kind); strikes {
			return drawn.Tokens
		}
		return -1
	}
	drawn := streamFaults{cut: after(fault.Cut), truncate: after(fault.Truncate), stall: after(fault.Stall), skip: after(fault.Skip), earlyDone: after(fault.EarlyDone)}
	_, drawn.crossed = l.takeFault(fault.Crossed)
	_, drawn.duplicate = l.takeFault(fault.Duplicate)
	return drawn
}

// streamer sends one exchange to one reader.
type streamer struct {
	life   *life
	about  *exchange
	reader *reader
	conn   net.Conn
	events *eventWriter
	faults streamFaults
	reason string
	offset int // tokens sent, counting those before this stream
	sent   int // tokens sent by this stream
	buffer []byte
}

// answerStream sends the event stream of an exchange from offset on.
func (l *life) answerStream(ctx *fasthttp.RequestCtx, about *exchange, to *reader, offset int, reason string) {
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	sender := &streamer{
		life: l, about: about, reader: to, conn: ctx.Conn(), events: newEventWriter(about, offset == 0),
		faults: l.drawStreamFaults(), reason: reason, offset: offset,
	}
	ctx.SetBodyStreamWriter(sender.run)
}

// run sends until the exchange ends, the reader goes or another reader takes over.
func (s *streamer) run(out *bufio.Writer) {
	defer s.life.detach(s.about, s.reader)
	for {
		s.life.lockThawed()
		replaced := s.about.reader != s.reader
		written, cached := s.about.written, s.about.cached
		ended, cancelled, dead := s.about.ended, s.about.cancelled, s.life.dead
		s.life.mutex.Unlock()
		if replaced || dead {
			crashable.ResetConnection(s.conn)
			return
		}
		s.buffer = s.buffer[:0]
		struck := s.appendTokens(written)
		if struck == "" && ended {
			s.buffer = s.events.end(s.buffer, written, cached, s.reason)
		}
		if struck == "" && cancelled {
			s.buffer = s.events.failure(s.buffer, written, "cancelled")
		}
		if len(s.buffer) > 0 {
			if _, err := out.Write(s.buffer); err != nil || out.Flush() != nil {
				return
			}
		}
		switch struck {
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
		case <-s.life.ctx.Done():
		}
	}
}

// appendTokens appends the events up to written. It returns the fault that ends the
// stream here, or nothing.
func (s *streamer) appendTokens(written int) fault.Kind {
	for s.offset < written {
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

// stall sends nothing more and keeps the connection open until someone else acts.
func (s *streamer) stall() {
	for {
		select {
		case <-s.reader.changed:
		case <-s.life.ctx.Done():
			return
		}
		s.life.mutex.Lock()
		replaced, cancelled := s.about.reader != s.reader, s.about.cancelled
		s.life.mutex.Unlock()
		if replaced || cancelled {
			return
		}
	}
}

// appendCrossed appends a token of another exchange.
func (s *streamer) appendCrossed() {
	other := &exchange{id: otherExchange, model: s.about.model, endpoint: s.about.endpoint, prompt: ^s.about.prompt}
	s.buffer = newEventWriter(other, false).token(s.buffer, s.offset)
}
