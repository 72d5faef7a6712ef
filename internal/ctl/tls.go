package ctl

import (
	"crypto/tls"
	"net/http"

	"github.com/spf13/cobra"

	"plantainrelay/internal/certs"
	"plantainrelay/internal/failure"
)

// tlsFlags name the files for an administration API that uses TLS.
type tlsFlags struct {
	authorities string
	certificate string
	key         string
}

func (f *tlsFlags) register(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&f.authorities, "ca-file", "", "PEM file of the authorities that vouch for the server")
	flags.StringVar(&f.certificate, "certificate-file", "", "PEM file of your certificate, where the server asks for one")
	flags.StringVar(&f.key, "key-file", "", "PEM file of your certificate's key")
}

// apply makes the calls of this process use the files.
func (f *tlsFlags) apply() error {
	if *f == (tlsFlags{}) {
		return nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	var err error
	if f.authorities != "" {
		if config.RootCAs, err = certs.Pool(f.authorities); err != nil {
			return err
		}
	}
	if f.certificate != "" || f.key != "" {
		pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
		if err != nil {
			return failure.Wrap(err, failure.Invalid, "give both --certificate-file and --key-file", "your certificate cannot be used")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	if transport, ok := http.DefaultTransport.(*http.Transport); ok {
		transport.TLSClientConfig = config
	}
	return nil
}
