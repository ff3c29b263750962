package operatorcommand

import (
	"context"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/keys"
)

// authorityInitCommand implements hazelctl authority init.
type authorityInitCommand struct {
	global *globalFlags
	Source struct {
		Directory string `positional-arg-name:"DIR" description:"directory for the authority; keep it off the fleet's machines"`
	} `positional-args:"yes" required:"yes"`
}

func (a *authorityInitCommand) run(_ context.Context, environment Environment) error {
	if a.global.Fleet == "" {
		return newUsageError("name the fleet as in the settings files: give --fleet NAME")
	}
	_, pair, err := keys.NewAuthority(a.global.Fleet, environment.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	if err := keys.WriteAuthority(a.Source.Directory, pair); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(environment.Stdout, "authority of fleet %s in %s: copy %s to every process, and %s to none\n",
		a.global.Fleet, a.Source.Directory, keys.AuthorityCertificateFile, keys.AuthorityKeyFile)
	return nil
}

// certificateIssueCommand implements hazelctl certificate issue.
type certificateIssueCommand struct {
	Authority string        `long:"authority" required:"yes" value-name:"DIR" description:"directory of the fleet authority"`
	Role      string        `long:"role" required:"yes" choice:"controller" choice:"gateway" choice:"operator" description:"what the holder is"`
	Name      string        `long:"name" required:"yes" value-name:"NAME" description:"name of the process, as in its settings file, or of the operator"`
	Out       string        `long:"out" required:"yes" value-name:"DIR" description:"directory for NAME.crt and NAME.key; files there are replaced"`
	Valid     time.Duration `long:"valid" default:"2160h" value-name:"DURATION" description:"how long the certificate is valid"`
}

func (c *certificateIssueCommand) run(_ context.Context, environment Environment) error {
	authority, err := keys.ReadAuthority(c.Authority)
	if err != nil {
		return trace.Wrap(err)
	}
	pair, err := authority.Issue(keys.Role(c.Role), c.Name, c.Valid, environment.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	files, err := keys.WriteCertificate(c.Out, c.Name, pair)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(environment.Stdout, "%s and %s for %s %s of fleet %s, valid until %s\n",
		files.Certificate, filepath.Base(files.Key), c.Role, c.Name, authority.Fleet, environment.Now().Add(c.Valid).UTC().Format(time.RFC3339))
	return nil
}

// certificateShowCommand implements hazelctl certificate show.
type certificateShowCommand struct {
	global *globalFlags
	Source struct {
		Path string `positional-arg-name:"FILE" description:"certificate in PEM"`
	} `positional-args:"yes" required:"yes"`
}

// certificateResult is the output of certificate show with --json.
type certificateResult struct {
	Identity  string    `json:"identity"`
	NotBefore time.Time `json:"not_before"`
	NotAfter  time.Time `json:"not_after"`
	Expired   bool      `json:"expired"`
}

func (c *certificateShowCommand) run(_ context.Context, environment Environment) error {
	content, err := os.ReadFile(c.Source.Path)
	if err != nil {
		return trace.BadParameter("can't read the certificate: %v", err)
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return trace.BadParameter("%s holds no certificate in PEM", c.Source.Path)
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return trace.BadParameter("%s: %v", c.Source.Path, err)
	}
	result := certificateResult{NotBefore: certificate.NotBefore.UTC(), NotAfter: certificate.NotAfter.UTC(), Expired: environment.Now().After(certificate.NotAfter)}
	identity, err := keys.IdentityOf(certificate)
	switch {
	case certificate.IsCA:
		result.Identity = "authority of fleet " + certificate.Subject.CommonName
	case err != nil:
		return trace.Wrap(err)
	default:
		result.Identity = identity.String()
	}
	if c.global.JSON {
		return writeJSON(environment.Stdout, result)
	}
	state := "valid"
	if result.Expired {
		state = "EXPIRED"
	}
	fmt.Fprintf(environment.Stdout, "%s\n%s: from %s to %s\n", result.Identity, state, result.NotBefore.Format(time.RFC3339), result.NotAfter.Format(time.RFC3339))
	return nil
}
