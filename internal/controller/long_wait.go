package controller

import "time"

// awaitReporting waits until the channel delivers. While it waits, it calls report with the time so far, after the time first
// and again each time that it has doubled.
func awaitReporting(done <-chan error, first time.Duration, report func(waited time.Duration)) error {
	for waited, next := time.Duration(0), first; ; waited, next = next, 2*next {
		timer := time.NewTimer(next - waited)
		select {
		case err := <-done:
			timer.Stop()
			return err
		case <-timer.C:
			report(next)
		}
	}
}
