package main

import (
	"context"
	"fmt"
	"net"
	"os"
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

// portsOfScript is how many free ports a script finds in PORT_1, PORT_2 and so on.
const portsOfScript = 8

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(environment *testscript.Env) error {
			for i, port := range freePorts(t) {
				environment.Setenv(fmt.Sprintf("PORT_%d", i+1), fmt.Sprint(port))
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"expand": expand},
	})
}

// freePorts finds ports that nobody listens on.
func freePorts(t *testing.T) []int {
	var ports []int
	for range portsOfScript {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// expand replaces $NAME in the named files by the environment's values.
func expand(script *testscript.TestScript, negated bool, names []string) {
	if negated || len(names) == 0 {
		script.Fatalf("usage: expand file...")
	}
	for _, name := range names {
		text := os.Expand(script.ReadFile(name), script.Getenv)
		script.Check(os.WriteFile(script.MkAbs(name), []byte(text), 0o600))
	}
}
