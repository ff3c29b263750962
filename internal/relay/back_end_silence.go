package relay

import "time"

// beginAwaiting records that one more exchange waits for bytes from the back end. endAwaiting must follow.
func (b *backEnd) beginAwaiting(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.load.awaiting == 0 {
		b.load.awaitingSince = now
	}
	b.load.awaiting++
}

// endAwaiting records that an exchange no longer waits for bytes from the back end.
func (b *backEnd) endAwaiting() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.awaiting--
}

// silentFor returns how long exchanges have waited without a byte from the back end; 0 if none waits.
func (l load) silentFor(now time.Duration) time.Duration {
	if l.awaiting == 0 {
		return 0
	}
	return now - max(l.lastReceivedAt, l.awaitingSince)
}
