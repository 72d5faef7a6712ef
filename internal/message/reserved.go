package message

import (
	"net/http"
	"strings"
)

// reservedPrefix starts the names of the headers that carry this project's own
// protocol, in canonical form.
const reservedPrefix = "X-Plantain-"

// Reserved reports whether only processes of the fleet may set the header of
// the given canonical name.
func Reserved(name string) bool {
	return strings.HasPrefix(name, reservedPrefix)
}

// WithoutReserved returns a copy of header without the reserved names.
func WithoutReserved(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !Reserved(name) {
			kept[name] = values
		}
	}
	return kept
}
