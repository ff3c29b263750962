// Package verdict says whether a request may have run at a back end. The verdict
// is decided where the fact is known and carried to the caller; it is never a guess.
package verdict

// Verdict says whether a request may have run. The zero value is MayHaveRun, so
// that a forgotten verdict never claims that a request did not run.
type Verdict uint8

// Verdicts, from least to most certain.
const (
	// MayHaveRun means that the request reached, or could have reached, a back end.
	MayHaveRun Verdict = iota
	// NotRun means that no back end has started the request, and none will.
	NotRun
	// Ran means that a back end ran the request and its outcome is known.
	Ran
)

const (
	// Header carries the verdict on every answer to a caller, as it was known when the
	// head of the answer left. On a stream it is may-have-run until the end tells more.
	Header = "X-Run-Verdict"
	// Trailer carries the verdict after the last byte of a stream.
	Trailer = "X-Run-Verdict-Final"
)

// String returns the wire form of the verdict.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}
