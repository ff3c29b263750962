package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"
)

// ServerConfig returns the TLS configuration of a server of a fleet. Peers with a
// certificate must be of the fleet and have one of the roles. Peers without one complete
// the handshake only if allowAnonymous is set: an operator may authenticate with a bearer
// key, and RequireRole denies access to other services. Changed files are used from the
// next handshake on.
func (c *Credentials) ServerConfig(fleet string, allowAnonymous bool, roles ...Role) *tls.Config {
	clientAuth := tls.RequireAnyClientCert
	if allowAnonymous {
		clientAuth = tls.RequestClientCert
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: clientAuth,
		// Resumption would bypass the check of a peer whose certificate has expired or been
		// replaced since.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.processCertificate()
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			if allowAnonymous && len(state.PeerCertificates) == 0 {
				return nil
			}
			return checkPeer(state, c.current().pool, fleet, roles, c.options.Now())
		},
	}
}

// ClientConfig returns the TLS configuration of a client of servers of a fleet that have
// one of the roles. VerifyConnection checks a server by the identity in its certificate,
// against the fleet authority, and not by its address.
func (c *Credentials) ClientConfig(fleet string, roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard check is by host name; VerifyConnection replaces it.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if c.files.Certificate == "" {
				return &tls.Certificate{}, nil
			}
			return c.processCertificate()
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return checkPeer(state, c.current().pool, fleet, roles, c.options.Now())
		},
	}
}

// processCertificate returns this process's certificate. It returns an error for an expired
// one, so that the reason is reported here and not only at the peer.
func (c *Credentials) processCertificate() (*tls.Certificate, error) {
	current := c.current()
	if current.certificate == nil {
		return nil, trace.BadParameter("this process has no certificate")
	}
	_, err := verifyCertificate(current.certificate.Leaf, x509.NewCertPool(), current.pool, c.options.Now())
	if err != nil {
		return nil, trace.Wrap(err, "the certificate of this process, %s, cannot be used", c.files.Certificate)
	}
	return current.certificate, nil
}
