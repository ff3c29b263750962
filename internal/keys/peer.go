package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Refusal is the reason why a peer was refused.
type Refusal string

// Refusal reasons.
const (
	RefusalNoCertificate    Refusal = "it showed no certificate"
	RefusalExpired          Refusal = "its certificate has expired or is not valid yet"
	RefusalUnknownAuthority Refusal = "its certificate is not of this fleet's authority"
	RefusalNoIdentity       Refusal = "its certificate holds no hazelpitch identity"
	RefusalWrongFleet       Refusal = "it belongs to another fleet"
	RefusalWrongRole        Refusal = "its role may not do this"
)

// PeerError reports that a peer was refused, and why.
type PeerError struct {
	Refusal Refusal
	// Peer is zero if the certificate could not be trusted.
	Peer   Identity
	Detail string
}

// Error returns the peer, the reason and the detail.
func (e *PeerError) Error() string {
	peer := "peer"
	if e.Peer != (Identity{}) {
		peer += " " + e.Peer.String()
	}
	return fmt.Sprintf("%s refused: %s: %s", peer, e.Refusal, e.Detail)
}

// verifyCertificate verifies a certificate's chain and validity period and returns the identity in it.
func verifyCertificate(certificate *x509.Certificate, intermediates *x509.CertPool, pool *x509.CertPool, now time.Time) (Identity, error) {
	if now.Before(certificate.NotBefore) || now.After(certificate.NotAfter) {
		identity, _ := IdentityOf(certificate)
		return Identity{}, trace.Wrap(&PeerError{Refusal: RefusalExpired, Peer: identity, Detail: fmt.Sprintf("valid from %s to %s, and it is %s",
			certificate.NotBefore.UTC().Format(time.RFC3339), certificate.NotAfter.UTC().Format(time.RFC3339), now.UTC().Format(time.RFC3339))})
	}
	_, err := certificate.Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		refusal := RefusalUnknownAuthority
		var invalid x509.CertificateInvalidError
		if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
			refusal = RefusalExpired
		}
		return Identity{}, trace.Wrap(&PeerError{Refusal: refusal, Detail: err.Error()})
	}
	identity, err := IdentityOf(certificate)
	if err != nil {
		return Identity{}, trace.Wrap(&PeerError{Refusal: RefusalNoIdentity, Detail: err.Error()})
	}
	return identity, nil
}

// checkPeer checks the certificate that a peer presented in a handshake.
func checkPeer(state tls.ConnectionState, pool *x509.CertPool, fleet string, roles []Role, now time.Time) error {
	if len(state.PeerCertificates) == 0 {
		return trace.Wrap(&PeerError{Refusal: RefusalNoCertificate, Detail: "expected one of fleet " + fleet})
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	identity, err := verifyCertificate(state.PeerCertificates[0], intermediates, pool, now)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(identity.checkAccess(fleet, roles))
}

// checkAccess checks that an identity belongs to the fleet and has one of the roles.
func (i Identity) checkAccess(fleet string, roles []Role) error {
	if i.Fleet != fleet {
		return trace.Wrap(&PeerError{Refusal: RefusalWrongFleet, Peer: i, Detail: fmt.Sprintf("its fleet is %q and this one is %q", i.Fleet, fleet)})
	}
	if !slices.Contains(roles, i.Role) {
		return trace.Wrap(&PeerError{Refusal: RefusalWrongRole, Peer: i, Detail: fmt.Sprintf("it is a %s and one of %v is needed", i.Role, roles)})
	}
	return nil
}
