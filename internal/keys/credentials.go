package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Files are the paths of the files with which a process authenticates itself.
type Files struct {
	// Authority contains the certificates of the trusted authorities; more than one while an
	// authority is being replaced.
	Authority string
	// Certificate and Key are those of this process; both are empty for an operator who
	// authenticates with a bearer key only.
	Certificate string
	Key         string
}

// Options are optional dependencies of Credentials.
type Options struct {
	// Now is the clock; default time.Now.
	Now func() time.Time
	// OnReloadError is called with the reason when changed files cannot be loaded. The material
	// loaded before remains in use. By default the error is ignored.
	OnReloadError func(error)
}

// Credentials are loaded from Files and reloaded when the files change. They are safe for
// concurrent use.
type Credentials struct {
	files   Files
	options Options

	mutex  sync.Mutex
	stamps [3]fileStamp
	loaded material
}

// material is the parsed content of the credential files.
type material struct {
	pool        *x509.CertPool
	certificate *tls.Certificate
	identity    Identity
	// authorityFleet is the fleet of the first certificate in the authority file.
	authorityFleet string
}

// fileStamp distinguishes versions of a file without reading it.
type fileStamp struct {
	modified time.Time
	size     int64
	info     os.FileInfo
}

// Load loads the files. It returns an error that names the file if a certificate is expired, not yet
// valid, not issued by the authority, or does not match its key.
func Load(files Files, options Options) (*Credentials, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnReloadError == nil {
		options.OnReloadError = func(error) {}
	}
	if files.Authority == "" {
		return nil, trace.BadParameter("TLS requires the file with the certificate of the fleet authority")
	}
	if (files.Certificate == "") != (files.Key == "") {
		return nil, trace.BadParameter("the certificate and the key must be set together or not at all")
	}
	credentials := &Credentials{files: files, options: options}
	credentials.stamps = credentials.readStamps()
	loaded, err := credentials.readFiles()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	credentials.loaded = loaded
	return credentials, nil
}

// Identity returns the identity of this process; zero without a certificate.
func (c *Credentials) Identity() Identity { return c.current().identity }

// ExpiresAt returns when this process's certificate expires; zero without a certificate.
func (c *Credentials) ExpiresAt() time.Time {
	if certificate := c.current().certificate; certificate != nil {
		return certificate.Leaf.NotAfter
	}
	return time.Time{}
}

// AuthorityFleet returns the fleet of the first trusted authority.
func (c *Credentials) AuthorityFleet() string { return c.current().authorityFleet }

// current returns the material in use. It reloads the files first if they have changed.
func (c *Credentials) current() material {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stamps := c.readStamps()
	if sameStamps(stamps, c.stamps) {
		return c.loaded
	}
	changed, err := c.readFiles()
	if err != nil {
		// The files may be partly replaced: the stamps remain unchanged so that the next
		// handshake loads the files again.
		c.options.OnReloadError(err)
		return c.loaded
	}
	c.stamps, c.loaded = stamps, changed
	return c.loaded
}

func (c *Credentials) readFiles() (material, error) {
	authority, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return material{}, trace.ConvertSystemError(err)
	}
	loaded := material{pool: x509.NewCertPool()}
	first, err := parseFirstCertificate(authority)
	if err != nil || !loaded.pool.AppendCertsFromPEM(authority) {
		return material{}, trace.BadParameter("%s holds no certificate in PEM", c.files.Authority)
	}
	loaded.authorityFleet = first.Subject.CommonName
	if c.files.Certificate == "" {
		return loaded, nil
	}
	pair, err := readPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return material{}, trace.Wrap(err)
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return material{}, trace.BadParameter("%s and %s do not fit: %v", c.files.Certificate, c.files.Key, err)
	}
	loaded.certificate = &certificate
	loaded.identity, err = verifyCertificate(certificate.Leaf, nil, loaded.pool, c.options.Now())
	return loaded, trace.Wrap(err, "checking the certificate in %s", c.files.Certificate)
}

func (c *Credentials) readStamps() [3]fileStamp {
	var stamps [3]fileStamp
	for i, path := range []string{c.files.Authority, c.files.Certificate, c.files.Key} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size(), info: info}
		}
	}
	return stamps
}

func sameStamps(a, b [3]fileStamp) bool {
	for i := range a {
		sameFile := a[i].info == nil && b[i].info == nil || a[i].info != nil && b[i].info != nil && os.SameFile(a[i].info, b[i].info)
		if !sameFile || !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}
