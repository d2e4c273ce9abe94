package scenario

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
)

const (
	// sameZoneDelay is the one-way delay inside an availability zone.
	sameZoneDelay = 100 * time.Microsecond
	// retransmitDelay is the time after which TCP retransmits a lost segment.
	retransmitDelay = 200 * time.Millisecond
	// dialTimeout is the time after which a connection attempt without a
	// response fails.
	dialTimeout = 250 * time.Millisecond
)

// link is one direction between two zones.
type link struct {
	delay time.Duration
	loss  float64 // probability that one transmission is lost
	cut   bool
}

// network connects the zones. Links carry TCP, so packet loss shows as delay.
type network struct {
	clock       *clock
	random      *rand.Rand
	zones       []document.Zone
	links       [][]link
	clientDelay time.Duration
	// onTransfer is called for each message between regions.
	onTransfer func(from, to document.RegionID, bytes int64)
}

func newNetwork(c *clock, random *rand.Rand, env *Environment) *network {
	n := &network{clock: c, random: random, zones: env.Document.Zones, clientDelay: env.ClientDelay}
	for from := range n.zones {
		n.links = append(n.links, make([]link, len(n.zones)))
		for to := range n.zones {
			n.links[from][to].delay = env.delay(from, to)
		}
	}
	return n
}

func (n *network) link(from, to document.ZoneID) *link { return &n.links[from][to] }

// send delivers a message after the delay of the link, or never if the link is
// cut when the message is sent or when it would arrive.
func (n *network) send(from, to document.ZoneID, bytes int64, deliver func()) {
	l := n.link(from, to)
	if a, b := n.zones[from].Region, n.zones[to].Region; a != b {
		n.onTransfer(a, b, bytes)
	}
	if l.cut {
		return
	}
	n.clock.After(n.delay(l), func() {
		if !l.cut {
			deliver()
		}
	})
}

// delay draws the delay of one message, with up to five retransmissions.
func (n *network) delay(l *link) time.Duration {
	d := l.delay
	for range 5 {
		if l.loss == 0 || n.random.Float64() >= l.loss {
			break
		}
		d += retransmitDelay
	}
	return d
}

// delayToClient returns the one-way delay between callers near one zone and
// entries in another. Callers are outside of the zones, so cuts do not affect
// them.
func (n *network) delayToClient(home, zone document.ZoneID) time.Duration {
	if n.zones[home].Region == n.zones[zone].Region {
		return n.clientDelay
	}
	return n.clientDelay + n.link(home, zone).delay
}

// each applies a change to both directions between two sets of zones.
func (n *network) each(a, b []document.ZoneID, change func(*link)) {
	for _, from := range a {
		for _, to := range b {
			if from != to {
				change(n.link(from, to))
				change(n.link(to, from))
			}
		}
	}
}
