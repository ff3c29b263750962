package servercommand

import (
	"context"
	"os"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/lifecycle"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/logstream"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// withLog runs a server that logs line by line to standard output and to a ring in memory. The ring
// is dumped on errors and signals while the server runs, and when it fails or panics.
func withLog(ctx context.Context, environment Environment, name string, bounds settings.Log, serve func(context.Context, *logring.Log) error) error {
	stream := logstream.New(environment.Stdout)
	streamContext, stopStream := context.WithCancel(context.WithoutCancel(ctx))
	var streaming sync.WaitGroup
	streaming.Go(func() { stream.Run(streamContext) })
	defer streaming.Wait()
	defer stopStream()
	log := logring.NewWithStream(name, bounds, stream)
	environment.Signals.SetLog(func(signal os.Signal, action lifecycle.Action) {
		log.Warn().Str(events.FieldEvent, string(events.SignalReceived)).Stringer("signal", signal).Str("action", string(action)).Send()
	}, log.DumpOnSignal)
	return runWithLog(ctx, log, serve)
}

func runWithLog(ctx context.Context, log *logring.Log, serve func(context.Context, *logring.Log) error) error {
	defer log.DumpOnPanic()
	logContext, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logging sync.WaitGroup
	logging.Go(func() { log.Run(logContext) })
	err := serve(ctx, log)
	if err != nil {
		log.Error().Err(err).Msg("the server stopped because of an error")
	}
	stopLog()
	logging.Wait()
	if err != nil {
		_, dumpErr := log.DumpOnRequest()
		err = trace.NewAggregate(err, dumpErr)
	}
	return err
}
