package relay

import (
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

// reasonNoHome is the reason of a refusal because no instance in a home region of the route
// and the customer can take the request.
const reasonNoHome = "no_home_instance"

// homes returns the regions in which the request may be served according to a version of the
// tables. A later one than that of its admission may lack its route or its key; what was known
// of them then still applies.
func (x *exchange) homes(table *catalog.Table) (regions []string, restricted bool) {
	route, customer := x.route, x.customer
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if current, found := table.Match(hostName(x.r.Host), path); found {
		route = current
	}
	// The key also names the customer on a route that needs none.
	if current, found := table.Customer(x.call.APIKey); found {
		customer = current
	}
	return table.Homes(route, customer)
}

// restrictRegions returns a function that sets the home regions of the tables in force in
// the requirements of the request. It is not safe for concurrent use.
func (x *exchange) restrictRegions() func(*placement.Requirements) {
	var last *catalog.Table
	return func(need *placement.Requirements) {
		if table := x.frontend.view.table(); table != nil && table != last {
			last = table
			need.Regions, need.RegionsRestricted = x.homes(table)
		}
	}
}

// isAllowedAt reports whether the request may be sent to the chosen instance according to what
// is in force now: that may have changed since the choice.
func (x *exchange) isAllowedAt(choice placement.Choice) bool {
	var need placement.Requirements
	x.restrictRegions()(&need)
	return x.frontend.scheduler.allowsZone(choice.Backend.AvailabilityZone, need)
}

func (s *scheduler) allowsZone(zone string, need placement.Requirements) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.AllowsZone(zone, need)
}

// rejectWithoutHome rejects a request that is restricted to home regions and has not run, if
// none of their instances may take it before its queue time ends. It reports whether it did.
// The caller holds mu.
func (s *scheduler) rejectWithoutHome(t *ticket, now time.Time) bool {
	if !t.need.RegionsRestricted || !t.isRejectable {
		return false
	}
	at, known := s.fleet.EarliestStart(t.need, now)
	if known && !at.After(t.StartBy) {
		return false
	}
	t.reason, t.retryAfter = reasonNoHome, maxReturnDelay(t, now)
	if known {
		t.retryAfter = min(max(at.Sub(now), minRetryAfter), t.retryAfter)
	}
	delete(s.tickets, t.ID)
	close(t.placed)
	return true
}

// rejectAllWithoutHome does so for the queued requests. The caller holds mu.
func (s *scheduler) rejectAllWithoutHome(now time.Time) {
	for id, t := range s.tickets {
		s.updateNeed(t, now)
		if s.rejectWithoutHome(t, now) {
			s.queue(t.need.Pool).Cancel(id)
		}
	}
}

// The values of the label scope of the metric of the address directory.
const (
	scopeAny    = "any"
	scopeHome   = "home"
	scopeNoHome = "no_home"
)

func (e *entry) serveAddresses(w http.ResponseWriter, r *http.Request) {
	query := platform.DecodeAddressQuery(r.URL.Query())
	addresses, scope := e.heartbeats.frontAddresses(query)
	e.frontend.metrics.directoryAnswers.WithLabelValues(scope).Inc()
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	raw, err := platform.EncodeAddresses(addresses, e.addressTTL)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected and needs no response.
	_, _ = w.Write(raw)
}

// frontAddresses returns the entry addresses to hand out to a caller. If the routes of its
// host have home regions, they are those of entries there or in the caller's own region, as
// long as one of them accepts requests.
func (h *heartbeater) frontAddresses(query platform.AddressQuery) (addresses []string, scope string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateReadiness()
	allowed := h.allowedRegions(query)
	addresses, isAllowed := h.directory.FrontAddresses(query.Zone, allowed, platform.MaxAddresses, clock.Now())
	switch {
	case len(allowed) == 0:
		return addresses, scopeAny
	case isAllowed:
		return addresses, scopeHome
	}
	h.logNoHomeEntry(query)
	return addresses, scopeNoHome
}

// allowedRegions returns the sets of regions to whose entries a caller is directed, the
// preferred one first; nil if the routes of its host have no homes. Routes of one host may have
// different homes: only the common ones are right for all its requests.
func (h *heartbeater) allowedRegions(query platform.AddressQuery) [][]string {
	table := h.view.table()
	if table == nil {
		return nil
	}
	common, all := table.HostHomes(hostName(query.Host))
	if len(all) == 0 {
		return nil
	}
	own := query.Region
	if own == "" {
		own = h.regions[query.Zone]
	}
	return [][]string{append([]string{own}, common...), all}
}

// noHomeLogInterval is the shortest time between two log lines about callers that are directed
// to entries outside the home regions.
const noHomeLogInterval = time.Second

// logNoHomeEntry logs that a caller is directed to entries outside the home regions of its
// host. The caller holds mu.
func (h *heartbeater) logNoHomeEntry(query platform.AddressQuery) {
	h.noHomeAnswers++
	now := clock.Now()
	if now.Sub(h.noHomeLoggedAt) < noHomeLogInterval {
		return
	}
	h.log.WithFields(logrus.Fields{"host": query.Host, "region": query.Region, "answers": h.noHomeAnswers}).
		Warning("no entry in the caller's region or a home region accepts requests; the directory names others")
	h.noHomeLoggedAt, h.noHomeAnswers = now, 0
}

// withRegion returns the entry with the region of its availability zone, which messages do not
// contain.
func (h *heartbeater) withRegion(entry peers.Entry) peers.Entry {
	entry.Region = h.regions[entry.AvailabilityZone]
	return entry
}
