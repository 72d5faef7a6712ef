package peers_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/peers"
)

// TestCallersAreDirectedToAllowedRegions guards against callers of a host with home regions
// that are sent to entries elsewhere, and against callers without any entry because those of
// the allowed regions are not ready.
func TestCallersAreDirectedToAllowedRegions(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), nil, epoch)
	for host, region := range map[string]string{"10.0.0.2": "r1", "10.0.0.3": "r2", "10.0.0.4": "r3", "10.0.0.5": ""} {
		entry := other(host, "z-"+region, 1)
		entry.Region = region
		d.RecordMessage(entry, epoch)
	}
	for _, test := range []struct {
		allowed   [][]string
		want      []string
		isAllowed bool
	}{
		{nil, []string{"10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80"}, true},
		{[][]string{{"r1", "r2"}, {"r3"}}, []string{"10.0.0.2:80", "10.0.0.3:80"}, true},
		{[][]string{{"r9", ""}, {"r3"}}, []string{"10.0.0.4:80"}, true},
		{[][]string{{"r9"}, {"r8"}}, []string{"10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80"}, false},
	} {
		addresses, isAllowed := d.FrontAddresses("z-r3", test.allowed, 64, epoch)
		c.Check(addresses, qt.DeepEquals, test.want)
		c.Check(isAllowed, qt.Equals, test.isAllowed)
	}
}
