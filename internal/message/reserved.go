package message

import "strings"

// reservedHeaderPrefix starts the names of the headers that carry this project's own
// protocol, in canonical form.
const reservedHeaderPrefix = "X-Plantain-"

// Reserved reports whether only processes of the fleet may set the header of
// the given canonical name.
func Reserved(name string) bool {
	return strings.HasPrefix(name, reservedHeaderPrefix)
}
