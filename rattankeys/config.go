package rattankeys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"
)

// ServerConfig returns the configuration of a listener that accepts peers with
// one of the roles only. The protocols are those of ALPN, such as "h2".
func (s *Store) ServerConfig(roles []Role, protocols ...string) *tls.Config {
	config := s.serverConfig(roles, protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.serverConfig(roles, protocols), nil
	}
	return config
}

// ClientConfig returns the configuration of a connection to an instance. The
// name is the one that the instance must have; empty accepts any instance, as
// needed behind a load balancer. Instances are known by their certificates'
// role and name rather than by host names or addresses.
func (s *Store) ClientConfig(name string, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		Time:       s.options.Clock,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// The default check needs a host name and a fixed set of authorities;
		// VerifyConnection verifies the chain and the identity instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verifyInstance(state, name)
		},
	}
}

func (s *Store) serverConfig(roles []Role, protocols []string) *tls.Config {
	held := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Time:         s.options.Clock,
		Certificates: []tls.Certificate{held.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    held.authorities,
		// A resumed session would keep a replaced authority or an expired
		// certificate in force.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return requireRole(state, roles)
		},
	}
}

func (s *Store) verifyInstance(state tls.ConnectionState, name string) error {
	chain := state.PeerCertificates
	if len(chain) == 0 {
		return errors.WithType(errors.New("no server certificate"), ErrRole)
	}
	if err := s.current.Load().verify(s.options.Clock(), chain, x509.ExtKeyUsageServerAuth); err != nil {
		return errors.Trace(err)
	}
	identity, err := identify(chain[0])
	if err != nil {
		return err
	}
	if err := identity.Require(RoleInstance); err != nil {
		return err
	}
	if name != "" && identity.Name != name {
		return errors.WithType(errors.Errorf("instance %q answers, want %q", identity.Name, name), ErrRole)
	}
	return nil
}

// requireRole runs after the chain was verified.
func requireRole(state tls.ConnectionState, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return errors.WithType(errors.New("no client certificate"), ErrRole)
	}
	identity, err := identify(state.PeerCertificates[0])
	if err != nil {
		return err
	}
	return identity.Require(roles...)
}
