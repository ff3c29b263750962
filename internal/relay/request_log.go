package relay

import (
	"github.com/rs/zerolog"
)

// requestLog writes a line for each decision that changes what becomes of a request.
type requestLog struct{ logger zerolog.Logger }

// attemptFailed notes a sending that brought no answer.
func (l requestLog) attemptFailed(request *request, backEnd *backEnd, fault *failure) {
	l.logger.Info().Str("request", request.id).Str("route", request.route.Name).Str("back_end", backEnd.ID).
		Str("verdict", fault.verdict.String()).Bool("arrived", fault.arrived).AnErr("cause", fault.cause).Msg("attempt failed")
}

// refused notes a final answer of the relay's own.
func (l requestLog) refused(request *request, refused refusal, tried *attempts) {
	l.logger.Info().Str("request", request.id).Str("route", request.route.Name).Int("status", refused.status).
		Str("reason", refused.reason).Int("sent", tried.sent).Bool("may_have_run", tried.mayHaveRun).Msg("request refused")
}
