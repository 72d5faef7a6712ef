// Package certs loads certificates for TLS listeners and clients.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"plantainrelay/internal/failure"
)

// Files names the PEM files of one side of a TLS connection. The zero value
// means that TLS is off.
type Files struct {
	Certificate string
	Key         string
	// CA names the file with the CA certificates that verify the peer. Empty
	// means that a listener's clients need no certificate.
	CA string
}

// Enabled reports whether TLS is on.
func (f Files) Enabled() bool {
	return f.Certificate != ""
}

// Server returns the configuration of a listener, or nil when TLS is off. The
// client's certificate is verified according to auth when CA is set.
func (f Files) Server(auth tls.ClientAuthType) (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	config, err := f.withCertificate()
	if err != nil || f.CA == "" {
		return config, err
	}
	config.ClientAuth = auth
	config.ClientCAs, err = f.caPool()
	return config, err
}

// Client returns the configuration of a client that expects serverName in the
// server's certificate, or nil when TLS is off.
func (f Files) Client(serverName string) (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	config, err := f.withCertificate()
	if err != nil {
		return nil, err
	}
	config.ServerName = serverName
	config.RootCAs, err = f.caPool()
	return config, err
}

func (f Files) withCertificate() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "name a PEM certificate and its key", "the certificate %s and the key %s cannot be used", f.Certificate, f.Key)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
}

func (f Files) caPool() (*x509.CertPool, error) {
	return LoadPool(f.CA)
}

// LoadPool returns a pool of the CA certificates in the PEM file at path.
func LoadPool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "name a readable PEM file", "the certificate file %s cannot be read", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, failure.New(failure.Invalid, "name a PEM file with certificates", "%s contains no certificate", path)
	}
	return pool, nil
}
