package controller

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

const (
	// slowStartStep is the duration from which a step of the start is logged.
	slowStartStep = 250 * time.Millisecond
	// firstStartStepReport is the time after which a step that still runs is logged; the times double.
	firstStartStepReport = time.Second
)

// startSteps runs the steps of a controller's start and logs those that take long, also while they run: a start that hangs
// must not look like a process that was never started.
type startSteps struct {
	log *logring.Log
	// now returns the steady time since an origin.
	now func() time.Duration
}

// run runs a step.
func (s startSteps) run(step string, execute func() error) error {
	started := s.now()
	done := make(chan error, 1)
	go func() {
		defer s.log.DumpOnPanic()
		done <- execute()
	}()
	err := awaitReporting(done, firstStartStepReport, func(waited time.Duration) { s.write(step, false, waited, nil) })
	if took := s.now() - started; took >= slowStartStep || err != nil {
		s.write(step, true, took, err)
	}
	return trace.Wrap(err)
}

// write logs a step that has taken the given time so far.
func (s startSteps) write(step string, ended bool, took time.Duration, err error) {
	s.log.Warn().Str(events.FieldEvent, string(events.StartStepSlow)).Str("step", step).Bool("ended", ended).Int64("took_ms", took.Milliseconds()).Err(err).Send()
}
