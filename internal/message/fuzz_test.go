package message_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
)

// messages are new values of what processes of the fleet send to each other.
var messages = []func() any{
	func() any { return &message.Summary{} },
	func() any { return &message.FetchArgs{} },
	func() any { return &message.FetchReply{} },
	func() any { return &message.SurveyArgs{} },
	func() any { return &message.SurveyReply{} },
	func() any { return &message.StateReply{} },
	func() any { return &message.FateArgs{} },
	func() any { return &message.FateReply{} },
	func() any { return &message.AnnounceArgs{} },
	func() any { return &message.AnnounceReply{} },
	func() any { return &message.OwnersArgs{} },
	func() any { return &message.OwnersReply{} },
	func() any { return &message.KeyFateArgs{} },
	func() any { return &message.KeyFateReply{} },
}

// FuzzMessages decodes bytes as each message, as net/rpc does with what a peer
// sends, and uses what comes out.
func FuzzMessages(f *testing.F) {
	snapshot := &table.Snapshot{Revision: 7, Tables: table.Tables{Pools: []table.Pool{{Name: "model", Instances: []string{"a-*"}}}}}
	for _, seed := range []any{
		message.FetchReply{Snapshot: snapshot, Parts: []member.Part{{Index: 3, Stamp: 9, Rows: []member.Instance{{Name: "a"}}}}},
		message.AnnounceArgs{Instance: "a", Have: weights.Bitmap{0xff}},
		message.FateReply{Answer: &message.Answer{Status: 200, Header: map[string][]string{"A": {"b"}}, Body: []byte("x")}},
	} {
		var raw bytes.Buffer
		if err := gob.NewEncoder(&raw).Encode(seed); err != nil {
			f.Fatal(err)
		}
		f.Add(raw.Bytes())
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		for _, empty := range messages {
			value := empty()
			if gob.NewDecoder(bytes.NewReader(raw)).Decode(value) != nil {
				continue
			}
			switch decoded := value.(type) {
			case *message.FetchReply:
				use(decoded.Snapshot)
				directory := &member.Directory{}
				directory.Merge(decoded.Parts)
				_, _ = directory.Digest()
				_ = directory.List()
			case *message.FetchArgs:
				_ = (&member.Directory{}).Newer(decoded.Stamps)
			case *message.AnnounceArgs:
				_, _ = decoded.Have.Count(), decoded.Have.Has(-1)
			}
		}
	})
}

func use(snapshot *table.Snapshot) {
	var holder table.Holder
	holder.Offer(snapshot)
	if snapshot == nil {
		return
	}
	snapshot.Match(table.Request{Customer: "a", Path: "/", Header: func(string) string { return "" }})
	snapshot.PoolOf("a")
	table.Validate(&snapshot.Tables)
}
