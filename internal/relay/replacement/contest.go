package replacement

// Contest decides which attempt answers a request while its current back end is silent: the current attempt, which goes on, or its
// replacement, which was sent to another back end. The one that first brings the client's next bytes does. A is the type of
// attempts; its zero value stands for none. Contest is not safe for concurrent use; its zero value has no replacement.
type Contest[A comparable] struct {
	replacement A
	// isReplaced is true if the replacement answers the request. The current attempt is then being ended.
	isReplaced bool
	// ended are the replacements that have failed or were cancelled.
	ended []A
}

// Start makes an attempt the replacement of the current one. It returns false if there is a replacement already.
func (c *Contest[A]) Start(replacement A) bool {
	if c.HasReplacement() {
		return false
	}
	c.replacement = replacement
	return true
}

// Keep records that an attempt has brought bytes for the client. It reports whether the attempt answers the request, and returns the
// replacement that must be cancelled then. An attempt that is a replacement itself is decided on by Replace.
func (c *Contest[A]) Keep(attempt A) (isKept bool, cancelled A) {
	var none A
	switch {
	case !c.HasReplacement() || c.replacement == attempt:
		return true, none
	case c.isReplaced:
		return false, none
	default:
		return true, c.end()
	}
}

// Replace records that a replacement has answered. It returns true if the current attempt must be ended.
func (c *Contest[A]) Replace(replacement A) bool {
	if c.replacement != replacement || c.isReplaced {
		return false
	}
	c.isReplaced = true
	return true
}

// Fail records that a replacement has failed. It returns true if the current attempt goes on, and false if it has ended or the
// replacement was cancelled.
func (c *Contest[A]) Fail(replacement A) bool {
	if c.replacement != replacement || c.isReplaced {
		return false
	}
	c.end()
	return true
}

// Take makes the replacement the current attempt, after the former one has ended without a whole answer. It returns none if there is no
// replacement.
func (c *Contest[A]) Take() A {
	var none A
	taken := c.replacement
	c.replacement, c.isReplaced = none, false
	return taken
}

// IsReplaced reports whether an attempt must be ended, since its replacement answers the request.
func (c *Contest[A]) IsReplaced(attempt A) bool {
	return c.isReplaced && c.replacement != attempt
}

// IsPending reports whether an attempt is a replacement that is not decided on.
func (c *Contest[A]) IsPending(attempt A) bool { return c.replacement == attempt && !c.isReplaced }

// HasReplacement reports whether a replacement was started and has neither failed nor been cancelled or taken.
func (c *Contest[A]) HasReplacement() bool {
	var none A
	return c.replacement != none
}

// Ended returns the replacements that have failed or were cancelled since the last call of TakeEnded.
func (c *Contest[A]) Ended() []A { return c.ended }

// TakeEnded returns what Ended returns, and forgets it.
func (c *Contest[A]) TakeEnded() []A {
	ended := c.ended
	c.ended = nil
	return ended
}

// end ends the replacement while the current attempt goes on.
func (c *Contest[A]) end() A {
	var none A
	ended := c.replacement
	c.ended = append(c.ended, ended)
	c.replacement = none
	return ended
}
