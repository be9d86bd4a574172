// Package rattankeys gives instances, callers and operators their TLS
// configuration: TLS 1.3 with certificates on both sides, reloaded while the
// process runs, and roles that the certificates carry.
package rattankeys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Role -trimprefix=Role

// ErrRole says that a certificate has not the role or the name that is needed.
const ErrRole = errors.ConstError("certificate has another role or name")

// Role is what a certificate entitles its holder to. It is the certificate's
// organisational unit.
type Role int

// The roles.
const (
	RoleCaller Role = iota
	RoleOperator
	RoleInstance
	roleCount
)

// MarshalText returns the name of the role.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a role.
func (r *Role) UnmarshalText(text []byte) (err error) {
	*r, err = rattanjson.ParseEnum(text, roleCount)
	return err
}

// Identity is who a verified certificate belongs to.
type Identity struct {
	Role Role
	// Name is that of the caller, operator or instance.
	Name string
}

// IdentityOf returns the identity of the peer of a connection. It returns
// ErrRole when the peer has presented no certificate that was verified.
func IdentityOf(state tls.ConnectionState) (Identity, error) {
	if !state.HandshakeComplete || len(state.PeerCertificates) == 0 {
		return Identity{}, errors.WithType(errors.New("no client certificate"), ErrRole)
	}
	return identify(state.PeerCertificates[0])
}

// Require returns ErrRole when the identity has none of the roles.
func (i Identity) Require(roles ...Role) error {
	if slices.Contains(roles, i.Role) {
		return nil
	}
	return errors.WithType(errors.Errorf("%q has role %v, want one of %v", i.Name, i.Role, roles), ErrRole)
}

func identify(certificate *x509.Certificate) (Identity, error) {
	subject := certificate.Subject
	if len(subject.OrganizationalUnit) != 1 {
		return Identity{}, errors.WithType(errors.Errorf("certificate %q has organisational units %q, want one role", subject.CommonName, subject.OrganizationalUnit), ErrRole)
	}
	role, err := rattanjson.ParseEnum([]byte(subject.OrganizationalUnit[0]), roleCount)
	if err != nil {
		return Identity{}, errors.WithType(errors.Annotatef(err, "certificate %q: organisational unit", subject.CommonName), ErrRole)
	}
	if subject.CommonName == "" {
		return Identity{}, errors.WithType(errors.New("certificate has no common name"), ErrRole)
	}
	return Identity{Role: role, Name: subject.CommonName}, nil
}
