package takenerror

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/wirecheck"
)

const (
	// confirmTime bounds the wait for what becomes of the rest of a request. Round trips take less than 0.3 s, so that the reset by a
	// peer that has closed arrives sooner.
	confirmTime = 500 * time.Millisecond
	// answerTime bounds the further wait for an acknowledgement if none has come for unansweredLimit: what it answers may have been sent
	// just now.
	answerTime = 300 * time.Millisecond
	// unansweredLimit is how long a peer whose machine works may leave segments without an acknowledgement: longer than a round trip and
	// the kernel's first retransmission.
	unansweredLimit = 400 * time.Millisecond
	// firstConfirmPause and maxConfirmPause are the pauses between two looks at what the peer has acknowledged.
	firstConfirmPause = 500 * time.Microsecond
	maxConfirmPause   = 20 * time.Millisecond
)

// Errors of an end that came before the peer had received the whole request.
var (
	// ErrRequestRejected means that the peer has refused the rest of the request by a reset.
	ErrRequestRejected = errors.New("the connection was reset before the peer had received the whole request")
	// ErrRequestUnanswered means that the peer's kernel acknowledges nothing any more.
	ErrRequestUnanswered = errors.New("the peer has not acknowledged the whole request")
)

// ConfirmEnd returns nil if the end of the stream that a read has met may be that of a whole answer, which declares no end of its own.
// A process that crashes with nothing unread ends its connections in the ordinary way, and its kernel resets them only when the rest
// of the request arrives. ConfirmEnd therefore waits, for a short time, until the peer has received the whole request or has refused it.
// A peer that goes on without receiving it has only ended its own stream. Nothing is awaited if the whole request was received before.
// isWritten reports whether the whole request was handed to Write; nil if it always is before its answer is read.
func (k *Keeper) ConfirmEnd(connection net.Conn, isWritten func() bool) error {
	end, isLastWait := time.Now().Add(confirmTime), false
	for pause := firstConfirmPause; ; pause = min(2*pause, maxConfirmPause) {
		written := k.awaitedWrites()
		if err := k.failure(); err != nil {
			return err
		}
		delivery := wirecheck.DeliveryOf(connection)
		isOutstanding := delivery.Unacknowledged > 0 || isWritten != nil && !isWritten()
		switch {
		case isOutstanding && delivery.IsClosed:
			return ErrRequestRejected
		case !isOutstanding && written == nil:
			return nil
		}
		isUnanswered, left := delivery.UnansweredFor >= unansweredLimit, time.Until(end)
		switch {
		case left <= 0 && isUnanswered && !isLastWait:
			left, isLastWait = answerTime, true
			end = time.Now().Add(answerTime)
		case left <= 0, isLastWait && !isUnanswered:
			return k.endUnconfirmed(connection, isUnanswered)
		}
		select {
		case <-written: // nil, which never is ready, if no write is in progress
		case <-time.After(min(pause, left)):
		}
	}
}

// endUnconfirmed ends a write in progress and returns the error of an end that was not confirmed in time.
func (k *Keeper) endUnconfirmed(connection net.Conn, isUnanswered bool) error {
	if err := k.OfRead(connection, io.EOF); !errors.Is(err, io.EOF) {
		return err
	}
	if isUnanswered {
		return ErrRequestUnanswered
	}
	return nil
}
