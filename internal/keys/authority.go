package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

const (
	// AuthorityValidity is the validity of a new authority's certificate.
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	// CertificateValidity is the default validity of a certificate.
	CertificateValidity = 90 * 24 * time.Hour
	// clockTolerance is how far certificates are backdated, for machines whose clocks are behind.
	clockTolerance = 5 * time.Minute
	// serialBits is the size of random certificate serial numbers, in bits.
	serialBits = 127
)

// Authority issues the certificates of one fleet.
type Authority struct {
	Fleet       string
	certificate *x509.Certificate
	key         crypto.Signer
}

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates the authority of a fleet.
func NewAuthority(fleet string, now time.Time) (*Authority, KeyPair, error) {
	if err := (Identity{Fleet: fleet, Role: RoleController, Name: fleet}).Validate(); err != nil {
		return nil, KeyPair{}, trace.Wrap(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, KeyPair{}, trace.Wrap(err, "generating the key of the authority")
	}
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: fleet, Organization: []string{"hazelpitch fleet authority"}},
		NotBefore:             now.Add(-clockTolerance),
		NotAfter:              now.Add(AuthorityValidity),
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, KeyPair{}, trace.Wrap(err, "signing the certificate of the authority")
	}
	pair, err := encodePair(der, key)
	if err != nil {
		return nil, KeyPair{}, trace.Wrap(err)
	}
	authority, err := ParseAuthority(pair)
	return authority, pair, trace.Wrap(err)
}

// ParseAuthority parses an authority created by NewAuthority.
func ParseAuthority(pair KeyPair) (*Authority, error) {
	certificate, key, err := decodePair(pair)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !certificate.IsCA {
		return nil, trace.BadParameter("the certificate of %q is not a CA certificate: use the certificate of a fleet authority", certificate.Subject.CommonName)
	}
	return &Authority{Fleet: certificate.Subject.CommonName, certificate: certificate, key: key}, nil
}

// Issue issues a certificate for a process or an operator of the authority's fleet.
func (a *Authority) Issue(role Role, name string, validity time.Duration, now time.Time) (KeyPair, error) {
	identity := Identity{Fleet: a.Fleet, Role: role, Name: name}
	if err := identity.Validate(); err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	if validity <= 0 {
		return KeyPair{}, trace.BadParameter("validity %s is not a positive duration", validity)
	}
	expiry := now.Add(validity)
	if expiry.After(a.certificate.NotAfter) {
		return KeyPair{}, trace.BadParameter("the certificate would outlive the authority, which expires on %s: make a new authority or a shorter certificate", a.certificate.NotAfter.Format(time.DateOnly))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, trace.Wrap(err, "generating the key of %s", identity)
	}
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     expiry,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:         []*url.URL{identity.uri()},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err, "signing the certificate of %s", identity)
	}
	return encodePair(der, key)
}

func newSerial() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		panic("keys: reading random bytes: " + err.Error()) // never happens: see crypto/rand
	}
	return serial
}
