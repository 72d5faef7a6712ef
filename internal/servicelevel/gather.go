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

// Path is the path at which the administration API serves the result of Gather.
const Path = "/v1/report/burn"

const (
	gatherTimeout = 3 * time.Second
	gatherAtOnce  = 32
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

// Gathered is the sum of the reports of all entries that replied.
type Gathered struct {
	Entries []string `json:"entries"`
	// Unreachable names the known entries whose counts are missing from the
	// sum.
	Unreachable []string `json:"unreachable"`
	burn.Report
}

// Gather returns the sum of all reports and names the entries that did not
// reply.
func (g *Gatherer) Gather(ctx context.Context) (*Gathered, error) {
	own, err := g.recorder.Report()
	if err != nil {
		return nil, err
	}
	gathered := &Gathered{Entries: []string{g.self}, Unreachable: []string{}}
	reports := []burn.Report{own}
	for _, answer := range g.ask(ctx) {
		if answer.err != nil {
			gathered.Unreachable = append(gathered.Unreachable, answer.entry)
			continue
		}
		gathered.Entries = append(gathered.Entries, answer.entry)
		reports = append(reports, answer.reply.Report)
	}
	slices.Sort(gathered.Entries)
	gathered.Report, err = burn.Merge(reports...)
	return gathered, err
}

// answer is the reply of one entry, or the error of the call.
type answer struct {
	entry string
	reply message.BurnReply
	err   error
}

func (g *Gatherer) ask(ctx context.Context) []answer {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var others []member.Instance
	for _, instance := range g.members.Current().Role(member.RoleEntry) {
		if instance.Name != g.self {
			others = append(others, instance)
		}
	}
	answers := make([]answer, len(others))
	slots := make(chan struct{}, gatherAtOnce)
	var group sync.WaitGroup
	for i, instance := range others {
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			answers[i].entry = instance.Name
			answers[i].err = g.client.Call(ctx, instance.ControlAddress, message.MethodBurn, message.BurnArgs{From: g.self}, &answers[i].reply)
		}()
	}
	group.Wait()
	return answers
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
