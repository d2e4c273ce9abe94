package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// changeDocument activates a document. Exchanges in flight keep their rows and
// continue; queued requests move to the group of their service.
func (e *Engine) changeDocument(now time.Time, doc *document.Compiled) {
	if doc == nil {
		return
	}
	e.previousDoc, e.doc = e.doc, doc
	e.locate()
	e.groups.configure(doc)
	e.services.configure(doc, e.region, e.groups.byID)
	e.targets.Configure(now, doc, e.zone)
	e.changePeers(e.peers.infos)
	e.updateInstanceLimits(now)
	e.requeueAll(now)
}

// locate finds the instance's own zone and region in the document.
func (e *Engine) locate() {
	e.located = false
	for z := range e.doc.Zones {
		if e.doc.Zones[z].Name == e.config.Zone {
			e.zone, e.region, e.located = document.ZoneID(z), e.doc.Zones[z].Region, true
		}
	}
	if !e.located {
		// An ID past the last zone, which has no targets and no shards.
		e.zone = document.ZoneID(len(e.doc.Zones))
	}
}

// changeShards replaces the list of held shards.
func (e *Engine) changeShards(now time.Time, held []HeldShard) {
	e.heldShards = append(e.heldShards[:0], held...)
	if e.doc == nil {
		return
	}
	e.updateInstanceLimits(now)
	for g := range e.groups.rows {
		e.dispatch(now, int32(g))
	}
}

// updateInstanceLimits recomputes this instance's part of all shared limits
// (target slots, link budgets and shift caps) from the shards it holds.
func (e *Engine) updateInstanceLimits(now time.Time) {
	ownShards := 0
	var heldMask [1 << 16 / 64]uint64
	for _, h := range e.heldShards {
		if e.located && h.Shard.Zone == e.zone {
			heldMask[h.Shard.Index/64] |= 1 << (h.Shard.Index % 64)
			ownShards++
		}
	}
	for id := range e.doc.Targets {
		t := &e.doc.Targets[id]
		if t.Zone == e.zone {
			e.targets.SetOwned(document.TargetID(id), ownedSlots(e.doc, document.TargetID(id), &heldMask))
		}
	}
	shardFraction := 0.0
	if total := e.regionShards(); total > 0 {
		shardFraction = float64(ownShards) / float64(total)
	}
	e.links.configure(now, e.doc, e.region, shardFraction)
	e.configureShifts(shardFraction)
}

// ownedSlots counts the slots of a target that belong to the shards in
// heldMask.
func ownedSlots(doc *document.Compiled, id document.TargetID, heldMask *[1 << 16 / 64]uint64) uint16 {
	owned := uint16(0)
	for k := range doc.Targets[id].Slots {
		index := doc.SlotOwner(id, k).Index
		if heldMask[index/64]&(1<<(index%64)) != 0 {
			owned++
		}
	}
	return owned
}

func (e *Engine) regionShards() int {
	if !e.located {
		return 0
	}
	return e.doc.RegionShards(e.region)
}

// requeueAll moves requests to the groups of their services and refuses waiting
// requests whose service was removed.
func (e *Engine) requeueAll(now time.Time) {
	for row := range e.requests.rows {
		r := &e.requests.rows[row]
		s := &e.services.rows[r.service]
		if s.present && s.group == r.group {
			continue
		}
		if r.state != stateQueued && r.state != stateBackoff {
			r.group = s.group
			continue
		}
		if r.state == stateQueued {
			e.dequeue(int32(row))
		} else {
			e.stopTimer(int32(row))
		}
		if !s.present {
			e.refuse(now, int32(row), ReasonNoService)
			continue
		}
		r.group = s.group
		e.enqueue(int32(row))
	}
	for g := range e.groups.rows {
		e.dispatch(now, int32(g))
	}
}

// targetLeaving stops new work to an upstream and broadcasts the first notice
// to the zone. A notice received from a peer is also passed on once, which
// repairs a lost broadcast.
func (e *Engine) targetLeaving(ev TargetLeaving) {
	if e.targets.MarkLeaving(ev.Target) {
		e.emit(BroadcastLeaving{Leaving: ev})
	}
}

// holdsShard reports whether this instance holds a shard, and since when.
func (e *Engine) holdsShard(shard document.ShardID) (time.Time, bool) {
	for _, h := range e.heldShards {
		if h.Shard == shard {
			return h.OwnedSince, true
		}
	}
	return time.Time{}, false
}
