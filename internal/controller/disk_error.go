package controller

// DiskError is the error of Run when the data directory cannot be opened or written. A write
// in progress may or may not be on disk: the caller must read the directory again to know.
type DiskError struct{ cause error }

// Error returns the cause's text.
func (d *DiskError) Error() string {
	if d.cause == nil {
		return "the disk failed"
	}
	return d.cause.Error()
}

// Unwrap returns the cause.
func (d *DiskError) Unwrap() error { return d.cause }
