package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"

	"github.com/gravitational/trace"
)

const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

func encodePair(der []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: keyBytes}),
	}, nil
}

func decodePair(pair KeyPair) (*x509.Certificate, crypto.Signer, error) {
	both, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, nil, trace.BadParameter("the certificate and its key do not fit: %v", err)
	}
	signer, canSign := both.PrivateKey.(crypto.Signer)
	if !canSign {
		return nil, nil, trace.BadParameter("the private key is of a type that cannot sign")
	}
	return both.Leaf, signer, nil
}

// parseFirstCertificate parses the first certificate of a PEM file.
func parseFirstCertificate(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemCertificate {
		return nil, trace.BadParameter("no certificate in PEM")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	return certificate, trace.Wrap(err)
}
