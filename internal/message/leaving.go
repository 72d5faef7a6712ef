package message

// MethodLeaving notifies an entry that another entry is shutting down.
const MethodLeaving = "Entry.Leaving"

// LeavingArgs names the entry that is shutting down.
type LeavingArgs struct {
	Instance string
}

// LeavingReply is empty.
type LeavingReply struct{}
