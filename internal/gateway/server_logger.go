package gateway

import "github.com/hazelpitch/hazelpitch/internal/logring"

// serverLogger writes fasthttp's messages to the log.
type serverLogger struct{ log *logring.Log }

// Printf implements fasthttp.Logger.
func (l serverLogger) Printf(format string, arguments ...any) {
	l.log.Info().Msgf(format, arguments...)
}
