package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// changeDocument puts a document in force. Exchanges in flight keep their rows
// and go on; queued requests follow their service.
func (e *Engine) changeDocument(now time.Time, doc *document.Compiled) {
	if doc == nil {
		return
	}
	e.previous, e.doc = e.doc, doc
	e.locate()
	e.groups.configure(doc)
	e.services.configure(doc, e.region, e.groups.byID)
	e.targets.Configure(now, doc, e.zone)
	e.changePeers(e.peers.infos)
	e.divide(now)
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
		// A zone that no target and no shard belongs to.
		e.zone = document.ZoneID(len(e.doc.Zones))
	}
}

// changeShards takes the list of held shards.
func (e *Engine) changeShards(now time.Time, held []HeldShard) {
	e.held = append(e.held[:0], held...)
	if e.doc == nil {
		return
	}
	e.divide(now)
	for g := range e.groups.rows {
		e.dispatch(now, int32(g))
	}
}

// divide computes the instance's parts of all shared limits.
func (e *Engine) divide(now time.Time) {
	parts := 0
	var mask [1 << 16 / 64]uint64
	for _, h := range e.held {
		if e.located && h.Shard.Zone == e.zone {
			mask[h.Shard.Index/64] |= 1 << (h.Shard.Index % 64)
			parts++
		}
	}
	for id := range e.doc.Targets {
		t := &e.doc.Targets[id]
		if t.Zone == e.zone {
			e.targets.SetOwned(document.TargetID(id), ownedSlots(e.doc, document.TargetID(id), &mask))
		}
	}
	share := 0.0
	if total := e.regionShards(); total > 0 {
		share = float64(parts) / float64(total)
	}
	e.links.configure(now, e.doc, e.region, share)
	e.configureShifts(share)
}

func ownedSlots(doc *document.Compiled, id document.TargetID, mask *[1 << 16 / 64]uint64) uint16 {
	owned := uint16(0)
	for k := range doc.Targets[id].Slots {
		index := doc.Owner(id, k).Index
		if mask[index/64]&(1<<(index%64)) != 0 {
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

// requeueAll moves requests to the groups of their services, and refuses the
// waiting ones whose service is gone.
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

// targetLeaving stops new work to an upstream and tells the zone at the first
// sign; a sign that came from a peer is passed on once, which repairs a lost
// broadcast.
func (e *Engine) targetLeaving(ev TargetLeaving) {
	if e.targets.Leave(ev.Target) {
		e.emit(BroadcastLeaving{Leaving: ev})
	}
}

// holds tells whether this instance holds a shard, and since when.
func (e *Engine) holds(shard document.ShardID) (time.Time, bool) {
	for _, h := range e.held {
		if h.Shard == shard {
			return h.TakenAt, true
		}
	}
	return time.Time{}, false
}
