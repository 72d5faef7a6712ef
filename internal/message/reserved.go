package message

import "strings"

// reservedHeaderPrefix is the prefix, in canonical form, of the headers of this
// project's own protocol.
const reservedHeaderPrefix = "X-Plantain-"

// IsReservedHeader reports whether the header with the given canonical name may be set
// only by processes of the fleet.
func IsReservedHeader(name string) bool {
	return strings.HasPrefix(name, reservedHeaderPrefix)
}
