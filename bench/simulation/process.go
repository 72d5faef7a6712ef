package simulation

import (
	"fmt"
	"time"
)

// process is one process of the fleet. Its functions run only while it is alive, and
// are postponed while it is paused.
type process struct {
	world  *world
	number int
	host   string
	zone   string
	// entry or agent is the present incarnation.
	entry *entry
	agent *agent
	// life counts the starts. start is the time of the present one.
	life  int
	start time.Time
	alive bool
	// pauses counts the pauses in progress, downs those faults that keep it down.
	pauses, downs int
	postponed     []func()
	// echoes holds the last message of each host, to be echoed to it.
	echoes map[string]receivedEcho
}

// after calls do on this incarnation of the process.
func (p *process) after(delay time.Duration, do func()) {
	life := p.life
	p.world.after(delay, func() {
		if p.life == life {
			p.run(do)
		}
	})
}

// every calls do at an interval, as long as this incarnation lives.
func (p *process) every(interval time.Duration, do func()) {
	do()
	p.after(interval, func() { p.every(interval, do) })
}

// run calls do now, or after the pause.
func (p *process) run(do func()) {
	switch {
	case !p.alive:
	case p.pauses > 0:
		p.postponed = append(p.postponed, do)
	default:
		do()
	}
}

func (p *process) begin() {
	p.life++
	p.alive, p.start, p.echoes = true, p.world.now, map[string]receivedEcho{}
	p.world.record(p.host, "process started", 0, 0, "")
	if p.number < p.world.scenario.Entries {
		p.entry = newEntry(p)
		p.entry.begin()
	} else {
		p.agent = newAgent(p)
		p.agent.begin()
	}
}

func (p *process) kill() {
	p.downs++
	p.life++
	p.pauses = 0
	p.alive, p.postponed, p.entry, p.agent = false, nil, nil, nil
}

func (p *process) restart() {
	if p.downs--; p.downs == 0 {
		p.begin()
	}
}

// pause stops this incarnation and returns the function that ends the pause.
func (p *process) pause() (resume func()) {
	life := p.life
	p.pauses++
	return func() {
		if p.life == life {
			p.resume()
		}
	}
}

func (p *process) resume() {
	if p.pauses--; p.pauses > 0 {
		return
	}
	waiting := p.postponed
	p.postponed = nil
	if p.entry != nil {
		p.entry.blocks.resumedAt = p.world.now
	}
	for _, do := range waiting {
		do()
	}
}

// copies returns the copies of the present incarnation.
func (p *process) copies() *copies {
	switch {
	case p.entry != nil:
		return p.entry.copies
	case p.agent != nil:
		return p.agent.copies
	}
	return nil
}

func hostOf(number, entries int) (host, zone string) {
	kind, index := 0, number
	if number >= entries {
		kind, index = 1, number-entries
	}
	return fmt.Sprintf("10.%d.%d.%d", index%zones, kind, index/zones), fmt.Sprintf("z%d", index%zones)
}
