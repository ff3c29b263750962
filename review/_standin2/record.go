package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line an event.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

// write writes one event; fields are names and values in turn.
func (r *record) write(event string, fields ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s", time.Since(r.started).Seconds(), event)
	for index := 0; index+1 < len(fields); index += 2 {
		value, _ := json.Marshal(fields[index+1])
		fmt.Fprintf(r.file, " %v=%s", fields[index], value)
	}
	fmt.Fprintln(r.file)
}
