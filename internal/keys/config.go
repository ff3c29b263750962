package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"
)

// ServerConfig is the TLS configuration of a server of a fleet. Peers that show a
// certificate must be of the fleet and have one of the roles. Peers that show none
// get through the handshake only where allowAnonymous is set: an operator may prove
// himself by bearer key, and RequireRole keeps him from other services. Changed
// files are in use from the next handshake on.
func (c *Credentials) ServerConfig(fleet string, allowAnonymous bool, roles ...Role) *tls.Config {
	clientAuth := tls.RequireAnyClientCert
	if allowAnonymous {
		clientAuth = tls.RequestClientCert
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: clientAuth,
		// Resumption would pass over the check of a peer whose certificate has
		// expired or been replaced since.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.ownCertificate()
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			if allowAnonymous && len(state.PeerCertificates) == 0 {
				return nil
			}
			return checkPeer(state, c.latest().pool, fleet, roles, c.options.Now())
		},
	}
}

// ClientConfig is the TLS configuration of a client of servers of a fleet that have
// one of the roles. Servers are told by the identity in their certificate, not by
// their address, which is checked against the fleet authority in VerifyConnection.
func (c *Credentials) ClientConfig(fleet string, roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard check is by host name; VerifyConnection takes its place.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if c.files.Certificate == "" {
				return &tls.Certificate{}, nil
			}
			return c.ownCertificate()
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return checkPeer(state, c.latest().pool, fleet, roles, c.options.Now())
		},
	}
}

// ownCertificate returns this process's certificate; it refuses one that has
// expired, so that the reason is told here and not at the peer alone.
func (c *Credentials) ownCertificate() (*tls.Certificate, error) {
	current := c.latest()
	if current.certificate == nil {
		return nil, trace.BadParameter("this process has no certificate")
	}
	_, err := verifyCertificate(current.certificate.Leaf, x509.NewCertPool(), current.pool, c.options.Now())
	if err != nil {
		return nil, trace.Wrap(err, "this process's own certificate, %s", c.files.Certificate)
	}
	return current.certificate, nil
}
