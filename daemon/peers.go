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
	// hintPeriod is the interval at which load hints are sent to peers.
	hintPeriod = 200 * time.Millisecond
	// maxHintPeers bounds the peers that receive load hints, so that the control
	// traffic of an instance does not grow with the fleet.
	maxHintPeers = 12
)

// sendHints sends the free slots and waits of this instance to the peers that
// selectHintPeers returns.
func (d *Daemon) sendHints() {
	view := d.view.Load()
	d.closeStaleLinks(view)
	load, revision := d.steer.LoadHint()
	if revision == 0 {
		return
	}
	hint := peer.LoadHint{Revision: revision, Load: load}
	for _, address := range d.selectHintPeers(view.Peers) {
		d.links.SendLoadHint(address, hint)
	}
}

// selectHintPeers returns the addresses of the peers that receive load hints: a
// third each from the own zone, the rest of the own region and other regions.
// Places that a nearer tier leaves unused pass to the farther ones, not the other
// way round. Peers are ordered by hash, so that the choice
// differs between instances and stays stable, which keeps streams open.
func (d *Daemon) selectHintPeers(peers []control.Peer) []string {
	var tiers [3][]*control.Peer
	for i := range peers {
		if p := &peers[i]; !p.Unreachable {
			tier := d.tier(p)
			tiers[tier] = append(tiers[tier], p)
		}
	}
	var chosen []string
	for tier, members := range tiers {
		slices.SortFunc(members, func(a, b *control.Peer) int { return cmp.Compare(d.hintHash(a), d.hintHash(b)) })
		// This includes the places that nearer tiers left unused.
		quota := maxHintPeers*(tier+1)/len(tiers) - len(chosen)
		for _, p := range members[:min(quota, len(members))] {
			chosen = append(chosen, p.Address)
		}
	}
	return chosen
}

// tier returns 0 for a peer of the own zone, 1 for one of another zone of the
// own region and 2 for all others.
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

// hintHash returns the hash by which selectHintPeers orders peers.
func (d *Daemon) hintHash(p *control.Peer) uint64 {
	return xxhash.Sum64String(d.self.ID + "\x00" + string(p.ID))
}

// broadcaster implements entry.Broadcaster.
type broadcaster struct{ d *Daemon }

// Poison reports a suspected poison request to all reachable instances of the
// region.
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
	addresses := b.d.peerAddresses(func(p *control.Peer) bool { return p.Region == b.d.self.Region })
	b.d.links.BroadcastPoison(addresses, suspect, a.Timeout, func() {
		b.d.steer.Handle(traffic.BroadcastDone{ID: a.ID})
	})
}

// Leaving reports a leaving upstream to all reachable instances of the zone.
func (b broadcaster) Leaving(a traffic.BroadcastLeaving) {
	doc := b.d.view.Load().Document
	name := targetName(doc, a.Leaving.Target)
	if name != "" {
		b.d.leaving.update(doc.Targets[a.Leaving.Target].Address, sourceNotice, true, a.Leaving.Seen)
	}
	telemetry.Event("upstream_leaving", telemetry.F("instance", b.d.self.ID), telemetry.F("target", name))
	addresses := b.d.peerAddresses(func(p *control.Peer) bool { return p.Zone == b.d.self.Zone })
	b.d.links.BroadcastLeaving(addresses, peer.LeavingUpstream{Target: name, SeenAt: a.Leaving.Seen})
}

// peerAddresses returns the addresses of the reachable peers for which include
// returns true.
func (d *Daemon) peerAddresses(include func(*control.Peer) bool) []string {
	var addresses []string
	peers := d.view.Load().Peers
	for i := range peers {
		if !peers[i].Unreachable && include(&peers[i]) {
			addresses = append(addresses, peers[i].Address)
		}
	}
	return addresses
}

// receiver implements peer.Receiver.
type receiver struct{ d *Daemon }

// HandleControl passes a message to the control goroutine.
func (r receiver) HandleControl(m control.Message) {
	r.d.tryEnqueue(control.MessageReceived{From: control.HeaderOf(m).Sender.ID, Message: m})
}

// HandleLoadHint passes a hint to the traffic engine. It drops hints for another
// revision, whose groups may be numbered differently.
func (r receiver) HandleLoadHint(hint peer.LoadHint) {
	if doc := r.d.view.Load().Document; doc != nil && doc.Revision == hint.Revision {
		r.d.steer.HandleForDocument(doc, hint.Load)
	}
}

// HandlePoisonSuspect passes a peer's report of a suspected poison request to
// the traffic engine.
func (r receiver) HandlePoisonSuspect(s peer.PoisonSuspect) {
	doc := r.d.view.Load().Document
	target, _ := targetByName(doc, s.Target)
	r.d.steer.Handle(traffic.PoisonSuspected{
		Fingerprint: s.Fingerprint, Target: target, At: s.At,
		Repeated: s.Repeated, Overlapping: s.Overlapping,
	})
}

// HandleLeavingUpstream records a leaving upstream that a peer reported.
func (r receiver) HandleLeavingUpstream(l peer.LeavingUpstream) {
	doc := r.d.view.Load().Document
	if target, known := targetByName(doc, l.Target); known {
		r.d.leaving.update(doc.Targets[target].Address, sourceNotice, true, time.Now())
		r.d.steer.HandleForDocument(doc, traffic.TargetLeaving{Target: target, Seen: l.SeenAt})
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

// polledTargets returns the upstreams of the own zone by address. Upstreams of
// other zones are not polled, since only holders of the shards of their zone
// send work to them.
func (d *Daemon) polledTargets(doc *document.Compiled) map[string]document.TargetID {
	targets := map[string]document.TargetID{}
	for i := range doc.Targets {
		t := &doc.Targets[i]
		if doc.Zones[t.Zone].Name == d.self.Zone {
			targets[t.Address] = document.TargetID(i)
		}
	}
	return targets
}

// handleReport passes the response of an upstream's health endpoint to the
// traffic engine. It ignores a report for a target that the active document no
// longer has at that address.
func (d *Daemon) handleReport(r upstream.Report) {
	doc := d.view.Load().Document
	if doc == nil || int(r.Target) >= len(doc.Targets) || doc.Targets[r.Target].Address != r.Address {
		return
	}
	if r.HasLoad {
		d.steer.HandleForDocument(doc, traffic.LoadReported{Target: r.Target, Utilization: r.Utilization, At: r.At})
	}
	d.updateLeaving(doc, r.Target, sourceHealth, r.Leaving, r.At)
}

// handleInstanceList records which upstreams of the own zone are marked as
// leaving in the platform's instance list.
func (d *Daemon) handleInstanceList(instances []tables.Instance) {
	doc := d.view.Load().Document
	if doc == nil {
		return
	}
	byAddress := d.polledTargets(doc)
	for _, i := range instances {
		target, known := byAddress[i.Address]
		if known && i.Role == tables.RoleUpstream {
			d.updateLeaving(doc, target, sourceInstanceList, i.Leaving, time.Now())
		}
	}
}
