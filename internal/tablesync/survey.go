package tablesync

import (
	"context"
	"slices"
	"sync"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/propagate"
)

const (
	surveyCallTimeout        = time.Second
	surveyTimeout            = 4 * time.Second
	maxConcurrentSurveyCalls = 32
	// maxZoneSurveyAttempts is the maximum number of instances of a zone that
	// are tried one after the other to survey that zone.
	maxZoneSurveyAttempts = 3
)

// Survey returns, by availability zone, how many instances hold revision or a
// newer one and which do not. In each zone, one instance queries the others.
func (s *Sync) Survey(ctx context.Context, revision int64) map[string]message.SurveyReply {
	zones := map[string][]member.Instance{}
	for _, instance := range s.members.Current().Instances {
		zones[instance.AvailabilityZone] = append(zones[instance.AvailabilityZone], instance)
	}
	results := map[string]message.SurveyReply{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for zone, instances := range zones {
		group.Add(1)
		go func() {
			defer group.Done()
			reply := s.surveyZone(ctx, zone, instances, revision)
			mu.Lock()
			results[zone] = reply
			mu.Unlock()
		}()
	}
	group.Wait()
	return results
}

func (s *Sync) surveyZone(ctx context.Context, zone string, instances []member.Instance, revision int64) message.SurveyReply {
	if zone == s.config.Self.AvailabilityZone {
		return s.surveyLocalZone(ctx, revision)
	}
	ranked := propagate.RankMembers("survey", instances)
	for _, instance := range ranked[:min(maxZoneSurveyAttempts, len(ranked))] {
		callCtx, cancel := context.WithTimeout(ctx, surveyTimeout)
		var reply message.SurveyReply
		err := s.client.Call(callCtx, instance.ControlAddress, message.MethodSurvey, message.SurveyArgs{Revision: revision}, &reply)
		cancel()
		if err == nil && reply.Members > 0 {
			return reply
		}
	}
	return summarizeZone(instances, map[string]bool{})
}

// surveyLocalZone queries all instances in the availability zone of this process.
func (s *Sync) surveyLocalZone(ctx context.Context, revision int64) message.SurveyReply {
	var instances []member.Instance
	for _, instance := range s.members.Current().Instances {
		if instance.AvailabilityZone == s.config.Self.AvailabilityZone {
			instances = append(instances, instance)
		}
	}
	holds := map[string]bool{}
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentSurveyCalls)
	for _, instance := range instances {
		semaphore <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-semaphore }()
			held := s.hasRevision(ctx, instance, revision)
			mu.Lock()
			holds[instance.Name] = held
			mu.Unlock()
		}()
	}
	group.Wait()
	return summarizeZone(instances, holds)
}

func (s *Sync) hasRevision(ctx context.Context, instance member.Instance, revision int64) bool {
	if instance.Name == s.config.Self.Name {
		return s.Revision() >= revision
	}
	ctx, cancel := context.WithTimeout(ctx, surveyCallTimeout)
	defer cancel()
	var reply message.PeerSummary
	err := s.client.Call(ctx, instance.ControlAddress, message.MethodTablesExchange, s.summary(instance.Name), &reply)
	return err == nil && reply.From == instance.Name && reply.Revision >= revision
}

func summarizeZone(instances []member.Instance, holds map[string]bool) message.SurveyReply {
	reply := message.SurveyReply{Members: len(instances)}
	for _, instance := range instances {
		if holds[instance.Name] {
			reply.Reached++
			continue
		}
		reply.Missing = append(reply.Missing, instance.Name)
	}
	slices.Sort(reply.Missing)
	reply.Missing = reply.Missing[:min(len(reply.Missing), message.MaxMissing)]
	return reply
}

// Survey reports which instances in the zone of this process hold a revision.
func (s *Service) Survey(args message.SurveyArgs, reply *message.SurveyReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	*reply = s.sync.surveyLocalZone(ctx, args.Revision)
	return nil
}
