package rattankeys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"
)

// ServerConfig returns the TLS configuration of a listener that accepts only
// peers with one of the roles. The protocols are offered by ALPN, for example
// "h2".
func (s *Store) ServerConfig(roles []Role, protocols ...string) *tls.Config {
	config := s.serverConfig(roles, protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.serverConfig(roles, protocols), nil
	}
	return config
}

// ClientConfig returns the TLS configuration of a client that connects to an
// instance. If name is not empty, the server must be the instance with that
// name; an empty name accepts any instance, which is needed behind a load
// balancer. Instances are identified by the role and name in their certificate
// instead of a host name or address.
func (s *Store) ClientConfig(name string, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		Time:       s.options.Clock,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// The default verification requires a host name and a fixed set of
		// authorities. VerifyConnection verifies the certificate chain and the
		// identity instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verifyInstance(state, name)
		},
	}
}

func (s *Store) serverConfig(roles []Role, protocols []string) *tls.Config {
	current := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Time:         s.options.Clock,
		Certificates: []tls.Certificate{current.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    current.authorities,
		// Resumed sessions would bypass a replaced authority or the expiry of a
		// certificate.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return requireRole(state, roles)
		},
	}
}

// verifyInstance verifies that the server's certificate is valid and belongs to
// an instance, which must have the name unless the name is empty.
func (s *Store) verifyInstance(state tls.ConnectionState, name string) error {
	chain := state.PeerCertificates
	if len(chain) == 0 {
		return errors.WithType(errors.New("server has presented no certificate"), ErrWrongIdentity)
	}
	if err := s.current.Load().verify(s.options.Clock(), chain, x509.ExtKeyUsageServerAuth); err != nil {
		return errors.Trace(err)
	}
	identity, err := identityFromCertificate(chain[0])
	if err != nil {
		return err
	}
	if err := identity.Require(RoleInstance); err != nil {
		return err
	}
	if name != "" && identity.Name != name {
		return errors.WithType(errors.Errorf("server is instance %q, want %q", identity.Name, name), ErrWrongIdentity)
	}
	return nil
}

// requireRole returns ErrWrongIdentity if the client's certificate grants none
// of the roles. It must be called after the certificate chain was verified.
func requireRole(state tls.ConnectionState, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return errors.WithType(errors.New("client has presented no certificate"), ErrWrongIdentity)
	}
	identity, err := identityFromCertificate(state.PeerCertificates[0])
	if err != nil {
		return err
	}
	return identity.Require(roles...)
}
