package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hazelbench": main})
}

func TestCommandLine(t *testing.T) {
	deploy, err := filepath.Abs("../../deploy")
	require.NoError(t, err)
	small, err := filepath.Abs("testdata/small")
	require.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(environment *testscript.Env) error {
			environment.Setenv("DEPLOY", deploy)
			environment.Setenv("SMALL", small)
			environment.Setenv("TMPDIR", os.TempDir())
			return nil
		},
	})
}
