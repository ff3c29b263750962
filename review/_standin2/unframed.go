package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// pageBytes is the size of the page that the replica answers with.
	pageBytes = 64_000
	// segmentBytes is the segment size of an ordinary link; loopback has far larger ones.
	segmentBytes = 1460
	// receiveBytes is the receive buffer of a client that is slow to read.
	receiveBytes = 2048
	// slowness is how long the client pauses before it reads on.
	slowness = 3 * time.Second
)

// unframed shows that a relay which is killed while a slow client receives an answer without a length leaves that client
// with an answer that is cut off and looks whole.
func unframed() int {
	return runCase(func(s *site, trouble bool) (broken bool, err error) {
		page := strings.Repeat("0123456789abcde\n", pageBytes/16)
		for number := range 2 {
			r, err := startReplica(s.record, s.list, "p", number)
			if err != nil {
				return false, err
			}
			r.handle = func(r *replica, c net.Conn, _ *bufio.Reader, request *http.Request, body []byte) bool {
				r.began(request, body)
				id := requestID(request)
				fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", r.head(id), page)
				s.record.write("answered whole", "replica", r.id, "id", id, "bytes", len(page))
				return false // the answer has no length and ends with its connection
			}
		}
		if err := s.startAll(routes); err != nil {
			return false, err
		}
		const clients = 4
		results := make(chan error, clients)
		front := s.fronts[0]
		for number := range clients {
			go func() {
				results <- slowClient(s.record, front.outer(), fmt.Sprintf("slow-%d", number), page)
			}()
		}
		time.Sleep(slowness / 3)
		if trouble {
			s.record.write("SIGKILL", "process", front.name)
			front.kill()
			if err := s.start(front); err != nil {
				return false, err
			}
		}
		for range clients {
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

// errBroken means that a rule is broken, errUnserved that a client got no whole answer and could see that.
var errBroken, errUnserved = errors.New("broken"), errors.New("not served")

// slowClient sends a safe request, reads the head of the answer, pauses, and reads the rest.
func slowClient(record *record, front, id, page string) error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes),
			)
		})
		return errors.Join(err, failed)
	}}
	c, err := dialer.Dial("tcp", front)
	if err != nil {
		return err
	}
	defer c.Close()
	record.write("sent", "id", id, "front", front)
	fmt.Fprintf(c, "GET /s/page HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 20000\r\n\r\n", dialect.Headers.RequestID, id, dialect.Headers.DeadlineMs)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReaderSize(c, 512)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		record.write("no answer", "id", id, "error", err.Error())
		return err
	}
	time.Sleep(slowness)
	body, err := io.ReadAll(response.Body)
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	record.write("received", "id", id, "status", response.StatusCode, "seal", response.Header.Get(dialect.Headers.Seal), "framed", isFramed,
		"bytes", len(body), "of", len(page), "end", fmt.Sprint(err))
	switch {
	case err != nil:
		return fmt.Errorf("the answer visibly broke off: %w", err)
	case response.StatusCode == http.StatusOK && !bytes.Equal(body, []byte(page)):
		return fmt.Errorf("%w: MIXED: a success with %d of %d bytes ended like a whole answer", errBroken, len(body), len(page))
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d", errUnserved, response.StatusCode)
	default:
		return nil
	}
}

// fronts is the number of relays, as on the site; one of them is at most the share that may be killed.
const fronts = 7

// runCase starts a small deployment, runs a case on it and returns the exit status of the case: 0 if the rule held, 1 if it was
// broken, 2 if the case could not run.
func runCase(run func(s *site, trouble bool) (broken bool, err error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(directory)
	record, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite("target/hazelpitch", directory, record, 5, fronts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	time.AfterFunc(110*time.Second, func() {
		record.write("given up")
		s.close()
		os.Exit(2)
	})
	broken, err := run(s, trouble)
	switch {
	case err != nil:
		record.write("could not run", "error", err.Error())
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		record.write("BROKEN")
		return 1
	default:
		record.write("HELD")
		return 0
	}
}
