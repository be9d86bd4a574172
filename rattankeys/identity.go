// Package rattankeys provides the TLS configuration of instances, callers and
// operators: mutual TLS 1.3 with certificates that carry a role and are
// reloaded at run time.
package rattankeys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Role -trimprefix=Role

// ErrWrongIdentity is returned for a certificate without the required role or
// name.
const ErrWrongIdentity = errors.ConstError("certificate has the wrong role or name")

// Role is the role that a certificate grants. It is stored in the certificate's
// organisational unit.
type Role int

// Roles of certificates.
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

// Identity is the owner of a verified certificate.
type Identity struct {
	Role Role
	// Name is the name of the caller, operator or instance.
	Name string
}

// IdentityOf returns the identity of the peer of a connection. It returns
// ErrWrongIdentity if the peer has not presented a verified certificate.
func IdentityOf(state tls.ConnectionState) (Identity, error) {
	if !state.HandshakeComplete || len(state.PeerCertificates) == 0 {
		return Identity{}, errors.WithType(errors.New("client has presented no verified certificate"), ErrWrongIdentity)
	}
	return identityFromCertificate(state.PeerCertificates[0])
}

// Require returns ErrWrongIdentity if the identity has none of the roles.
func (i Identity) Require(roles ...Role) error {
	if slices.Contains(roles, i.Role) {
		return nil
	}
	return errors.WithType(errors.Errorf("%q has role %v, want one of %v", i.Name, i.Role, roles), ErrWrongIdentity)
}

func identityFromCertificate(certificate *x509.Certificate) (Identity, error) {
	subject := certificate.Subject
	if len(subject.OrganizationalUnit) != 1 {
		return Identity{}, errors.WithType(errors.Errorf("certificate %q has organisational units %q, want one role", subject.CommonName, subject.OrganizationalUnit), ErrWrongIdentity)
	}
	role, err := rattanjson.ParseEnum([]byte(subject.OrganizationalUnit[0]), roleCount)
	if err != nil {
		return Identity{}, errors.WithType(errors.Annotatef(err, "certificate %q: organisational unit", subject.CommonName), ErrWrongIdentity)
	}
	if subject.CommonName == "" {
		return Identity{}, errors.WithType(errors.New("certificate has no common name"), ErrWrongIdentity)
	}
	return Identity{Role: role, Name: subject.CommonName}, nil
}
