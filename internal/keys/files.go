package keys

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

const (
	// AuthorityCertificateFile and AuthorityKeyFile are the names of an authority's files
	// in its directory. Processes need only the certificate.
	AuthorityCertificateFile = "authority.crt"
	AuthorityKeyFile         = "authority.key"
	certificateSuffix        = ".crt"
	keySuffix                = ".key"

	privateMode   = 0o600
	publicMode    = 0o644
	directoryMode = 0o700
)

// WriteAuthority writes a new authority into a directory. It returns an error if one exists there.
func WriteAuthority(directory string, pair KeyPair) error {
	certificate := filepath.Join(directory, AuthorityCertificateFile)
	if _, err := os.Stat(certificate); err == nil {
		return trace.AlreadyExists("%s exists: an authority is never replaced in place; use another directory", certificate)
	}
	return writePair(certificate, filepath.Join(directory, AuthorityKeyFile), pair)
}

// ReadAuthority reads the authority from a directory.
func ReadAuthority(directory string) (*Authority, error) {
	pair, err := readPair(filepath.Join(directory, AuthorityCertificateFile), filepath.Join(directory, AuthorityKeyFile))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ParseAuthority(pair)
}

// WriteCertificate writes NAME.crt and NAME.key into a directory and replaces existing files.
// Running processes load the new pair.
func WriteCertificate(directory, name string, pair KeyPair) (Files, error) {
	files := Files{
		Authority:   filepath.Join(directory, AuthorityCertificateFile),
		Certificate: filepath.Join(directory, name+certificateSuffix),
		Key:         filepath.Join(directory, name+keySuffix),
	}
	return files, trace.Wrap(writePair(files.Certificate, files.Key, pair))
}

func readPair(certificate, key string) (KeyPair, error) {
	certificateBytes, err := os.ReadFile(certificate)
	if err != nil {
		return KeyPair{}, trace.ConvertSystemError(err)
	}
	keyBytes, err := os.ReadFile(key)
	if err != nil {
		return KeyPair{}, trace.ConvertSystemError(err)
	}
	return KeyPair{Certificate: certificateBytes, Key: keyBytes}, nil
}

func writePair(certificate, key string, pair KeyPair) error {
	if err := os.MkdirAll(filepath.Dir(certificate), directoryMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := replaceFile(key, pair.Key, privateMode); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(replaceFile(certificate, pair.Certificate, publicMode))
}

// replaceFile writes a temporary file in the same directory, syncs it and renames it, so that
// a reader sees either the old content or the new one.
func replaceFile(path string, content []byte, mode os.FileMode) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.Remove(file.Name())
	defer file.Close()
	if err := file.Chmod(mode); err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := file.Write(content); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(file.Name(), path))
}
