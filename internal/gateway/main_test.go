package gateway

import (
	"flag"
	"os"
	"testing"
)

// testsAtOnce is how many parallel tests run at once, whatever the number of processors:
// they wait for timers and connections and hardly compute.
const testsAtOnce = "16"

func TestMain(m *testing.M) {
	flag.Parse()
	asked := false
	flag.Visit(func(given *flag.Flag) { asked = asked || given.Name == "test.parallel" })
	if !asked {
		if err := flag.Set("test.parallel", testsAtOnce); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
