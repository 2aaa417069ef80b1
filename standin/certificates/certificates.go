// Package certificates plays the authority that signs sites' certificates, for trials and tests.
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

// Authority signs certificates and keeps all files in a folder of its own.
type Authority struct {
	CertFile    string // its own certificate
	KeyPassword []byte // the password that keys are locked with; empty for none
	dir         string
	cert        *x509.Certificate
	key         crypto.Signer
	nextSerial  int64
}

// New makes an authority with a folder for its files.
func New(dir string) (*Authority, error) {
	key, err := keyutil.GenerateDefaultSigner()
	if err != nil {
		return nil, err
	}
	form := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "sites"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-24 * time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage: x509.KeyUsageCertSign}
	cert, err := x509util.CreateCertificate(form, form, key.Public(), key)
	if err != nil {
		return nil, err
	}
	a := &Authority{CertFile: filepath.Join(dir, "authority.pem"), dir: dir, cert: cert, key: key, nextSerial: 2}
	return a, writePEM(a.CertFile, cert)
}

// Issue writes a certificate for a name, good until then, and its key, into FILE.pem and FILE.key of the folder; files
// that are there are replaced.
func (a *Authority) Issue(file, name string, until time.Time) (cert, key string, err error) {
	own, err := keyutil.GenerateDefaultSigner()
	if err != nil {
		return "", "", err
	}
	form := &x509.Certificate{SerialNumber: big.NewInt(a.nextSerial), DNSNames: []string{name},
		NotBefore: time.Now().Add(-12 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	a.nextSerial++
	signed, err := x509util.CreateCertificate(form, a.cert, own.Public(), a.key)
	if err != nil {
		return "", "", err
	}
	cert, key = filepath.Join(a.dir, file+".pem"), filepath.Join(a.dir, file+".key")
	if err := writePEM(cert, signed); err != nil {
		return "", "", err
	}
	var how []pemutil.Options
	if len(a.KeyPassword) > 0 {
		how = append(how, pemutil.WithPassword(a.KeyPassword))
	}
	return cert, key, writePEM(key, own, how...)
}

func writePEM(file string, what any, how ...pemutil.Options) error {
	_, err := pemutil.Serialize(what, append(how, pemutil.ToFile(file, 0o600))...)
	return err
}
