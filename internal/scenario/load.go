package scenario

import (
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// Load reads and checks a scenario file and the trace it names. The error holds
// yamlfile.Problems, with file, line, key and cure, when a file is at fault.
func Load(path string) (Scenario, error) {
	var read Scenario
	err := yamlfile.Load(yamlfile.Source{
		Path:       path,
		CrossCheck: func(document *yamlfile.Document) { check(document, &read) },
	}, &read)
	if err != nil {
		return Scenario{}, trace.Wrap(err)
	}
	if read.Trace.File == "" {
		return read, nil
	}
	traceFile := read.Trace.File
	if !filepath.IsAbs(traceFile) {
		traceFile = filepath.Join(filepath.Dir(path), traceFile)
	}
	read.traced, err = readTrace(traceFile, read)
	return read, trace.Wrap(err)
}
