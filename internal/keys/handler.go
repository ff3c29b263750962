package keys

import (
	"crypto/x509"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
)

// RequireRole passes requests to a connect handler only from peers whose certificate has one
// of the roles, and answers others with the reason for the refusal. The handshake has already
// verified the certificate. Requests on connections without TLS pass, since the settings file
// decides whether the fleet uses TLS.
func RequireRole(next http.Handler, fleet string, roles ...Role) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.TLS == nil {
			next.ServeHTTP(writer, request)
			return
		}
		if err := peerHasRole(request.TLS.PeerCertificates, fleet, roles); err != nil {
			_ = errorWriter.Write(writer, request, connect.NewError(connect.CodePermissionDenied, trace.Unwrap(err)))
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func peerHasRole(certificates []*x509.Certificate, fleet string, roles []Role) error {
	if len(certificates) == 0 {
		return trace.Wrap(&PeerError{Refusal: RefusalNoCertificate, Detail: "expected one of fleet " + fleet})
	}
	identity, err := IdentityOf(certificates[0])
	if err != nil {
		return trace.Wrap(&PeerError{Refusal: RefusalNoIdentity, Detail: err.Error()})
	}
	return identity.checkAccess(fleet, roles)
}
