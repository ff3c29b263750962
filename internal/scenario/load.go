package scenario

import (
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// Load reads and validates a scenario file and the trace that it names. If a file is invalid,
// the error holds yamlfile.Problems with file, line, key and remedy.
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
	read.traceArrivals, err = readTrace(traceFile, read)
	return read, trace.Wrap(err)
}
