package experiment

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// runFile is a file of finished runs, one JSON object per line, without Run.Series and Run.Events.
// It is safe for concurrent use; a nil *runFile is empty and stores nothing.
type runFile struct {
	mutex sync.Mutex
	file  *os.File
	runs  map[runKey]*Run
}

type runKey struct {
	deployment, scenario, policy string
	seed                         uint64
}

// openRunFile opens a file and reads its runs; for an empty path it returns nil.
func openRunFile(path string) (*runFile, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	opened := &runFile{file: file, runs: map[runKey]*Run{}}
	decoder := json.NewDecoder(file)
	for {
		run := new(Run)
		err := decoder.Decode(run)
		if errors.Is(err, io.EOF) {
			return opened, nil
		}
		if err != nil {
			return nil, trace.NewAggregate(trace.BadParameter("%s does not hold a list of runs: %v; delete the file", path, err), file.Close())
		}
		opened.runs[runKey{run.Deployment, run.Scenario, run.Policy, run.Seed}] = run
	}
}

func (k *runFile) find(declared *scenario.Scenario, policy string, seed uint64) (*Run, bool) {
	if k == nil {
		return nil, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	run, found := k.runs[runKey{declared.Deployment, declared.Name, policy, seed}]
	return run, found
}

func (k *runFile) add(run *Run) error {
	if k == nil {
		return nil
	}
	short := *run
	short.Series, short.Events = nil, nil
	text, err := json.Marshal(short)
	if err != nil {
		return trace.Wrap(err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	_, err = k.file.Write(append(text, '\n'))
	return trace.ConvertSystemError(err)
}

func (k *runFile) close() {
	if k != nil {
		_ = k.file.Close() // add has written every line without a buffer
	}
}
