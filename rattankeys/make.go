package rattankeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattansettings"
)

const (
	// backdate lets a certificate be used at once on instances whose clock is
	// behind.
	backdate       = 5 * time.Minute
	serialBits     = 120
	certificateTag = "CERTIFICATE"
	keyTag         = "PRIVATE KEY"
)

// Authority signs certificates in trials; a production system brings its own.
type Authority struct {
	// CertificatePEM is for the authority files of all parties.
	CertificatePEM []byte
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
}

// CertificateRequest describes a certificate to make.
type CertificateRequest struct {
	Identity Identity
	Lifetime time.Duration
	// Addresses are IP addresses for clients that check them, such as browsers.
	Addresses []net.IP
}

// Pair is a certificate and its key in PEM form.
type Pair struct {
	CertificatePEM []byte
	KeyPEM         []byte
}

// MakeAuthority makes an authority with a new key, valid for the lifetime.
func MakeAuthority(now time.Time, name string, lifetime time.Duration) (*Authority, error) {
	template := newTemplate(now, lifetime, pkix.Name{CommonName: name})
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, der, err := sign(template, template, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Authority{CertificatePEM: encode(certificateTag, der), certificate: certificate, key: key}, nil
}

// MakeCertificate makes a certificate with a new key, signed by the authority.
// Only those of instances are for servers.
func MakeCertificate(now time.Time, authority *Authority, request CertificateRequest) (Pair, error) {
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if request.Identity.Role == RoleInstance {
		usages = append(usages, x509.ExtKeyUsageServerAuth)
	}
	return makeCertificate(now, authority, request, usages)
}

func makeCertificate(now time.Time, authority *Authority, request CertificateRequest, usages []x509.ExtKeyUsage) (Pair, error) {
	template := newTemplate(now, request.Lifetime, pkix.Name{
		CommonName:         request.Identity.Name,
		OrganizationalUnit: []string{request.Identity.Role.String()},
	})
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.IPAddresses = request.Addresses
	template.ExtKeyUsage = usages
	key, der, err := sign(template, authority.certificate, authority.key)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	return Pair{CertificatePEM: encode(certificateTag, der), KeyPEM: encode(keyTag, keyDER)}, nil
}

// WriteFiles writes the pair and the authority's certificate to the directory
// and returns their paths. Each file is replaced as a whole.
func WriteFiles(directory, name string, authority *Authority, pair Pair) (rattansettings.Keys, error) {
	keys := rattansettings.Keys{
		CertificateFile: filepath.Join(directory, name+".pem"),
		KeyFile:         filepath.Join(directory, name+".key"),
		AuthorityFile:   filepath.Join(directory, name+".authority.pem"),
	}
	for _, file := range []struct {
		path string
		data []byte
	}{
		{keys.AuthorityFile, authority.CertificatePEM},
		{keys.KeyFile, pair.KeyPEM},
		{keys.CertificateFile, pair.CertificatePEM},
	} {
		if err := replace(file.path, file.data); err != nil {
			return rattansettings.Keys{}, err
		}
	}
	return keys, nil
}

func replace(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(temporary, path))
}

func newTemplate(now time.Time, lifetime time.Duration, subject pkix.Name) *x509.Certificate {
	return &x509.Certificate{Subject: subject, NotBefore: now.Add(-backdate), NotAfter: now.Add(lifetime)}
}

// sign makes a key for the template and signs the certificate with the
// parent's key, or with its own when that is nil.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, err
	}
	template.SerialNumber = serial
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if parentKey == nil {
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	return key, der, err
}

func encode(tag string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: tag, Bytes: der})
}
