package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearer = "Bearer "

// Authorized reports whether r comes from a holder of the fleet's key and,
// with mutual TLS, of a certificate of the fleet.
func (s Security) Authorized(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !found || !SameSecret(token, string(s.Key)) {
		return false
	}
	return s.ServerTLS == nil || (r.TLS != nil && len(r.TLS.VerifiedChains) > 0)
}

// Authorize adds the fleet's key to the header of a request to another process
// of the fleet.
func (s Security) Authorize(header http.Header) {
	header.Set("Authorization", bearer+string(s.Key))
}

// Scheme returns the URL scheme of the fleet's HTTP listeners.
func (s Security) Scheme() string {
	if s.ClientTLS != nil {
		return "https"
	}
	return "http"
}

// SameSecret compares two secrets in a time that depends on neither.
func SameSecret(a, b string) bool {
	one, two := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(one[:], two[:]) == 1
}
