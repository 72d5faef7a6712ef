package ctl

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/message"
	"plantainrelay/internal/rollout"
)

func TestStatusSumsUpPools(t *testing.T) {
	const size = 100 << 20
	status := admin.Status{Revision: 4, Agents: map[string]message.StateReply{
		"model-1": {Pool: "model", Open: true, Stage: rollout.StageFetching, Held: 10, Chunks: 100, Size: size},
		"model-2": {Pool: "model", Open: true, Stage: rollout.StageWaiting, Held: 100, Chunks: 100, Size: size, Cause: "the rollout is paused"},
		"desk-1":  {Pool: "desk", Open: true},
	}}
	before := summarizePools(status)
	agent := status.Agents["model-1"]
	agent.Held = 30
	status.Agents["model-1"] = agent
	pools := summarizePools(status)
	estimateRemaining(pools, before, 2*time.Second)
	qt.Assert(t, pools, qt.HasLen, 2)
	qt.Assert(t, pools[1].heldBytes, qt.Equals, int64(130<<20))
	qt.Assert(t, pools[1].remaining, qt.Equals, 7*time.Second)
	var out bytes.Buffer
	printPools(&out, pools)
	qt.Assert(t, out.String(), qt.Matches, `(?s).*model +2 +2 +1 +1 +0 +0 +0 +130/200 +7s.*model: the rollout is paused.*`)
}
