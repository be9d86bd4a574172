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
	// clockSkewAllowance is how far in the past the validity of a certificate
	// begins, so that instances whose clock is behind accept it at once.
	clockSkewAllowance   = 5 * time.Minute
	serialBits           = 120
	certificateBlockType = "CERTIFICATE"
	keyBlockType         = "PRIVATE KEY"
)

// Authority is a certificate authority for test systems. Production systems use
// an authority of their own.
type Authority struct {
	// CertificatePEM is the content of the authority file of every party.
	CertificatePEM []byte
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
}

// CertificateRequest describes a certificate to be issued.
type CertificateRequest struct {
	Identity Identity
	Lifetime time.Duration
	// Addresses are the IP addresses of the subject, for clients that verify
	// them, such as browsers.
	Addresses []net.IP
}

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	CertificatePEM []byte
	KeyPEM         []byte
}

// MakeAuthority creates an authority with a new key, valid for the lifetime.
func MakeAuthority(now time.Time, name string, lifetime time.Duration) (*Authority, error) {
	template := newTemplate(now, lifetime, pkix.Name{CommonName: name})
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, der, err := signWithNewKey(template, template, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Authority{CertificatePEM: encodePEM(certificateBlockType, der), certificate: certificate, key: key}, nil
}

// MakeCertificate creates a certificate with a new key, signed by the
// authority. Only certificates of instances may be used by servers.
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
	key, der, err := signWithNewKey(template, authority.certificate, authority.key)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Trace(err)
	}
	return Pair{CertificatePEM: encodePEM(certificateBlockType, der), KeyPEM: encodePEM(keyBlockType, keyDER)}, nil
}

// WriteFiles writes the pair and the authority's certificate to the directory
// and returns the paths. Each file is replaced atomically.
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
		if err := replaceFile(file.path, file.data); err != nil {
			return rattansettings.Keys{}, err
		}
	}
	return keys, nil
}

func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(temporary, path))
}

func newTemplate(now time.Time, lifetime time.Duration, subject pkix.Name) *x509.Certificate {
	return &x509.Certificate{Subject: subject, NotBefore: now.Add(-clockSkewAllowance), NotAfter: now.Add(lifetime)}
}

// signWithNewKey creates a key for the template and signs the certificate with
// the parent's key. If parentKey is nil, the certificate is self-signed. It
// returns the new key and the certificate in DER form.
func signWithNewKey(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte, error) {
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

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
