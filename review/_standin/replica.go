package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// replicaServer is a replica that answers with streams.
type replicaServer struct {
	id         string
	events     int
	interval   time.Duration
	lineLength int
}

// serveReplica serves until the process is killed.
func serveReplica(arguments []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	address := flags.String("address", "", "IP:port")
	server := &replicaServer{}
	flags.StringVar(&server.id, "id", "", "identity of the incarnation")
	flags.IntVar(&server.events, "events", 60, "events of a stream")
	flags.DurationVar(&server.interval, "interval", 20*time.Millisecond, "time between events")
	flags.IntVar(&server.lineLength, "line", 2048, "length of the data line of an event")
	_ = flags.Parse(arguments) // exits on an error
	if err := http.ListenAndServe(*address, server); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// ServeHTTP implements http.Handler.
func (s *replicaServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	id := request.Header.Get(dialect.Headers.RequestID)
	writer.Header().Set(dialect.Headers.RequestID, id)
	if expected := request.Header.Get(dialect.Headers.ExpectInstance); expected != "" && expected != s.id {
		writer.Header().Set(dialect.Headers.NotExecuted, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		fmt.Printf("refused: %s %s has no identity\n", request.Method, request.URL.Path)
		writer.Header().Set(dialect.Headers.NotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.stream(writer, request, id)
}

// stream runs a request. It goes on after the last event that the client has.
func (s *replicaServer) stream(writer http.ResponseWriter, request *http.Request, id string) {
	first, _ := strconv.Atoi(request.Header.Get(dialect.Headers.LastEventID)) // 0 without the header
	fmt.Printf("run %s from event %d\n", id, first+1)
	writer.Header().Set(dialect.Headers.Seal, "seal."+s.id+"."+id)
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := first + 1; number <= s.events; number++ {
		if _, err := io.WriteString(writer, eventText(number, s.lineLength)); err != nil {
			return
		}
		writer.(http.Flusher).Flush()
		select {
		case <-time.After(s.interval):
		case <-request.Context().Done():
			fmt.Printf("run %s is left\n", id)
			return
		}
	}
	fmt.Printf("run %s ends\n", id)
}

// eventText returns an event, whose data line has the given length without its line end.
func eventText(number, lineLength int) string {
	line := fmt.Sprintf("data: piece %d ", number)
	return fmt.Sprintf("id: %d\n%s\n\n", number, line+strings.Repeat("x", max(lineLength-len(line), 0)))
}
