package main

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hazelpitch/hazelpitch/internal/servercommand"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hazelctl": main,
		"hazelpitch": func() {
			os.Exit(servercommand.Run(context.Background(), os.Args[1:], servercommand.Environment{
				Program: "hazelpitch", Stdout: os.Stdout, Stderr: os.Stderr,
			}))
		},
	})
}

func TestScripts(t *testing.T) {
	var scripts atomic.Int32
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(environment *testscript.Env) error {
			environment.Setenv("HOST", loopbackHost(scripts.Add(1)))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"expand": expand},
	})
}

// loopbackHost returns a loopback address that no other script and no other test process uses. The
// scripts' ports are below the range of outgoing connections, so they stay free even while a
// controller is down.
func loopbackHost(script int32) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+script%32, os.Getpid()>>8&0xff, os.Getpid()&0xff)
}

// expand replaces $NAME in the named files with the values of the script's environment.
func expand(script *testscript.TestScript, negated bool, names []string) {
	if negated || len(names) == 0 {
		script.Fatalf("usage: expand file...")
	}
	for _, name := range names {
		text := os.Expand(script.ReadFile(name), script.Getenv)
		script.Check(os.WriteFile(script.MkAbs(name), []byte(text), 0o600))
	}
}
