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

// ErrUnusableFiles is returned if the files do not contain a usable
// certificate, key and authority.
const ErrUnusableFiles = errors.ConstError("unusable certificate, key or authority")

// timestampResolution is the age up to which a file with an unchanged
// modification time is read again. A second write within the resolution of the
// time stamps would otherwise not be detected.
const timestampResolution = 2 * time.Second

// Options configures a Store.
type Options struct {
	Keys rattansettings.Keys
	// Clock returns the time at which the certificates of peers are verified;
	// nil means time.Now.
	Clock func() time.Time
}

// Store holds the current certificate, key and authorities. The TLS
// configurations that it returns follow each Reload: new connections use the
// new files, and open connections are kept. A Store is safe for concurrent use,
// except that there must be only one call of Reload at a time.
type Store struct {
	options  Options
	current  atomic.Pointer[credentials]
	versions [3]fileVersion
}

// credentials holds the content of one consistent set of files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	identity    Identity
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Open loads the files. It returns ErrUnusableFiles with the name of the file
// that is at fault.
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

// Reload loads the files if they have changed, and reports whether it replaced
// the credentials. If an error occurs, for example because a certificate was
// replaced but its key was not yet, the previous credentials stay in use and
// the next call tries again.
func (s *Store) Reload(now time.Time) (bool, error) {
	versions, err := s.fileVersions()
	if err != nil {
		return false, err
	}
	if versions == s.versions && !recentlyModified(now, versions) {
		return false, nil
	}
	loaded, err := loadCredentials(now, s.options.Keys)
	if err != nil {
		return false, err
	}
	s.versions = versions
	if previous := s.current.Load(); previous != nil && previous.equal(loaded) {
		return false, nil
	}
	s.current.Store(loaded)
	return true, nil
}

// Identity returns the role and name of the store's own certificate.
func (s *Store) Identity() Identity {
	return s.current.Load().identity
}

// NotAfter returns the expiry time of the store's own certificate.
func (s *Store) NotAfter() time.Time {
	return s.current.Load().certificate.Leaf.NotAfter
}

func (s *Store) paths() [3]string {
	keys := s.options.Keys
	return [3]string{keys.CertificateFile, keys.KeyFile, keys.AuthorityFile}
}

func (s *Store) fileVersions() ([3]fileVersion, error) {
	var versions [3]fileVersion
	for i, path := range s.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return versions, errors.WithType(errors.Trace(err), ErrUnusableFiles)
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

func recentlyModified(now time.Time, versions [3]fileVersion) bool {
	for _, version := range versions {
		if now.Sub(version.modified) < timestampResolution {
			return true
		}
	}
	return false
}

func loadCredentials(now time.Time, keys rattansettings.Keys) (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(keys.CertificateFile, keys.KeyFile)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "%s with %s", keys.CertificateFile, keys.KeyFile), ErrUnusableFiles)
	}
	data, err := os.ReadFile(keys.AuthorityFile)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrUnusableFiles)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, errors.WithType(errors.Errorf("%s: no PEM certificate", keys.AuthorityFile), ErrUnusableFiles)
	}
	loaded := &credentials{certificate: certificate, authorities: authorities}
	loaded.identity, err = identityFromCertificate(certificate.Leaf)
	if err != nil {
		return nil, errors.Annotate(err, keys.CertificateFile)
	}
	// Verify the own certificate, so that the operator sees the reason here if
	// peers would reject it.
	chain := []*x509.Certificate{certificate.Leaf}
	for _, der := range certificate.Certificate[1:] {
		intermediate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, errors.WithType(errors.Annotate(err, keys.CertificateFile), ErrUnusableFiles)
		}
		chain = append(chain, intermediate)
	}
	if err := loaded.verify(now, chain, x509.ExtKeyUsageAny); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "%s with %s", keys.CertificateFile, keys.AuthorityFile), ErrUnusableFiles)
	}
	return loaded, nil
}

// verify returns an error if the chain is not signed by one of the authorities,
// not valid at the time, or not permitted for the usage.
func (c *credentials) verify(now time.Time, chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	options := x509.VerifyOptions{
		Roots:         c.authorities,
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

// equal reports whether both have the same certificate, key and authorities.
func (c *credentials) equal(other *credentials) bool {
	if !c.authorities.Equal(other.authorities) || len(c.certificate.Certificate) != len(other.certificate.Certificate) {
		return false
	}
	// The leaf contains the public key, so that equal leaves have the same key.
	return c.certificate.Leaf.Equal(other.certificate.Leaf)
}
