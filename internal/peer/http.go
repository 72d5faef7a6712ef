package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// Authorized reports whether r carries the fleet key and, with mutual TLS, a
// valid client certificate.
func (s Security) Authorized(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found || !SecretsEqual(token, string(s.Key)) {
		return false
	}
	return s.ServerTLS == nil || (r.TLS != nil && len(r.TLS.VerifiedChains) > 0)
}

// Authorize adds the fleet key to the header of a request to another process of
// the fleet.
func (s Security) Authorize(header http.Header) {
	header.Set("Authorization", bearerPrefix+string(s.Key))
}

// Scheme returns the URL scheme of the fleet's HTTP listeners.
func (s Security) Scheme() string {
	if s.ClientTLS != nil {
		return "https"
	}
	return "http"
}

// SecretsEqual reports whether two secrets are equal, in a time that does not
// depend on their contents.
func SecretsEqual(a, b string) bool {
	hashA, hashB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(hashA[:], hashB[:]) == 1
}
