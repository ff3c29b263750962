package report

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

// Read reads result files, each with one run or a list of runs, and returns the runs in the
// order of the files and lists.
func Read(paths []string) ([]experiment.Run, error) {
	if len(paths) == 0 {
		return nil, trace.BadParameter("name a result file, as `hazelbench experiment --json` writes it")
	}
	var runs []experiment.Run
	for _, path := range paths {
		read, err := readFile(path)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		runs = append(runs, read...)
	}
	return runs, nil
}

func readFile(path string) ([]experiment.Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var runs []experiment.Run
	if text = bytes.TrimSpace(text); bytes.HasPrefix(text, []byte("[")) {
		err = json.Unmarshal(text, &runs)
	} else {
		runs = make([]experiment.Run, 1)
		err = json.Unmarshal(text, &runs[0])
	}
	if err != nil {
		return nil, trace.BadParameter("%s: not a result: %v; write it with `hazelbench experiment --json`", path, err)
	}
	for index, run := range runs {
		if run.Scenario == "" || run.Policy == "" {
			return nil, trace.BadParameter("%s: run %d names no scenario or no policy; write it with `hazelbench experiment --json`", path, index+1)
		}
	}
	return runs, nil
}
