package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/beat"
)

const (
	// maxUsagePools and maxUsageCustomers bound the pools in a heartbeat, those with most
	// requests in progress, and the customers of each. A heartbeat grows by at most
	// maxUsageBytes.
	maxUsagePools     = 4
	maxUsageCustomers = 4
	maxUsageBytes     = 200
)

// poolKey identifies a pool between entries in few bytes.
func poolKey(pool string) uint32 { return uint32(xxhash.Sum64String(pool)) }

// customerUsages returns the requests in progress by customer for the next heartbeat. There are
// none if the tables have a single customer.
func (h *heartbeater) customerUsages(now time.Time) []beat.PoolUsage {
	if table := h.view.table(); table == nil || !table.HasSeveralCustomers() {
		return nil
	}
	return h.scheduler.poolUsages(now)
}

// poolUsages returns the requests in progress by customer, of the pools where requests had to
// wait lately.
func (s *scheduler) poolUsages(now time.Time) []beat.PoolUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	type poolUsage struct {
		beat.PoolUsage
		running int
	}
	var all []poolUsage
	for pool, queue := range s.queues {
		if usage, contended := queue.Usage(maxUsageCustomers, now); contended {
			all = append(all, poolUsage{PoolUsage: encodeUsage(pool, usage), running: queue.Running()})
		}
	}
	slices.SortFunc(all, func(a, b poolUsage) int {
		return cmp.Or(cmp.Compare(b.running, a.running), cmp.Compare(a.Pool, b.Pool))
	})
	var usages []beat.PoolUsage
	for _, one := range all[:min(len(all), maxUsagePools)] {
		usages = append(usages, one.PoolUsage)
	}
	return usages
}

func encodeUsage(pool string, usage admission.Usage) beat.PoolUsage {
	encoded := beat.PoolUsage{Pool: poolKey(pool), Rest: usage.Rest, WaitingClass: encodeClass(usage.Class), SmallClass: encodeClass(usage.SmallClass)}
	for _, one := range usage.Top {
		encoded.Top = append(encoded.Top, beat.CustomerUsage{Customer: uint32(one.Customer), Count: one.Running})
	}
	return encoded
}

// encodeClass leaves 0 for no class.
func encodeClass(class int) int {
	if class == admission.NoClass {
		return 0
	}
	return class + 1
}

func decodeClass(encoded int) int {
	if encoded <= 0 {
		return admission.NoClass
	}
	return encoded - 1
}

// recordPeerUsages records the requests in progress by customer at another entry. It has
// reported nothing about the pools that are not named.
func (s *scheduler) recordPeerUsages(peer string, usages []beat.PoolUsage, at time.Time) {
	byPool := make(map[uint32]beat.PoolUsage, len(usages))
	for _, encoded := range usages {
		byPool[encoded.Pool] = encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, queue := range s.queues {
		queue.RecordPeerUsage(peer, decodeUsage(byPool[poolKey(pool)]), at)
	}
}

// decodeUsage leaves out negative numbers, which no entry sends.
func decodeUsage(encoded beat.PoolUsage) admission.Usage {
	usage := admission.Usage{Rest: max(encoded.Rest, 0), Waiting: admission.Waiting{Class: decodeClass(encoded.WaitingClass), SmallClass: decodeClass(encoded.SmallClass)}}
	for _, one := range encoded.Top[:min(len(encoded.Top), maxUsageCustomers)] {
		usage.Top = append(usage.Top, admission.CustomerUsage{Customer: admission.CustomerKey(one.Customer), Running: max(one.Count, 0)})
	}
	return usage
}
