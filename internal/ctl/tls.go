package ctl

import (
	"crypto/tls"
	"net/http"

	"github.com/spf13/cobra"

	"plantainrelay/internal/certs"
	"plantainrelay/internal/failure"
)

// tlsFlags are the flags for an administration API that uses TLS.
type tlsFlags struct {
	caFile          string
	certificateFile string
	keyFile         string
}

func (f *tlsFlags) register(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&f.caFile, "ca-file", "", "PEM file of the certificate authorities to verify the server with")
	flags.StringVar(&f.certificateFile, "certificate-file", "", "PEM file of your client certificate, if the server requires one")
	flags.StringVar(&f.keyFile, "key-file", "", "PEM file of the key of your client certificate")
}

// configureTransport configures the default HTTP transport, which all calls of
// this process use.
func (f *tlsFlags) configureTransport() error {
	if *f == (tlsFlags{}) {
		return nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	var err error
	if f.caFile != "" {
		if config.RootCAs, err = certs.LoadPool(f.caFile); err != nil {
			return err
		}
	}
	if f.certificateFile != "" || f.keyFile != "" {
		pair, err := tls.LoadX509KeyPair(f.certificateFile, f.keyFile)
		if err != nil {
			return failure.Wrap(err, failure.Invalid, "give both --certificate-file and --key-file", "the client certificate cannot be loaded")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	if transport, ok := http.DefaultTransport.(*http.Transport); ok {
		transport.TLSClientConfig = config
	}
	return nil
}
