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

// keptRuns is a file of finished runs, one JSON object a line, without series and
// events. It is safe for concurrent use; nil keeps nothing.
type keptRuns struct {
	mutex sync.Mutex
	file  *os.File
	runs  map[runKey]*Run
}

type runKey struct {
	deployment, scenario, policy string
	seed                         uint64
}

// openKeptRuns reads the runs of a file; an empty path gives nil.
func openKeptRuns(path string) (*keptRuns, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	kept := &keptRuns{file: file, runs: map[runKey]*Run{}}
	decoder := json.NewDecoder(file)
	for {
		run := new(Run)
		err := decoder.Decode(run)
		if errors.Is(err, io.EOF) {
			return kept, nil
		}
		if err != nil {
			return nil, trace.NewAggregate(trace.BadParameter("%s holds something else than runs: %v; delete it", path, err), file.Close())
		}
		kept.runs[runKey{run.Deployment, run.Scenario, run.Policy, run.Seed}] = run
	}
}

func (k *keptRuns) find(declared *scenario.Scenario, policy string, seed uint64) (*Run, bool) {
	if k == nil {
		return nil, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	run, found := k.runs[runKey{declared.Deployment, declared.Name, policy, seed}]
	return run, found
}

func (k *keptRuns) add(run *Run) error {
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

func (k *keptRuns) close() {
	if k != nil {
		_ = k.file.Close() // every line has been written
	}
}
