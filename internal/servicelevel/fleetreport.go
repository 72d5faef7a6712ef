package servicelevel

import (
	"context"
	"slices"
	"sync"
	"time"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
)

// ReportPath is the path at which the administration API serves the result of Gather.
const ReportPath = "/v1/report/burn"

const (
	gatherTimeout      = 3 * time.Second
	maxConcurrentCalls = 32
)

// Gatherer collects the reports of all entries.
type Gatherer struct {
	self     string
	recorder *Recorder
	members  *membership.View
	client   *peer.Client
}

// NewGatherer returns a gatherer that runs on the entry self.
func NewGatherer(self string, recorder *Recorder, members *membership.View, client *peer.Client) *Gatherer {
	return &Gatherer{self: self, recorder: recorder, members: members, client: client}
}

// FleetReport is the sum of the reports of all entries that replied.
type FleetReport struct {
	Entries []string `json:"entries"`
	// Unreachable names the known entries whose counts are missing from the
	// sum.
	Unreachable []string `json:"unreachable"`
	burn.Report
}

// Gather returns the sum of all reports and names the entries that did not
// reply.
func (g *Gatherer) Gather(ctx context.Context) (*FleetReport, error) {
	own, err := g.recorder.Report()
	if err != nil {
		return nil, err
	}
	result := &FleetReport{Entries: []string{g.self}, Unreachable: []string{}}
	reports := []burn.Report{own}
	for _, reply := range g.callEntries(ctx) {
		if reply.err != nil {
			result.Unreachable = append(result.Unreachable, reply.entry)
			continue
		}
		result.Entries = append(result.Entries, reply.entry)
		reports = append(reports, reply.body.Report)
	}
	slices.Sort(result.Entries)
	result.Report, err = burn.Merge(reports...)
	return result, err
}

// entryReply is the reply of one entry, or the error of the call.
type entryReply struct {
	entry string
	body  message.BurnReply
	err   error
}

func (g *Gatherer) callEntries(ctx context.Context) []entryReply {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var others []member.Instance
	for _, instance := range g.members.Current().Role(member.RoleEntry) {
		if instance.Name != g.self {
			others = append(others, instance)
		}
	}
	replies := make([]entryReply, len(others))
	slots := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for i, instance := range others {
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			replies[i].entry = instance.Name
			replies[i].err = g.client.Call(ctx, instance.ControlAddress, message.MethodBurn, message.BurnArgs{From: g.self}, &replies[i].body)
		}()
	}
	group.Wait()
	return replies
}

// Service implements the net/rpc service "ServiceLevel".
type Service struct {
	recorder *Recorder
}

// NewService returns the service over recorder.
func NewService(recorder *Recorder) *Service {
	return &Service{recorder: recorder}
}

// Burn returns the counts of this entry.
func (s *Service) Burn(_ message.BurnArgs, reply *message.BurnReply) error {
	report, err := s.recorder.Report()
	reply.Report = report
	return err
}
