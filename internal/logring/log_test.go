package logring

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

func TestRingKeepsTheNewestEntries(t *testing.T) {
	log := newLog("p", settings.Log{RingEntries: 3}, &bytes.Buffer{}, time.Now)
	for _, message := range []string{"one", "two", "three", "four"} {
		log.Info().Msg(message)
	}
	var recent bytes.Buffer
	require.NoError(t, log.WriteRecent(&recent))
	require.NotContains(t, recent.String(), `"one"`)
	require.Equal(t, 3, strings.Count(recent.String(), "\n"))
	require.Less(t, strings.Index(recent.String(), "two"), strings.Index(recent.String(), "four"))
}

func TestErrorsCauseDumpsAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		log := newLog("p", settings.Log{RingEntries: 8}, &output, time.Now)
		go log.Run(t.Context())
		log.Info().Msg("before")
		synctest.Wait()
		require.Empty(t, output.String(), "nothing is written while nothing goes wrong")

		log.Error().Msg("first")
		synctest.Wait()
		require.Contains(t, output.String(), "cause: error, entries: 2, lost before them: 0")
		require.Contains(t, output.String(), `"before"`)

		log.Error().Msg("second")
		synctest.Wait()
		require.NotContains(t, output.String(), `"second"`, "within the interval no further dump is written")

		time.Sleep(errorDumpInterval)
		log.Error().Msg("third")
		synctest.Wait()
		require.Contains(t, output.String(), `"second"`)
		require.Equal(t, 1, strings.Count(output.String(), `"first"`), "no entry is dumped twice")

		log.Info().Msg("fourth")
		log.DumpOnSignal()
		synctest.Wait()
		require.Contains(t, output.String(), "cause: signal, entries: 1")
	})
}

func TestDumpsGoToFilesAndOldOnesAreRemoved(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "dumps")
	log := newLog("p", settings.Log{RingEntries: 2, DumpDirectory: directory}, &bytes.Buffer{}, time.Now)
	var newest string
	for range maximumDumpFiles + 3 {
		log.Info().Msg("a")
		log.Info().Msg("b")
		log.Info().Msg("c")
		path, err := log.DumpOnRequest()
		require.NoError(t, err)
		newest = path
	}
	paths, err := filepath.Glob(filepath.Join(directory, "p-*.log"))
	require.NoError(t, err)
	require.Len(t, paths, maximumDumpFiles)
	require.Equal(t, newest, paths[len(paths)-1])
	text, err := os.ReadFile(newest)
	require.NoError(t, err)
	require.Contains(t, string(text), "cause: request, entries: 2, lost before them: 1")
}

func TestDumpWithoutNewEntriesWritesNoFile(t *testing.T) {
	log := newLog("p", settings.Log{RingEntries: 2, DumpDirectory: t.TempDir()}, &bytes.Buffer{}, time.Now)
	path, err := log.DumpOnRequest()
	require.NoError(t, err)
	require.Empty(t, path)
}

func TestPanicIsDumpedAndContinues(t *testing.T) {
	var output bytes.Buffer
	log := newLog("p", settings.Log{RingEntries: 4}, &output, time.Now)
	require.PanicsWithValue(t, "broken", func() {
		defer log.DumpOnPanic()
		panic("broken")
	})
	require.Contains(t, output.String(), "cause: panic")
	require.Contains(t, output.String(), "stack")
}

func TestUnwritableDirectoryIsReported(t *testing.T) {
	occupied := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(occupied, nil, 0o600))
	var output bytes.Buffer
	log := newLog("p", settings.Log{RingEntries: 4, DumpDirectory: occupied}, &output, time.Now)
	log.Info().Msg("x")
	log.dump(causeSignal)
	require.Contains(t, output.String(), "log.dump_directory")
}
