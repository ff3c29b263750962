package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// mayGoOnAt reports whether a stream that is bound to a software version may run at a back end. Engines that only prefill send no
// events, and may have any version.
func mayGoOnAt(version streamorigin.Version, backEnd *backEnd) bool {
	return backEnd.Stage == serving.StagePrefill || version.Allows(backEnd.version)
}

// bind binds the stream to a software version, unless it is bound already.
func (a *attemptTracker) bind(version streamorigin.Version) {
	a.boundTo.CompareAndSwap(uint64(streamorigin.None), uint64(version))
}

// binding returns the software version to which the stream is bound.
func (a *attemptTracker) binding() streamorigin.Version {
	return streamorigin.Version(a.boundTo.Load())
}

// isBound reports whether the stream may go on at one software version only.
func (a *attemptTracker) isBound() bool { return a.binding() != streamorigin.None }
