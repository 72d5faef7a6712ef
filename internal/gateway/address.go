package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
)

// addressValidity is how long a caller may cache an address response.
const addressValidity = 5 * time.Second

const (
	leavingNoticeTTL           = time.Minute
	announceTimeout            = 2 * time.Second
	maxConcurrentAnnouncements = 32
)

// AddressResponse is the response to an address query: the entry to connect to.
type AddressResponse struct {
	// Address is "IP:port". Alternate is for when Address does not respond.
	Address   string `json:"address"`
	Alternate string `json:"alternate,omitempty"`
	// ValidSeconds is how long the response may be cached.
	ValidSeconds int `json:"valid_seconds"`
}

// EntryDirectory selects the entry that a caller should connect to.
type EntryDirectory struct {
	members     *membership.View
	self        string
	selfLeaving atomic.Bool

	mu sync.Mutex
	// leavingUntil holds the entries that announced that they are leaving, with
	// the time by which the platform's instance list must show it.
	leavingUntil map[string]time.Time
}

// NewEntryDirectory returns the directory of the entry self.
func NewEntryDirectory(members *membership.View, self string) *EntryDirectory {
	return &EntryDirectory{members: members, self: self, leavingUntil: map[string]time.Time{}}
}

// MarkSelfLeaving excludes this entry from its own responses.
func (a *EntryDirectory) MarkSelfLeaving() {
	a.selfLeaving.Store(true)
}

// RecordLeaving excludes another entry from the responses before the instance
// list shows that it is leaving.
func (a *EntryDirectory) RecordLeaving(entry string) {
	a.mu.Lock()
	a.leavingUntil[entry] = time.Now().Add(leavingNoticeTTL)
	a.mu.Unlock()
}

// isLeaving reports whether an entry is known to be leaving.
func (a *EntryDirectory) isLeaving(entry string) bool {
	if entry == a.self && a.selfLeaving.Load() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	until, found := a.leavingUntil[entry]
	if found && time.Now().After(until) {
		delete(a.leavingUntil, entry)
		return false
	}
	return found
}

// AnnounceLeaving tells all other entries that this one is leaving.
func (a *EntryDirectory) AnnounceLeaving(client *peer.Client) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentAnnouncements)
	for _, instance := range a.members.Current().Role(member.RoleEntry) {
		if instance.Name == a.self {
			continue
		}
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			// An entry that was not reached learns of it from the instance list.
			_ = client.Call(ctx, instance.ControlAddress, message.MethodLeaving, message.LeavingArgs{Instance: a.self}, &message.LeavingReply{})
		}()
	}
	group.Wait()
}

// EntryService is the net/rpc service "Entry".
type EntryService struct {
	directory *EntryDirectory
}

// NewEntryService returns the service that updates directory.
func NewEntryService(directory *EntryDirectory) *EntryService {
	return &EntryService{directory: directory}
}

// Leaving excludes the calling entry from the address responses.
func (s *EntryService) Leaving(args message.LeavingArgs, _ *message.LeavingReply) error {
	s.directory.RecordLeaving(args.Instance)
	return nil
}

// Route returns the HTTP route of the address query.
func (a *EntryDirectory) Route() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: "/plantain/v1/address", Handler: a.serveAddress}
}

func (a *EntryDirectory) serveAddress(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("availability_zone")
	var sameZone, all []string
	for _, instance := range a.members.Current().Role(member.RoleEntry) {
		if a.isLeaving(instance.Name) || instance.State != member.StateLive {
			continue
		}
		all = append(all, instance.HTTPAddress)
		if instance.AvailabilityZone == zone {
			sameZone = append(sameZone, instance.HTTPAddress)
		}
	}
	if len(sameZone) == 0 {
		sameZone = all
	}
	if len(all) == 0 {
		httpx.WriteJson(w, http.StatusServiceUnavailable, outcomeBody{Outcome: dispatch.NotRun, Message: "no entry is live; ask again"})
		return
	}
	answer := AddressResponse{Address: sameZone[rand.IntN(len(sameZone))], ValidSeconds: int(addressValidity.Seconds())}
	if other := all[rand.IntN(len(all))]; other != answer.Address {
		answer.Alternate = other
	}
	httpx.WriteJson(w, http.StatusOK, answer)
}
