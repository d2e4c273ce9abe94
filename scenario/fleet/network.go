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
	loss  float64
	cut   bool
}

// network connects the zones with each other and with the platform, which has
// the number after the last zone and is in the region of the first zone.
type network struct {
	clock  *clock
	random *rand.Rand
	links  [][]link
	// cutAt and healedAt are when links were last cut and restored.
	cutAt, healedAt time.Time
	cuts            int
}

func newNetwork(c *clock, random *rand.Rand, doc *document.Compiled, env *scenario.Environment) *network {
	n := &network{clock: c, random: random}
	places := make([]document.RegionID, len(doc.Zones)+1)
	for i := range doc.Zones {
		places[i] = doc.Zones[i].Region
	}
	places[len(doc.Zones)] = doc.Zones[0].Region
	for a := range places {
		n.links = append(n.links, make([]link, len(places)))
		for b := range places {
			switch {
			case a == b:
				n.links[a][b].delay = sameZoneDelay
			case places[a] == places[b]:
				n.links[a][b].delay = env.ZoneDelay
			default:
				n.links[a][b].delay = env.RegionDelay
			}
		}
	}
	return n
}

// platform is the place of the platform.
func (n *network) platform() int { return len(n.links) - 1 }

// send delivers a message, or loses it.
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

// setCut cuts or restores the links between two sets of places; a place stays
// whole inside.
func (n *network) setCut(a, b []int, cut bool) {
	n.each(a, b, func(l *link) { l.cut = cut })
	for i := range n.links {
		n.links[i][i].cut = false
	}
	if cut {
		n.cuts++
		n.cutAt = n.clock.Now
		return
	}
	n.cuts--
	n.healedAt = n.clock.Now
}

// recentlyCut tells whether news may still be late because of a cut.
func (n *network) recentlyCut() bool {
	return n.cuts > 0 || !n.healedAt.IsZero() && n.clock.Now.Sub(n.healedAt) < newsTime
}

// post sends a message between two instances.
func (w *world) post(from *instance, a control.SendMessage) {
	to := w.byAddress[a.Address]
	if to == nil || w.settings.fault.drops(w, from, to) {
		return
	}
	message := w.settings.fault.message(a.Message, to)
	w.network.send(from.zone, to.zone, func() {
		// The process at the address may be another one by now.
		if to := w.byAddress[a.Address]; to != nil {
			to.receive(from, message)
		}
	})
}
