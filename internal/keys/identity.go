package keys

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"

	"github.com/gravitational/trace"
)

// Role is the role of the holder of a certificate.
type Role string

// Roles in certificates.
const (
	RoleController Role = "controller"
	RoleGateway    Role = "gateway"
	RoleOperator   Role = "operator"
)

// Roles lists all roles.
var Roles = []Role{RoleController, RoleGateway, RoleOperator}

// identityScheme is the scheme of the URI that encodes an Identity.
const identityScheme = "hazelpitch"

var identityPart = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,127}$`)

// Identity is the holder of a certificate. It is encoded in the certificate's only subject
// alternative name, the URI hazelpitch://FLEET/ROLE/NAME.
type Identity struct {
	Fleet string
	Role  Role
	Name  string
}

// String returns the URI that encodes the identity.
func (i Identity) String() string {
	return identityScheme + "://" + i.Fleet + "/" + string(i.Role) + "/" + i.Name
}

// Validate returns an error if the identity cannot be encoded in a certificate.
func (i Identity) Validate() error {
	if !identityPart.MatchString(i.Fleet) {
		return trace.BadParameter("fleet %q is not a name: use letters, digits, '.', '_' and '-'", i.Fleet)
	}
	if !identityPart.MatchString(i.Name) {
		return trace.BadParameter("process %q is not a name: use letters, digits, '.', '_' and '-'", i.Name)
	}
	for _, role := range Roles {
		if i.Role == role {
			return nil
		}
	}
	return trace.BadParameter("unknown role %q: use controller, gateway or operator", i.Role)
}

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: i.Fleet, Path: "/" + string(i.Role) + "/" + i.Name}
}

// IdentityOf returns the identity in a certificate.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	for _, uri := range certificate.URIs {
		if uri.Scheme != identityScheme {
			continue
		}
		role, name, _ := strings.Cut(strings.TrimPrefix(uri.Path, "/"), "/")
		identity := Identity{Fleet: uri.Host, Role: Role(role), Name: name}
		return identity, trace.Wrap(identity.Validate())
	}
	return Identity{}, trace.BadParameter("the certificate of %q contains no hazelpitch identity: issue one with hazelctl certificate issue", certificate.Subject.CommonName)
}
