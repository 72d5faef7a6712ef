package simulation

import "time"

const (
	sameZoneDelay  = 500 * time.Microsecond
	otherZoneDelay = 4 * time.Millisecond
	// retransmission is how much later a call arrives for each lost packet.
	retransmission = 200 * time.Millisecond
	// lossShare is the share of packets lost by a Loss.
	lossShare = 0.3
	// storeNumber stands for the store as the end of a link.
	storeNumber = -1
)

// network holds the state of the links. Counters are used because faults overlap.
type network struct {
	cutOut, cutIn, lossy map[int]int
	cutPairs             map[[2]int]int
}

func newNetwork() *network {
	return &network{cutOut: map[int]int{}, cutIn: map[int]int{}, lossy: map[int]int{}, cutPairs: map[[2]int]int{}}
}

// change begins a fault with step 1 and ends it with step -1.
func (n *network) change(f Fault, step int) {
	switch f.Kind {
	case CutOut:
		n.cutOut[f.Instance] += step
	case CutIn:
		n.cutIn[f.Instance] += step
	case CutPair:
		n.cutPairs[[2]int{f.Instance, f.Other}] += step
	case Loss:
		n.lossy[f.Instance] += step
	}
}

func (n *network) cut(from, to int) bool {
	return n.cutOut[from] > 0 || n.cutIn[to] > 0 || n.cutPairs[[2]int{from, to}] > 0
}

func (n *network) losesPackets(from, to int) bool { return n.lossy[from] > 0 || n.lossy[to] > 0 }

// sendDatagram delivers a datagram, unless it is lost.
func (w *world) sendDatagram(from, to *process, deliver func()) {
	if w.network.cut(from.number, to.number) || w.network.losesPackets(from.number, to.number) && w.random.Float64() < lossShare {
		return
	}
	w.after(w.delay(from.zone, to.zone), func() { to.run(deliver) })
}

// transfer calls deliver when a part of a call has crossed the link. Nothing arrives on
// a link that is cut.
func (w *world) transfer(from, to int, fromZone, toZone string, deliver func()) {
	if w.network.cut(from, to) {
		return
	}
	delay := w.delay(fromZone, toZone)
	for w.network.losesPackets(from, to) && w.random.Float64() < lossShare {
		delay += retransmission
	}
	w.after(delay, deliver)
}

func (w *world) delay(fromZone, toZone string) time.Duration {
	base := otherZoneDelay
	if fromZone == toZone {
		base = sameZoneDelay
	}
	return base + w.randomBelow(base)
}
