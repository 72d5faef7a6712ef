package message

// MethodLeaving tells an entry that another one is leaving.
const MethodLeaving = "Entry.Leaving"

// LeavingArgs names the entry that is leaving.
type LeavingArgs struct {
	Instance string
}

// LeavingReply is empty.
type LeavingReply struct{}
