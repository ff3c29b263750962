// Package verdict defines whether a request may have run at a back end. The verdict is
// determined where the fact is known and passed on to the caller; it is never guessed.
package verdict

// Verdict states whether a request may have run. The zero value is MayHaveRun, so that a missing
// verdict never claims that a request did not run.
type Verdict uint8

// Verdicts, from the least to the most certain.
const (
	// MayHaveRun means that the request reached, or could have reached, a back end.
	MayHaveRun Verdict = iota
	// NotRun means that no back end has started the request and that none will.
	NotRun
	// Ran means that a back end ran the request and its outcome is known.
	Ran
)

const (
	// Header carries the verdict in every response to a caller, as known when the response
	// headers were sent. For a stream it is may-have-run; Trailer carries the final verdict.
	Header = "X-Run-Verdict"
	// Trailer carries the final verdict after the last byte of a stream.
	Trailer = "X-Run-Verdict-Final"
)

// String returns the verdict as it appears in headers and trailers.
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
