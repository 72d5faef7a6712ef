package peer

import (
	"crypto/tls"

	"plantainrelay/internal/certs"
)

// LoadSecurity returns the credentials of a process that holds key and, if files
// is set, a certificate. Every certificate of the fleet contains serverName.
func LoadSecurity(key string, files certs.Files, serverName string) (Security, error) {
	security := Security{Key: []byte(key)}
	var err error
	if security.ServerTLS, err = files.Server(tls.VerifyClientCertIfGiven); err != nil {
		return security, err
	}
	security.ClientTLS, err = files.Client(serverName)
	return security, err
}
