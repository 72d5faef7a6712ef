package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
)

// addressValidity is how long a caller may keep an address answer.
const addressValidity = 5 * time.Second

// AddressAnswer tells a caller which entry to use.
type AddressAnswer struct {
	// Address is "IP:port"; Alternate is used when Address does not answer.
	Address   string `json:"address"`
	Alternate string `json:"alternate,omitempty"`
	// ValidSeconds is how long the answer may be kept.
	ValidSeconds int `json:"valid_seconds"`
}

// Addresses answers which entry to use.
type Addresses struct {
	members *membership.View
	self    string
	leaving atomic.Bool
}

// NewAddresses returns the address answers of the entry self.
func NewAddresses(members *membership.View, self string) *Addresses {
	return &Addresses{members: members, self: self}
}

// Leave takes this entry out of its own answers.
func (a *Addresses) Leave() {
	a.leaving.Store(true)
}

// Route returns the HTTP route of the address query.
func (a *Addresses) Route() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: "/plantain/v1/address", Handler: a.serve}
}

func (a *Addresses) serve(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("availability_zone")
	var near, all []string
	for _, instance := range a.members.Current().Role(member.RoleEntry) {
		leaving := instance.Name == a.self && a.leaving.Load()
		if leaving || instance.State != member.StateLive {
			continue
		}
		all = append(all, instance.HTTPAddress)
		if instance.AvailabilityZone == zone {
			near = append(near, instance.HTTPAddress)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(all) == 0 {
		httpx.WriteJson(w, http.StatusServiceUnavailable, outcomeBody{Outcome: dispatch.NotRun, Message: "no entry is live; ask again"})
		return
	}
	answer := AddressAnswer{Address: near[rand.IntN(len(near))], ValidSeconds: int(addressValidity.Seconds())}
	if other := all[rand.IntN(len(all))]; other != answer.Address {
		answer.Alternate = other
	}
	httpx.WriteJson(w, http.StatusOK, answer)
}
