// Command standin starts a small deployment on loopback for the cases of the review: the project's controllers and relays as
// separate processes, with stand-ins of the platform, the operator, replicas and clients around them.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// errBroken is returned by a case in which a rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. A case disturbs the deployment only if trouble is true.
var cases = map[string]func(record *record, trouble bool) error{
	"frozen-voters":    runFrozenVoters,
	"line-of-2048":     runLineOf2048,
	"two-replacements": runTwoReplacements,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		serveReplica(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*record, bool) error, path string) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	result := make(chan error, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("trouble: %v", trouble)
	go func() { result <- run(record, trouble) }()
	select {
	case err = <-result:
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	killAll()
	switch {
	case err == nil:
		record.printf("the rule held")
		return 0
	case errors.Is(err, errBroken):
		record.printf("%v", err)
		return 1
	default:
		record.printf("the case could not run: %v", err)
		return 2
	}
}
