package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hazelpitch/hazelpitch/platform"
)

// Times from the pages: CatchUpS and RecoveryS of empleandes-lima, and how long the operator reads back here.
const (
	catchUp     = 4 * time.Second
	recovery    = 12 * time.Second
	readBackFor = 20 * time.Second
)

// serveBefore starts a replica, and checks that requests are served before any fault.
func (d *deployment) serveBefore() error {
	if _, err := startProcess("i-1", filepath.Join(d.directory, "i-1.log"), os.Args[0], "replica", "--address", d.replica(1), "--id", "i-1", "--events", "2"); err != nil {
		return err
	}
	d.list.add(instance{ID: "i-1", Service: "writers", Address: d.replica(1), Zone: "z", Version: "v1", Slots: 8, State: "ready"})
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(catchUp)
	if d.sendRequests("before") < requestCount {
		return errors.New("not all requests are served before the faults")
	}
	return nil
}

// judge reads the configuration back, and sends requests once RecoveryS has passed since all machines were back.
func (d *deployment) judge(running []int, backAt time.Time) error {
	defer d.recordRuns()
	version := d.readBack(running, readBackFor)
	time.Sleep(time.Until(backAt.Add(recovery)))
	served := d.sendRequests("after")
	switch {
	case version < d.version:
		return fmt.Errorf("%w: CONFIG: version %d was acknowledged; version %d is read back within %v (0: none); %d of %d requests are served",
			errBroken, d.version, version, readBackFor, served, requestCount)
	case 4*served < requestCount:
		return fmt.Errorf("%w: RECOVER: %d of %d requests are served", errBroken, served, requestCount)
	}
	return nil
}

// readBack reads the configuration from any controller until one returns it, and returns its version; 0 if none does in time.
func (d *deployment) readBack(running []int, limit time.Duration) int {
	client := http.Client{Timeout: time.Second}
	last := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, number := range running {
			answer, err := client.Get("http://" + d.control(number) + platform.PathConfiguration)
			if err != nil {
				last = err.Error()
				continue
			}
			content, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			last = fmt.Sprint(answer.StatusCode, " ", strings.TrimSpace(string(content)))
			var document struct{ Version int }
			if answer.StatusCode == http.StatusOK && json.Unmarshal(content, &document) == nil {
				d.record.printf("core-%d returns configuration %d", number, document.Version)
				return document.Version
			}
		}
	}
	d.record.printf("no controller returns the configuration within %v; the last answer: %s", limit, last)
	return 0
}

// requestCount is the number of requests that sendRequests sends.
const requestCount = 20

// sendRequests sends requests to the relays and returns how many are served.
func (d *deployment) sendRequests(when string) (served int) {
	client := http.Client{Timeout: 6 * time.Second}
	statuses := map[string]int{}
	for number := range requestCount {
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/stream/%s-%d", d.front(1+number%d.options.relays), when, number), strings.NewReader("write"))
		if err != nil {
			return served
		}
		request.Host = "review.example"
		request.Header.Set(dialect.Headers.RequestID, fmt.Sprintf("%s-%d", when, number))
		request.Header.Set(dialect.Headers.DeadlineMs, "6000")
		answer, err := client.Do(request)
		if err != nil {
			statuses["no answer"]++
			d.record.printf("request %s-%d: no answer: %v", when, number, err)
			continue
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		statuses[fmt.Sprint(answer.StatusCode)]++
		d.record.printf("request %s-%d is answered with %d, seal %q", when, number, answer.StatusCode, answer.Header.Get(dialect.Headers.Seal))
		if err == nil && answer.StatusCode == http.StatusOK {
			served++
		}
	}
	d.record.printf("requests %s the faults: %v", when, statuses)
	return served
}

// maxReplicas is the largest number of replicas in a case.
const maxReplicas = replicas

// recordRuns adds what the replicas ran to the record.
func (d *deployment) recordRuns() {
	for number := 1; number <= maxReplicas; number++ {
		content, err := os.ReadFile(filepath.Join(d.directory, fmt.Sprintf("i-%d.log", number)))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			d.record.printf("replica i-%d: %s", number, strings.TrimSpace(line))
		}
	}
}
