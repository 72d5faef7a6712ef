package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimitsFitTheMachine guards against limits that add up to more than the machine has, or
// that a client inside the limits reaches.
func TestLimitsFitTheMachine(t *testing.T) {
	for _, machine := range []Machine{{MemoryBytes: 136 << 20, Descriptors: 2870}, {MemoryBytes: 184 << 20, Descriptors: 2870}, {MemoryBytes: 152 << 20, Descriptors: 2048}, {}, {MemoryBytes: 136 << 20, Descriptors: 320}} {
		c := qt.New(t)
		limits := NewLimits(machine, Settings{})
		known := machine.withDefaults()
		c.Check(limits.BufferBytes+ownMemory+int64(limits.Clients)*connectionMemory < known.MemoryBytes, qt.IsTrue, qt.Commentf("%+v", limits))
		others := limits.ReadyConnections + limits.DirectoryConnections + limits.MetricsConnections + limits.PeerConnections + ownDescriptors
		c.Check(limits.Connections+others <= known.Descriptors-reservedDescriptors, qt.IsTrue, qt.Commentf("%+v", limits))
		c.Check(limits.Clients < limits.Connections, qt.IsTrue)
		for _, value := range []int{limits.Clients, limits.ReadyConnections, limits.DirectoryConnections, limits.MetricsConnections, limits.PeerConnections} {
			c.Check(value > 0, qt.IsTrue, qt.Commentf("%+v", limits))
		}
		// One body of 4 MiB without a key fits into its group.
		c.Check(groupShare*float64(limits.BufferBytes) > 4<<20, qt.IsTrue)
		c.Check(limits.HeadTime > 3*time.Second && limits.HeadBytes >= 16<<10, qt.IsTrue)
	}
}

func TestSettingsReplaceDefaults(t *testing.T) {
	c := qt.New(t)
	settings := Settings{BufferBytes: 1, Clients: 2, HeadTime: 3, HeadBytes: 4, ReceiveBytes: 5, WaitTime: 6, StallTime: 7}
	c.Check(NewLimits(Machine{}, settings).Settings, qt.Equals, settings)
}

func TestSoftMemoryLimit(t *testing.T) {
	c := qt.New(t)
	c.Check(Machine{}.SoftMemoryBytes(), qt.Equals, int64(0))
	c.Check(Machine{MemoryBytes: 136 << 20}.SoftMemoryBytes(), qt.Equals, int64(112<<20))
	c.Check(Machine{MemoryBytes: 20 << 20}.SoftMemoryBytes(), qt.Equals, int64(10<<20))
}
