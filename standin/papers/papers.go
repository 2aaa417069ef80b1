// Package papers plays the authority that signs sites' certificates, for trials and tests.
package papers

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority signs certificates and keeps all files in a folder of its own.
type Authority struct {
	File string // its own certificate
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

// New makes an authority with a folder for its files.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	form := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "sites"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-24 * time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, form, form, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &Authority{File: filepath.Join(dir, "authority.pem"), dir: dir, cert: cert, key: key, next: 2}
	return a, write(a.File, "CERTIFICATE", der)
}

// Issue writes a certificate for a name, good until then, and its key, into NAME.pem and NAME.key of the folder; files
// that are there are replaced.
func (a *Authority) Issue(file, name string, until time.Time) (cert, key string, err error) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	form := &x509.Certificate{SerialNumber: big.NewInt(a.next), DNSNames: []string{name},
		NotBefore: time.Now().Add(-12 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	a.next++
	der, err := x509.CreateCertificate(rand.Reader, form, a.cert, &own.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	text, err := x509.MarshalECPrivateKey(own)
	if err != nil {
		return "", "", err
	}
	cert, key = filepath.Join(a.dir, file+".pem"), filepath.Join(a.dir, file+".key")
	if err := write(cert, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return cert, key, write(key, "EC PRIVATE KEY", text)
}

func write(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
