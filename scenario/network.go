package scenario

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
)

const (
	// sameZoneDelay is the one-way delay inside an availability zone.
	sameZoneDelay = 100 * time.Microsecond
	// resendDelay is the time after which TCP resends a lost segment.
	resendDelay = 200 * time.Millisecond
	// dialTimeout is the time after which a connect without answer fails.
	dialTimeout = 250 * time.Millisecond
)

// link is one direction between two zones.
type link struct {
	delay time.Duration
	loss  float64
	cut   bool
}

// network connects the zones. Links carry TCP, so that loss shows as delay.
type network struct {
	clock  *clock
	random *rand.Rand
	zones  []document.Zone
	links  [][]link
	client time.Duration
	// carried is told each message that crosses regions.
	carried func(from, to document.RegionID, bytes int64)
}

func newNetwork(c *clock, random *rand.Rand, p *Platform) *network {
	n := &network{clock: c, random: random, zones: p.Document.Zones, client: p.ClientDelay}
	for from := range n.zones {
		n.links = append(n.links, make([]link, len(n.zones)))
		for to := range n.zones {
			n.links[from][to].delay = p.delay(from, to)
		}
	}
	return n
}

func (n *network) link(from, to document.ZoneID) *link { return &n.links[from][to] }

// send delivers a message after the delay of the link, or never if the link is
// cut at the start or at the end.
func (n *network) send(from, to document.ZoneID, bytes int64, deliver func()) {
	l := n.link(from, to)
	if a, b := n.zones[from].Region, n.zones[to].Region; a != b {
		n.carried(a, b, bytes)
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

func (n *network) delay(l *link) time.Duration {
	d := l.delay
	for range 5 {
		if l.loss == 0 || n.random.Float64() >= l.loss {
			break
		}
		d += resendDelay
	}
	return d
}

// toClient is the delay between callers near one zone and entries in another.
// Callers are outside of the zones, so that a cut does not concern them.
func (n *network) toClient(home, zone document.ZoneID) time.Duration {
	if n.zones[home].Region == n.zones[zone].Region {
		return n.client
	}
	return n.client + n.link(home, zone).delay
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
