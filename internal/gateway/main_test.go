package gateway

import (
	"flag"
	"os"
	"testing"
)

// testsAtOnce is the number of parallel tests, independent of the number of processors: the tests mostly
// wait for timers and connections and need little CPU time.
const testsAtOnce = "16"

func TestMain(m *testing.M) {
	flag.Parse()
	isSet := false
	flag.Visit(func(parsed *flag.Flag) { isSet = isSet || parsed.Name == "test.parallel" })
	if !isSet {
		if err := flag.Set("test.parallel", testsAtOnce); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
