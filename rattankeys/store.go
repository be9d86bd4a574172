package rattankeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattansettings"
)

// ErrKeys says that the files do not form a usable certificate and key.
const ErrKeys = errors.ConstError("unusable certificate or key")

// timestampDoubt is the age below which a file with an unchanged modification
// time is read again: a second write within the resolution of the time stamps
// would otherwise go unnoticed.
const timestampDoubt = 2 * time.Second

// Options describe where a Store finds its files.
type Options struct {
	Keys rattansettings.Keys
	// Clock returns the time that decides on the validity of peers'
	// certificates; nil takes time.Now.
	Clock func() time.Time
}

// Store holds the certificate, key and authorities in force. The TLS
// configurations that it returns follow each Reload: new connections use the
// new files, and open connections stay. It is safe for concurrent use, but for
// Reload, which has one caller at a time.
type Store struct {
	options Options
	current atomic.Pointer[material]
	stamps  [3]stamp
}

// material is one consistent set of files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	identity    Identity
}

// stamp tells two versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// Open loads the files. It returns ErrKeys, naming the file at fault.
func Open(now time.Time, options Options) (*Store, error) {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	store := &Store{options: options}
	if _, err := store.Reload(now); err != nil {
		return nil, err
	}
	return store, nil
}

// Reload puts the files into force when they have changed, and reports whether
// it did. On an error, such as a certificate whose key is not yet replaced, the
// former files stay in force and the next call tries again.
func (s *Store) Reload(now time.Time) (bool, error) {
	stamps, err := s.stat()
	if err != nil {
		return false, err
	}
	if stamps == s.stamps && !recent(now, stamps) {
		return false, nil
	}
	loaded, err := load(now, s.options.Keys)
	if err != nil {
		return false, err
	}
	s.stamps = stamps
	if held := s.current.Load(); held != nil && held.equal(loaded) {
		return false, nil
	}
	s.current.Store(loaded)
	return true, nil
}

// Identity returns the role and the name of the own certificate.
func (s *Store) Identity() Identity {
	return s.current.Load().identity
}

// NotAfter returns when the own certificate ends.
func (s *Store) NotAfter() time.Time {
	return s.current.Load().certificate.Leaf.NotAfter
}

func (s *Store) files() [3]string {
	keys := s.options.Keys
	return [3]string{keys.CertificateFile, keys.KeyFile, keys.AuthorityFile}
}

func (s *Store) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range s.files() {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.WithType(errors.Trace(err), ErrKeys)
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func recent(now time.Time, stamps [3]stamp) bool {
	for _, stamp := range stamps {
		if now.Sub(stamp.modified) < timestampDoubt {
			return true
		}
	}
	return false
}

func load(now time.Time, keys rattansettings.Keys) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(keys.CertificateFile, keys.KeyFile)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "%s with %s", keys.CertificateFile, keys.KeyFile), ErrKeys)
	}
	data, err := os.ReadFile(keys.AuthorityFile)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrKeys)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, errors.WithType(errors.Errorf("%s: no PEM certificate", keys.AuthorityFile), ErrKeys)
	}
	loaded := &material{certificate: certificate, authorities: authorities}
	loaded.identity, err = identify(certificate.Leaf)
	if err != nil {
		return nil, errors.Annotate(err, keys.CertificateFile)
	}
	// A certificate that no peer accepts is refused here, where the operator
	// sees the reason.
	chain := []*x509.Certificate{certificate.Leaf}
	for _, der := range certificate.Certificate[1:] {
		intermediate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, errors.WithType(errors.Annotate(err, keys.CertificateFile), ErrKeys)
		}
		chain = append(chain, intermediate)
	}
	if err := loaded.verify(now, chain, x509.ExtKeyUsageAny); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "%s with %s", keys.CertificateFile, keys.AuthorityFile), ErrKeys)
	}
	return loaded, nil
}

// verify returns an error for a chain that no authority in force has signed.
func (m *material) verify(now time.Time, chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	options := x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, intermediate := range chain[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := chain[0].Verify(options)
	return err
}

func (m *material) equal(other *material) bool {
	if !m.authorities.Equal(other.authorities) || len(m.certificate.Certificate) != len(other.certificate.Certificate) {
		return false
	}
	// The leaf contains the public key, so that an equal one has the same key.
	return m.certificate.Leaf.Equal(other.certificate.Leaf)
}
