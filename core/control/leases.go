package control

import (
	"slices"
	"strconv"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
)

const (
	// downTime is how long calls fail before the platform counts as down.
	downTime = 5 * time.Second
	// holdInterval is how often HoldShards is repeated.
	holdInterval = 1 * time.Second
	// firstEpoch is the epoch of a shard's first holder.
	firstEpoch = 1
)

// leases is the state of the Engine around the lease.Keeper.
type leases struct {
	held    []HeldShard
	claims  []member.Shard
	told    time.Time
	drained time.Time
}

// ownZone returns the active document's row of the own zone.
func (e *Engine) ownZone() (document.ZoneID, *document.Zone) {
	id, ok := e.zoneID(e.config.Zone)
	if !ok {
		return 0, nil
	}
	return id, &e.documents.active.Zones[id]
}

func (e *Engine) leaseView(now time.Time, zone *document.Zone) lease.View {
	view := lease.View{
		Fresh:      !e.join.fresh.IsZero(),
		Leaving:    e.leaving.started,
		Drained:    e.leases.drained,
		Down:       e.calls.unreachable(now, downTime),
		Quarantine: e.documents.active.Quarantine,
		Shards:     zone.Shards,
	}
	since := now.Add(-max(view.Quarantine, lease.DefaultQuarantine))
	e.members.Recent(since, func(r *member.Record, goneSince time.Time) {
		m := lease.ZonePeer{
			ID: string(r.ID), Address: r.Address,
			Leaving: r.State == member.Leaving, Gone: r.State.Gone(), GoneSince: goneSince,
		}
		for _, s := range r.Shards {
			m.Shards = append(m.Shards, lease.Claim{Index: s.Index, Epoch: s.Epoch})
		}
		view.ZonePeers = append(view.ZonePeers, m)
	})
	return view
}

func (e *Engine) tickLeases(now time.Time) {
	_, zone := e.ownZone()
	if zone == nil {
		return
	}
	e.keeper.Tick(e.leaseView(now, zone), now)
	e.carryOutLeases(now)
	if len(e.leases.held) > 0 && now.Sub(e.leases.told) >= holdInterval {
		e.tellHeld(now)
	}
}

func (e *Engine) carryOutLeases(now time.Time) {
	changed := false
	for _, o := range e.keeper.Take() {
		to := InstanceID(o.To)
		switch o.Kind {
		case lease.ReadRows:
			e.readRows(now)
		case lease.WriteRow:
			e.writeRow(now, o)
		case lease.SendProbe:
			e.send(to, o.Address, &LeaseProbe{Shard: o.Index, Epoch: o.Epoch})
		case lease.SendConfirm:
			e.send(to, o.Address, &LeaseConfirm{Shard: o.Index, Epoch: o.Epoch, Round: o.Round})
		case lease.SendHandover:
			e.send(to, o.Address, &LeaseHandover{
				Shard: o.Index, Epoch: o.Epoch, Row: o.Row, Version: o.Version, Sent: now,
			})
		case lease.Changed:
			changed = true
		case lease.Note:
			e.log("shard", Field{"index", strconv.Itoa(int(o.Index))},
				Field{"epoch", strconv.FormatUint(o.Epoch, 10)}, Field{"change", o.Text})
		}
	}
	if changed {
		e.holdersChanged(now)
	}
}

func (e *Engine) readRows(now time.Time) {
	_, zone := e.ownZone()
	id, ok := e.calls.read(forRows, now)
	if !ok || zone == nil {
		e.keeper.ReadEnded()
		return
	}
	keys := make([]string, zone.Shards)
	for i := range keys {
		keys[i] = lease.Key(e.config.Zone, uint16(i))
	}
	e.do(Read{ID: id, Keys: keys})
}

func (e *Engine) writeRow(now time.Time, o lease.Output) {
	id, ok := e.calls.write(o.Index, now)
	if !ok {
		e.keeper.NotSent(o.Index, now)
		return
	}
	e.do(Write{
		ID: id, Key: lease.Key(e.config.Zone, o.Index), IfVersion: o.Version, Value: o.Row.Encode(),
	})
}

func (e *Engine) rowsRead(now time.Time, ended call, a PlatformAnswered) {
	e.keeper.ReadEnded()
	if a.Err != nil {
		return
	}
	for i := range a.Rows {
		row := &lease.Row{}
		if a.Rows[i].Version != 0 {
			decoded, err := lease.DecodeRow(a.Rows[i].Value)
			if err != nil {
				e.log("shard row refused", Field{"key", a.Rows[i].Key}, Field{"error", err.Error()})
				continue
			}
			row = decoded
		}
		e.keeper.Rows(uint16(i), *row, a.Rows[i].Version, ended.sent, now)
	}
	e.carryOutLeases(now)
}

func (e *Engine) rowWritten(now time.Time, ended call, a PlatformAnswered) {
	version := uint64(0)
	if len(a.Rows) == 1 {
		version = a.Rows[0].Version
	}
	e.keeper.Written(ended.shard, a.Conflict, a.Err != nil, version, now)
	e.carryOutLeases(now)
}

// takeover returns when a shard was taken from an earlier holder; the first
// holder has no earlier records to miss.
func takeover(h lease.Held) time.Time {
	if h.Epoch == firstEpoch {
		return time.Time{}
	}
	return h.TakenAt
}

// holdersChanged tells the daemon and the peers which shards this instance
// holds.
func (e *Engine) holdersChanged(now time.Time) {
	var claims []member.Shard
	for _, c := range e.keeper.Claims() {
		claims = append(claims, member.Shard{Index: c.Index, Epoch: c.Epoch})
	}
	if !slices.Equal(claims, e.leases.claims) {
		e.leases.claims = claims
		e.members.SetShards(claims)
	}
	id, zone := e.ownZone()
	if zone == nil {
		return
	}
	var held []HeldShard
	for _, h := range e.keeper.Held() {
		held = append(held, HeldShard{
			Shard: document.ShardID{Zone: id, Index: h.Index}, Epoch: h.Epoch, TakenAt: takeover(h),
		})
	}
	if !slices.Equal(held, e.leases.held) {
		e.leases.held = held
		e.tellHeld(now)
	}
}

func (e *Engine) tellHeld(now time.Time) {
	e.leases.told = now
	e.do(HoldShards{Held: slices.Clone(e.leases.held), Until: now.Add(lease.MaxGap)})
}

func (e *Engine) receiveLease(now time.Time, from *member.Record, message Message) {
	if from.Zone != e.config.Zone {
		return
	}
	id := string(from.ID)
	switch m := message.(type) {
	case *LeaseProbe:
		e.reply(from, &LeaseProbeAnswer{Shard: m.Shard, Epoch: m.Epoch, Used: e.keeper.Probed(m.Shard)})
	case *LeaseProbeAnswer:
		e.keeper.ProbeAnswered(m.Shard, id, m.Used, now)
	case *LeaseConfirm:
		unchanged := e.keeper.Unchanged(m.Shard, m.Epoch, id)
		e.reply(from, &LeaseConfirmAnswer{Shard: m.Shard, Epoch: m.Epoch, Round: m.Round, Unchanged: unchanged})
	case *LeaseConfirmAnswer:
		e.keeper.Confirmed(m.Shard, m.Epoch, m.Round, id, m.Unchanged, now)
	case *LeaseHandover:
		accepted := e.keeper.Handover(m.Shard, m.Epoch, id, m.Row, m.Version, m.Sent, now)
		e.reply(from, &LeaseHandoverAnswer{Shard: m.Shard, Epoch: m.Epoch, Accepted: accepted})
	case *LeaseHandoverAnswer:
		e.keeper.HandoverAnswered(m.Shard, m.Epoch, id, m.Accepted, now)
	}
	e.carryOutLeases(now)
}
