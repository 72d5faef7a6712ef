package message

import (
	"plantainrelay/internal/burn"
)

// MethodBurn returns the service-level counts of one entry.
const MethodBurn = "ServiceLevel.Burn"

// BurnArgs asks an entry for its service-level counts.
type BurnArgs struct {
	From string
}

// BurnReply holds the service-level counts of one entry.
type BurnReply struct {
	Report burn.Report
}
