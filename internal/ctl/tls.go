package ctl

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/spf13/cobra"

	"plantainrelay/internal/certs"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
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

// configureClient configures the default HTTP client, which all calls of this
// process use.
func (f *tlsFlags) configureClient() error {
	transport, ok := http.DefaultClient.Transport.(*message.Transport)
	if !ok {
		transport = message.NewTransport(&net.Dialer{Timeout: callTimeout})
		transport.Proxy = http.ProxyFromEnvironment
		http.DefaultClient.Transport = transport
	}
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
	transport.TLSClientConfig = config
	return nil
}
