package cluster

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
)

const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority for tests.
type Authority struct {
	// IP is the address for which issued certificates are valid.
	IP          string
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority creates a certificate authority. It writes its own certificate and
// those it issues to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certificateLifetime),
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	a := &Authority{IP: UniqueLoopbackIP(), dir: dir, certificate: certificate, key: key, serial: 1}
	return a, a.write("ca.crt", "CERTIFICATE", raw)
}

// Path returns the path of a file of this authority: ca.crt, the certificate
// NAME.crt or the private key NAME.pem.
func (a *Authority) Path(file string) string {
	return filepath.Join(a.dir, file)
}

// Issue writes NAME.crt and NAME.pem for a server or client with the given DNS
// name and the address IP.
func (a *Authority) Issue(name, dnsName string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     []string{dnsName},
		IPAddresses:  []net.IP{net.ParseIP(a.IP)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := a.write(name+".pem", "PRIVATE KEY", private); err != nil {
		return err
	}
	return a.write(name+".crt", "CERTIFICATE", raw)
}

func (a *Authority) write(file, kind string, raw []byte) error {
	return os.WriteFile(a.Path(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
}
