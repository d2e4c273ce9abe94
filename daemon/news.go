package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/peer"
	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/telemetry"
	"pistachioford.example/pistachioford/upstream"
)

const (
	// hintPeriod is how often free slots are told to peers.
	hintPeriod = 200 * time.Millisecond
	// hintPeers bounds the peers that get hints, so that the control traffic of
	// an instance does not grow with the fleet.
	hintPeers = 12
)

// sendHints tells the free slots to all peers of a small fleet, or to a part of
// a large one.
func (d *Daemon) sendHints() {
	view := d.view.Load()
	d.keepLinks(view)
	load, revision := d.steer.Load()
	if revision == 0 {
		return
	}
	hint := peer.LoadHint{Revision: revision, Load: load}
	for _, address := range d.hinted(view.Peers) {
		d.links.Load(address, hint)
	}
}

// hinted chooses the peers that get hints: a third each from the own zone, the
// own region and elsewhere, where there are as many. The choice is by hash, so
// that it differs between instances and streams stay open.
func (d *Daemon) hinted(peers []control.Peer) []string {
	var tiers [3][]*control.Peer
	for i := range peers {
		if p := &peers[i]; !p.Unreachable {
			tier := d.tier(p)
			tiers[tier] = append(tiers[tier], p)
		}
	}
	var chosen []string
	for tier, members := range tiers {
		slices.SortFunc(members, func(a, b *control.Peer) int { return cmp.Compare(d.affinity(a), d.affinity(b)) })
		// What nearer tiers leave unused goes to the farther ones.
		quota := hintPeers*(tier+1)/len(tiers) - len(chosen)
		for _, p := range members[:min(quota, len(members))] {
			chosen = append(chosen, p.Address)
		}
	}
	return chosen
}

func (d *Daemon) tier(p *control.Peer) int {
	switch {
	case p.Zone == d.self.Zone:
		return 0
	case p.Region == d.self.Region:
		return 1
	default:
		return 2
	}
}

func (d *Daemon) affinity(p *control.Peer) uint64 {
	return xxhash.Sum64String(d.self.ID + "\x00" + string(p.ID))
}

// broadcaster implements entry.Broadcaster.
type broadcaster struct{ d *Daemon }

// Poison tells all instances of the region.
func (b broadcaster) Poison(a traffic.BroadcastPoison) {
	view := b.d.view.Load()
	suspect := peer.PoisonSuspect{
		Fingerprint: a.Suspect.Fingerprint,
		Target:      targetName(view.Document, a.Suspect.Target),
		At:          a.Suspect.At,
		Repeated:    a.Suspect.Repeated,
		Overlapping: a.Suspect.Overlapping,
	}
	telemetry.CountEvent("poison_suspected")
	addresses := b.d.addressesOf(func(p *control.Peer) bool { return p.Region == b.d.self.Region })
	b.d.links.Poison(addresses, suspect, a.Timeout, func() {
		b.d.steer.Handle(traffic.BroadcastDone{ID: a.ID})
	})
}

// Leaving tells all instances of the zone.
func (b broadcaster) Leaving(a traffic.BroadcastLeaving) {
	doc := b.d.view.Load().Document
	name := targetName(doc, a.Leaving.Target)
	if name != "" {
		b.d.signs.note(doc.Targets[a.Leaving.Target].Address, signTold, true, a.Leaving.Seen)
	}
	telemetry.Event("upstream_leaving", telemetry.F("instance", b.d.self.ID), telemetry.F("target", name))
	addresses := b.d.addressesOf(func(p *control.Peer) bool { return p.Zone == b.d.self.Zone })
	b.d.links.Leaving(addresses, peer.LeavingUpstream{Target: name, Seen: a.Leaving.Seen})
}

func (d *Daemon) addressesOf(wanted func(*control.Peer) bool) []string {
	var addresses []string
	peers := d.view.Load().Peers
	for i := range peers {
		if !peers[i].Unreachable && wanted(&peers[i]) {
			addresses = append(addresses, peers[i].Address)
		}
	}
	return addresses
}

// receiver implements peer.Receiver.
type receiver struct{ d *Daemon }

// Control passes a message to the control goroutine.
func (r receiver) Control(m control.Message) {
	r.d.offer(control.MessageReceived{From: control.HeaderOf(m).Sender.ID, Message: m})
}

// Load drops hints for another revision, whose groups may be numbered
// differently.
func (r receiver) Load(hint peer.LoadHint) {
	if doc := r.d.view.Load().Document; doc != nil && doc.Revision == hint.Revision {
		r.d.steer.HandleFor(doc, hint.Load)
	}
}

// Poison notes a suspect of a peer.
func (r receiver) Poison(s peer.PoisonSuspect) {
	doc := r.d.view.Load().Document
	target, _ := targetByName(doc, s.Target)
	r.d.steer.Handle(traffic.PoisonSuspected{
		Fingerprint: s.Fingerprint, Target: target, At: s.At,
		Repeated: s.Repeated, Overlapping: s.Overlapping,
	})
}

// Leaving notes a leaving upstream that a peer saw.
func (r receiver) Leaving(l peer.LeavingUpstream) {
	doc := r.d.view.Load().Document
	if target, known := targetByName(doc, l.Target); known {
		r.d.signs.note(doc.Targets[target].Address, signTold, true, time.Now())
		r.d.steer.HandleFor(doc, traffic.TargetLeaving{Target: target, Seen: l.Seen})
	}
}

func targetName(doc *document.Compiled, id document.TargetID) string {
	if doc == nil || int(id) >= len(doc.Targets) {
		return ""
	}
	return doc.Targets[id].Name
}

func targetByName(doc *document.Compiled, name string) (document.TargetID, bool) {
	if doc == nil {
		return 0, false
	}
	for i := range doc.Targets {
		if doc.Targets[i].Name == name {
			return document.TargetID(i), true
		}
	}
	return 0, false
}

// polled returns the upstreams of the own zone: only holders of its shards
// send work to them.
func (d *Daemon) polled(doc *document.Compiled) map[string]document.TargetID {
	targets := map[string]document.TargetID{}
	for i := range doc.Targets {
		t := &doc.Targets[i]
		if doc.Zones[t.Zone].Name == d.self.Zone {
			targets[t.Address] = document.TargetID(i)
		}
	}
	return targets
}

// reported takes what an upstream's health endpoint said.
func (d *Daemon) reported(r upstream.Report) {
	doc := d.view.Load().Document
	if doc == nil || int(r.Target) >= len(doc.Targets) || doc.Targets[r.Target].Address != r.Address {
		return
	}
	if r.HasLoad {
		d.steer.HandleFor(doc, traffic.LoadReported{Target: r.Target, Utilization: r.Utilization, At: r.At})
	}
	d.sign(doc, r.Target, signHealth, r.Leaving, r.At)
}

// noteListed takes the signs of the platform's instance list.
func (d *Daemon) noteListed(instances []tables.Instance) {
	doc := d.view.Load().Document
	if doc == nil {
		return
	}
	byAddress := d.polled(doc)
	for _, i := range instances {
		target, known := byAddress[i.Address]
		if known && i.Role == tables.RoleUpstream {
			d.sign(doc, target, signListed, i.Leaving, time.Now())
		}
	}
}
