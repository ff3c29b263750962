package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of a long request; the configuration allows 4 MiB.
	uploadBytes = 3 << 20
	// answerBytes is the size of the replica's answer.
	answerBytes = 4000
	// earlyReplicas is the number of replicas, of which one crashes; uploads is the number of long requests at work then.
	earlyReplicas = 7
	uploads       = 28
)

// early shows that a long request whose replica crashes while it answers early, with an answer without a length, leaves the
// client with an answer that is cut off and looks whole.
func early() int {
	return runCase(func(s *site, trouble bool) (broken bool, err error) {
		var crashing *replica
		answer := strings.Repeat("0123456789abcde\n", answerBytes/16)
		crash, goOn := make(chan struct{}), make(chan struct{})
		for number := range earlyReplicas {
			crashes := trouble && number == 0
			r, err := startReplica(s.record, s.list, "p", number)
			if err != nil {
				return false, err
			}
			if crashes {
				crashing = r
			}
			// The segment size of an ordinary link, so that a long request does not fit into the buffers of loopback.
			if err := r.listenAgain(segmentBytes); err != nil {
				return false, err
			}
			r.early = func(r *replica, c net.Conn, _ *bufio.Reader, request *http.Request) (done, keep bool) {
				id := requestID(request)
				r.began(request, nil)
				fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", r.head(id), answer[:answerBytes/2])
				s.record.write("answered half", "replica", r.id, "id", id, "bytes", answerBytes/2)
				if crashes {
					<-crash
					s.record.write("crashes", "replica", r.id, "id", id)
					return true, false // its kernel resets the connection, of which bytes are unread
				}
				<-goOn
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return true, false
				}
				fmt.Fprint(c, answer[answerBytes/2:])
				s.record.write("answered whole", "replica", r.id, "id", id, "bytes", answerBytes)
				return true, false
			}
		}
		if err := s.startAll(routes); err != nil {
			return false, err
		}
		results := make(chan error, uploads)
		for number := range uploads {
			go func() {
				results <- upload(s.record, s.fronts[number%len(s.fronts)].outer(), fmt.Sprintf("long-%d", number), answer)
			}()
		}
		time.Sleep(time.Second)
		if trouble {
			_ = crashing.listener.Close() // the crashed replica stays on the list for some seconds
			close(crash)
		}
		time.Sleep(time.Second)
		close(goOn)
		for range uploads {
			err := <-results
			if errors.Is(err, errBroken) {
				broken = true
			}
			s.record.write("verdict", "result", fmt.Sprint(err))
			if !trouble && err != nil && !broken {
				return false, err
			}
		}
		return broken, nil
	})
}

// listenAgain opens the listener of a replica again, with a segment size for its connections.
func (r *replica) listenAgain(segment int) error {
	_ = r.listener.Close()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
		return errors.Join(err, failed)
	}}
	var err error
	if r.listener, err = config.Listen(context.Background(), "tcp", r.address); err != nil {
		return err
	}
	go r.accept()
	return nil
}

// upload sends a long request and reads its answer.
func upload(record *record, front, id, answer string) error {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	record.write("sent", "id", id, "front", front, "bytes", uploadBytes)
	body := bytes.Repeat([]byte("z"), uploadBytes)
	fmt.Fprintf(c, "POST /u/long HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n", dialect.Headers.RequestID, id, dialect.Headers.DeadlineMs, len(body))
	if _, err := c.Write(body); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		record.write("no answer", "id", id, "error", err.Error())
		return err
	}
	received, err := io.ReadAll(response.Body)
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	record.write("received", "id", id, "status", response.StatusCode, "seal", response.Header.Get(dialect.Headers.Seal), "framed", isFramed,
		"bytes", len(received), "of", len(answer), "end", fmt.Sprint(err))
	switch {
	case err != nil:
		return fmt.Errorf("the answer visibly broke off: %w", err)
	case response.StatusCode == http.StatusOK && string(received) != answer:
		return fmt.Errorf("%w: MIXED: a success with %d of %d bytes ended like a whole answer", errBroken, len(received), len(answer))
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d", errUnserved, response.StatusCode)
	default:
		return nil
	}
}
