package simulation

import (
	"time"

	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
)

// message is a heartbeat of an entry or an agent.
type message struct {
	from       *process
	composedAt time.Time
	states     [collections]collectionState
	// self, loads and hosts are those of an entry.
	self     peers.Entry
	releases []placement.ReleaseAge
	loads    map[string]placement.Load
	// loadsOnly marks a message that contains only the loads that have changed.
	loadsOnly bool
	hosts     []string
	// report is that of an agent, nil if it does not reach its engine.
	report *placement.AgentReport
	blocks blockReports
	// agentSequence orders the messages of an agent.
	agentSequence uint64
}

// receivedEcho is the last message received from a host.
type receivedEcho struct {
	life                 int
	composedAt, received time.Time
}

// send sends a message to hosts. Each copy carries the echo of the last message from its
// destination, from which that host dates it, as in package beat.
func (p *process) send(m *message, hosts []string) {
	for _, host := range hosts {
		to := p.world.byHost[host]
		if to == nil {
			continue
		}
		echo := p.echoes[host]
		elapsed := m.composedAt.Sub(echo.received)
		life := p.life
		p.world.sendDatagram(p, to, func() {
			to.echoes[p.host] = receivedEcho{life: life, composedAt: m.composedAt, received: p.world.now}
			composedAfter := time.Time{}
			if echo.life == to.life {
				composedAfter = echo.composedAt.Add(elapsed)
			}
			to.receive(m, composedAfter)
		})
	}
}

func (p *process) receive(m *message, composedAfter time.Time) {
	if p.entry != nil {
		p.entry.receive(m, composedAfter)
	} else {
		p.agent.receive(m, composedAfter)
	}
}

// earliestComposed returns the earliest time at which a message can have been composed,
// or now if that is unknown.
func earliestComposed(composedAfter, now time.Time) time.Time {
	if composedAfter.IsZero() {
		return now
	}
	return composedAfter
}
