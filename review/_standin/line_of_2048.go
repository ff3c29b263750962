package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The streams of this case.
const (
	streams = 3
	// replicas is so large that the replicas that are killed, one for each stream, are a quarter of them: the largest share of
	// srv_crash on the site's days.
	replicas      = 4 * streams
	streamEvents  = 60
	eventInterval = 20 * time.Millisecond
	// killAfter is how long after the head of its answer a replica is killed.
	killAfter = 500 * time.Millisecond
	// crashListed is how long the list shows a replica that has crashed.
	crashListed = 2 * time.Second
)

// lineLength is the length of the data line of an event; LINE in the environment sets another one.
var lineLength = envNumber("LINE", 2048)

// envNumber returns a number in the environment, or the fallback if there is none.
func envNumber(name string, fallback int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return fallback
}

// runLineOf2048 sends streams that may be resumed. The replica that runs a stream is killed midway; the stream must then go on at
// another one, with each event once, whole and in order.
func runLineOf2048(record *record, trouble bool) error {
	deployment, err := startDeployment(record, options{controllers: 3, relays: 2})
	if err != nil {
		return err
	}
	defer deployment.close()
	running := map[string]*process{}
	for number := 1; number <= replicas; number++ {
		id := fmt.Sprintf("i-%d", number)
		if running[id], err = startProcess(id, filepath.Join(deployment.directory, id+".log"), os.Args[0], "replica", "--address", deployment.replica(number),
			"--id", id, "--events", fmt.Sprint(streamEvents), "--interval", eventInterval.String(), "--line", fmt.Sprint(lineLength)); err != nil {
			return err
		}
		deployment.list.add(instance{ID: id, Service: "writers", Address: deployment.replica(number), Zone: "z", Version: "v1", Slots: 8, State: "ready"})
	}
	if err := deployment.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the list lags
	defer deployment.recordRuns()
	broken := 0
	for number := 1; number <= streams; number++ {
		fault, err := runStream(deployment, number, running, trouble)
		if err != nil {
			return err
		}
		if fault != "" {
			broken++
			record.printf("stream %d: %s", number, fault)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: ORDER, MIXED: %d of %d streams", errBroken, broken, streams)
	}
	return nil
}

// runStream sends one stream and returns what is wrong with its answer; empty for nothing.
func runStream(deployment *deployment, number int, running map[string]*process, trouble bool) (fault string, err error) {
	record, id := deployment.record, fmt.Sprintf("%016x", 0xabc000+number)
	request, err := http.NewRequest(http.MethodPost, "http://"+deployment.front(1+number%2)+"/stream/x", strings.NewReader(fmt.Sprint("write ", number)))
	if err != nil {
		return "", err
	}
	request.Host = "review.example"
	request.Header.Set(dialect.Headers.RequestID, id)
	request.Header.Set(dialect.Headers.DeadlineMs, "6000")
	client := http.Client{Timeout: 6 * time.Second}
	record.printf("stream %d: request %s is sent", number, id)
	answer, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	seal := answer.Header.Get(dialect.Headers.Seal)
	record.printf("stream %d: status %d, seal %q", number, answer.StatusCode, seal)
	if answer.StatusCode != http.StatusOK {
		return "", fmt.Errorf("the stream was answered with %d", answer.StatusCode)
	}
	if trouble {
		time.AfterFunc(killAfter, func() {
			replica := strings.Split(seal, ".")[1]
			record.printf("stream %d: replica %s is killed", number, replica)
			running[replica].signal(syscall.SIGKILL)
			time.AfterFunc(crashListed, func() { deployment.list.remove(replica) })
		})
	}
	return checkEvents(record, number, bufio.NewReader(answer.Body)), nil
}

// checkEvents reads a stream to its end. An event ends with an empty line. An answer that breaks off visibly breaks no rule here.
func checkEvents(record *record, stream int, body *bufio.Reader) string {
	next := 1
	var event strings.Builder
	for {
		line, err := body.ReadString('\n')
		if err != nil && line == "" && event.Len() == 0 {
			record.printf("stream %d: ends after event %d: %v", stream, next-1, err)
			if err.Error() == "EOF" && next <= streamEvents {
				return fmt.Sprintf("ends as complete after event %d of %d", next-1, streamEvents)
			}
			return ""
		}
		if err != nil {
			record.printf("stream %d: breaks off within an event: %v", stream, err)
			return ""
		}
		event.WriteString(line)
		if line != "\n" {
			continue
		}
		if expected := eventText(next, lineLength); event.String() != expected {
			_, err := io.Copy(io.Discard, body)
			return fmt.Sprintf("the client got %q in place of event %d; the end of the answer: %s", shortened(event.String()), next, endText(err))
		}
		next++
		event.Reset()
	}
}

// endText describes the end of an answer that was read with the given result.
func endText(err error) string {
	if err != nil {
		return err.Error()
	}
	return "declared complete"
}

// shortened returns a text with runs of the filling cut.
func shortened(text string) string {
	for strings.Contains(text, "xxxx") {
		text = strings.ReplaceAll(text, "xxxx", "x")
	}
	return text
}
