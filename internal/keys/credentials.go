package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Files names the files a process proves itself with.
type Files struct {
	// Authority holds the certificates of the authorities to trust; more than one
	// while an authority is being replaced.
	Authority string
	// Certificate and Key are this process's own; both empty for an operator who
	// proves himself by bearer key alone.
	Certificate string
	Key         string
}

// Options are what tests and runtimes may set.
type Options struct {
	// Now is the clock; default time.Now.
	Now func() time.Time
	// OnReloadError is told why changed files were not taken up. The pair read
	// before stays in use. Default: not told.
	OnReloadError func(error)
}

// Credentials are read from Files and read again when the files change. They are
// safe for concurrent use.
type Credentials struct {
	files   Files
	options Options

	mutex   sync.Mutex
	stamps  [3]fileStamp
	current material
}

// material is what one reading of the files gave.
type material struct {
	pool        *x509.CertPool
	certificate *tls.Certificate
	identity    Identity
	// authorityFleet is the fleet of the first certificate in the authority file.
	authorityFleet string
}

// fileStamp tells two contents of a file apart without reading it.
type fileStamp struct {
	modified time.Time
	size     int64
	info     os.FileInfo
}

// Load reads the files; it refuses a certificate that is expired, not yet valid,
// not of the authority, or that does not fit its key, and says which.
func Load(files Files, options Options) (*Credentials, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnReloadError == nil {
		options.OnReloadError = func(error) {}
	}
	if files.Authority == "" {
		return nil, trace.BadParameter("TLS needs the file of the fleet authority's certificate")
	}
	if (files.Certificate == "") != (files.Key == "") {
		return nil, trace.BadParameter("a certificate and its key are given together or not at all")
	}
	credentials := &Credentials{files: files, options: options}
	credentials.stamps = credentials.readStamps()
	current, err := credentials.read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	credentials.current = current
	return credentials, nil
}

// Identity is who this process is; zero without a certificate.
func (c *Credentials) Identity() Identity { return c.latest().identity }

// ExpiresAt is when this process's certificate expires; zero without a certificate.
func (c *Credentials) ExpiresAt() time.Time {
	if certificate := c.latest().certificate; certificate != nil {
		return certificate.Leaf.NotAfter
	}
	return time.Time{}
}

// AuthorityFleet is the fleet of the first authority that is trusted.
func (c *Credentials) AuthorityFleet() string { return c.latest().authorityFleet }

// latest returns the material in use, after reading changed files.
func (c *Credentials) latest() material {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stamps := c.readStamps()
	if sameStamps(stamps, c.stamps) {
		return c.current
	}
	changed, err := c.read()
	if err != nil {
		// The files may be half replaced: the stamps are kept, so that the next
		// handshake tries again.
		c.options.OnReloadError(err)
		return c.current
	}
	c.stamps, c.current = stamps, changed
	return c.current
}

func (c *Credentials) read() (material, error) {
	authority, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return material{}, trace.ConvertSystemError(err)
	}
	result := material{pool: x509.NewCertPool()}
	first, err := firstCertificate(authority)
	if err != nil || !result.pool.AppendCertsFromPEM(authority) {
		return material{}, trace.BadParameter("%s holds no certificate in PEM", c.files.Authority)
	}
	result.authorityFleet = first.Subject.CommonName
	if c.files.Certificate == "" {
		return result, nil
	}
	pair, err := readPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return material{}, trace.Wrap(err)
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return material{}, trace.BadParameter("%s and %s do not fit: %v", c.files.Certificate, c.files.Key, err)
	}
	result.certificate = &certificate
	result.identity, err = verifyCertificate(certificate.Leaf, nil, result.pool, c.options.Now())
	return result, trace.Wrap(err, "checking %s", c.files.Certificate)
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
