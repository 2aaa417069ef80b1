// Package certificates is a certificate authority for measurements and tests: it signs the certificates of sites.
package certificates

import (
	"crypto"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"path/filepath"
	"time"

	"go.step.sm/crypto/keyutil"
	"go.step.sm/crypto/pemutil"
	"go.step.sm/crypto/x509util"
)

// Authority signs certificates and writes them and their keys into a folder.
type Authority struct {
	CertFile    string // path of the authority's own certificate
	KeyPassword []byte // encrypts the keys that Issue writes; empty for no encryption
	dir         string
	cert        *x509.Certificate
	key         crypto.Signer
	nextSerial  int64
}

// New creates an authority and writes its certificate, authority.pem, into dir.
func New(dir string) (*Authority, error) {
	key, err := keyutil.GenerateDefaultSigner()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "sites"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-24 * time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage: x509.KeyUsageCertSign}
	cert, err := x509util.CreateCertificate(template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	a := &Authority{CertFile: filepath.Join(dir, "authority.pem"), dir: dir, cert: cert, key: key, nextSerial: 2}
	return a, writePEM(a.CertFile, cert)
}

// Issue writes a certificate for a DNS name, valid until the given time, and its key to FILE.pem and FILE.key in the folder.
// Existing files are replaced.
func (a *Authority) Issue(file, name string, until time.Time) (cert, key string, err error) {
	leafKey, err := keyutil.GenerateDefaultSigner()
	if err != nil {
		return "", "", err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(a.nextSerial), DNSNames: []string{name},
		NotBefore: time.Now().Add(-12 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	a.nextSerial++
	signed, err := x509util.CreateCertificate(template, a.cert, leafKey.Public(), a.key)
	if err != nil {
		return "", "", err
	}
	cert, key = filepath.Join(a.dir, file+".pem"), filepath.Join(a.dir, file+".key")
	if err := writePEM(cert, signed); err != nil {
		return "", "", err
	}
	var options []pemutil.Options
	if len(a.KeyPassword) > 0 {
		options = append(options, pemutil.WithPassword(a.KeyPassword))
	}
	return cert, key, writePEM(key, leafKey, options...)
}

func writePEM(file string, value any, options ...pemutil.Options) error {
	_, err := pemutil.Serialize(value, append(options, pemutil.ToFile(file, 0o600))...)
	return err
}
