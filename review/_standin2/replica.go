package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	id, method, target, body, replica string
	at                                time.Time
}

// replica is a stand-in of a replica that answers whole.
type replica struct {
	id, service, address string
	slots                int
	record               *record
	listener             net.Listener
	// handle answers a request that was read whole; it returns false if the connection is to be closed.
	handle func(r *replica, c net.Conn, reader *bufio.Reader, request *http.Request, body []byte) bool
	// early is called with the head of a request before its body is read; it returns true if it has done everything.
	early func(r *replica, c net.Conn, reader *bufio.Reader, request *http.Request) (done, keep bool)
	mutex sync.Mutex
	runs  []run
	conns map[net.Conn]bool
}

func startReplica(record *record, list *list, service string, number int) (*replica, error) {
	r := &replica{
		id: fmt.Sprintf("i-%s-%d", service, number), service: service, address: hostPort(address(groupReplica, number), portOuter),
		slots: 16, record: record, conns: map[net.Conn]bool{},
	}
	var err error
	if r.listener, err = net.Listen("tcp", r.address); err != nil {
		return nil, err
	}
	r.handle = answerWhole
	list.set(r.entry("ready"))
	go r.accept()
	return r, nil
}

func (r *replica) entry(state string) instance {
	return instance{Id: r.id, Service: r.service, Address: r.address, Zone: "a", Version: "v1", Slots: r.slots, State: state}
}

func (r *replica) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(connection)
	}
}

func (r *replica) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF {
				r.record.write("unreadable", "replica", r.id, "error", err.Error())
			}
			return
		}
		id := requestID(request)
		if expected := request.Header.Get(dialect.Headers.ExpectInstance); expected != "" && expected != r.id {
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", dialect.Headers.RequestID, id, dialect.Headers.NotExecuted)
			continue
		}
		if r.early != nil {
			if done, keep := r.early(r, connection, reader, request); done {
				if !keep {
					return
				}
				continue
			}
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.handle(r, connection, reader, request, body) {
			return
		}
	}
}

// began records that the replica runs a request.
func (r *replica) began(request *http.Request, body []byte) {
	r.mutex.Lock()
	r.runs = append(r.runs, run{requestID(request), request.Method, request.RequestURI, string(body), r.id, time.Now()})
	r.mutex.Unlock()
	r.record.write("run", "replica", r.id, "id", requestID(request), "method", request.Method, "target", request.RequestURI, "bytes", len(body))
}

func (r *replica) seal(id string) string { return "seal-" + r.id + "-" + id }

// head returns the head of a success of the replica, without its framing and its last line.
func (r *replica) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\n", dialect.Headers.RequestID, id, dialect.Headers.Seal, r.seal(id))
}

// requestID returns the identity of a request.
func requestID(request *http.Request) string { return request.Header.Get(dialect.Headers.RequestID) }

func answerWhole(r *replica, connection net.Conn, _ *bufio.Reader, request *http.Request, body []byte) bool {
	r.began(request, body)
	answer := "answer of " + requestID(request)
	_, err := fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", r.head(requestID(request)), len(answer), answer)
	return err == nil
}
