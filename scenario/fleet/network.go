package fleet

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/pistachioford/scenario"
)

// sameZoneDelay is the one-way delay inside an availability zone.
const sameZoneDelay = 100 * time.Microsecond

// link is one direction between two zones, or between a zone and the platform.
type link struct {
	delay time.Duration
	loss  float64 // fraction of messages that are lost
	cut   bool
}

// network connects the zones with each other and with the platform. A place is
// the number of a zone or, after the last zone, that of the platform, which is
// in the region of the first zone.
type network struct {
	clock  *clock
	random *rand.Rand
	links  [][]link
	// cutAt and restoredAt are when links were last cut and restored.
	cutAt, restoredAt time.Time
	activeCuts        int
}

func newNetwork(c *clock, random *rand.Rand, doc *document.Compiled, env *scenario.Environment) *network {
	n := &network{clock: c, random: random}
	regions := make([]document.RegionID, len(doc.Zones)+1)
	for i := range doc.Zones {
		regions[i] = doc.Zones[i].Region
	}
	regions[len(doc.Zones)] = doc.Zones[0].Region
	for a := range regions {
		n.links = append(n.links, make([]link, len(regions)))
		for b := range regions {
			switch {
			case a == b:
				n.links[a][b].delay = sameZoneDelay
			case regions[a] == regions[b]:
				n.links[a][b].delay = env.ZoneDelay
			default:
				n.links[a][b].delay = env.RegionDelay
			}
		}
	}
	return n
}

// platformPlace returns the place of the platform.
func (n *network) platformPlace() int { return len(n.links) - 1 }

// send delivers a message after the delay of the link. The message is lost at
// random, or if the link is cut when it is sent or when it would arrive.
func (n *network) send(from, to int, deliver func()) {
	l := &n.links[from][to]
	if l.cut || l.loss > 0 && n.random.Float64() < l.loss {
		return
	}
	n.clock.After(l.delay, func() {
		if !l.cut {
			deliver()
		}
	})
}

// each applies a change to both directions between two sets of places.
func (n *network) each(a, b []int, change func(*link)) {
	for _, from := range a {
		for _, to := range b {
			change(&n.links[from][to])
			if from != to {
				change(&n.links[to][from])
			}
		}
	}
}

// setCut cuts or restores the links between two sets of places. Links within a
// place are never cut.
func (n *network) setCut(a, b []int, cut bool) {
	n.each(a, b, func(l *link) { l.cut = cut })
	for i := range n.links {
		n.links[i][i].cut = false
	}
	if cut {
		n.activeCuts++
		n.cutAt = n.clock.Now
		return
	}
	n.activeCuts--
	n.restoredAt = n.clock.Now
}

// recentlyCut reports whether a link is cut or was restored so recently that
// reports of a death may still be late.
func (n *network) recentlyCut() bool {
	return n.activeCuts > 0 || !n.restoredAt.IsZero() && n.clock.Now.Sub(n.restoredAt) < deathReportWindow
}

// sendMessage sends a message from one instance to another.
func (w *world) sendMessage(from *instance, a control.SendMessage) {
	to := w.byAddress[a.Address]
	if to == nil || w.settings.fault.dropsMessage(w, from, to) {
		return
	}
	message := w.settings.fault.alterMessage(a.Message, to)
	w.network.send(from.zone, to.zone, func() {
		// Another process may have started at the address since then.
		if to := w.byAddress[a.Address]; to != nil {
			to.receive(from, message)
		}
	})
}
