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
	// downAfter is how long calls must fail before the platform is treated as
	// down.
	downAfter = 5 * time.Second
	// holdInterval is the time between two HoldShards with the same shards.
	holdInterval = 1 * time.Second
	// firstEpoch is the epoch of a shard's first holder.
	firstEpoch = 1
)

// leaseState is what the Engine keeps of leases besides the lease.Manager: what
// it published last, and when no request was in flight.
type leaseState struct {
	// held are the shards of the last HoldShards.
	held []HeldShard
	// claims are the shards that the own member record lists.
	claims       []member.Shard
	lastHoldSent time.Time
	// drainedAt is when the daemon last reported no request in flight. It is
	// zero after a report of some, and at the start of a departure.
	drainedAt time.Time
}

// ownZone returns the number of the own zone and its entry in the active
// document, which is nil if there is none.
func (e *Engine) ownZone() (document.ZoneID, *document.Zone) {
	id, ok := e.zoneID(e.config.Zone)
	if !ok {
		return 0, nil
	}
	return id, &e.documents.active.Zones[id]
}

func (e *Engine) leaseView(now time.Time, zone *document.Zone) lease.View {
	view := lease.View{
		Fresh:      !e.join.completedAt.IsZero(),
		Leaving:    e.leaving.started,
		Drained:    e.leases.drainedAt,
		Down:       e.calls.unreachable(now, downAfter),
		Quarantine: e.documents.active.Quarantine,
		Shards:     zone.Shards,
	}
	since := now.Add(-max(view.Quarantine, lease.DefaultQuarantine))
	e.members.ForEachRecent(since, func(r *member.Record, removedAt time.Time) {
		peer := lease.ZonePeer{
			ID: string(r.ID), Address: r.Address,
			Leaving: r.State == member.Leaving, Removed: r.State.Removed(), RemovedAt: removedAt,
		}
		for _, s := range r.Shards {
			peer.Shards = append(peer.Shards, lease.Claim{Index: s.Index, Epoch: s.Epoch})
		}
		view.ZonePeers = append(view.ZonePeers, peer)
	})
	return view
}

func (e *Engine) tickLeases(now time.Time) {
	_, zone := e.ownZone()
	if zone == nil {
		return
	}
	e.leaseManager.Tick(e.leaseView(now, zone), now)
	e.handleLeaseOutputs(now)
	if len(e.leases.held) > 0 && now.Sub(e.leases.lastHoldSent) >= holdInterval {
		e.emitHoldShards(now)
	}
}

func (e *Engine) handleLeaseOutputs(now time.Time) {
	changed := false
	for _, o := range e.leaseManager.TakeOutputs() {
		to := InstanceID(o.To)
		switch o.Kind {
		case lease.ReadRows:
			e.readLeaseRows(now)
		case lease.WriteRow:
			e.writeLeaseRow(now, o)
		case lease.SendProbe:
			e.send(to, o.Address, &LeaseProbe{Shard: o.Index, Epoch: o.Epoch})
		case lease.SendConfirm:
			e.send(to, o.Address, &LeaseConfirm{Shard: o.Index, Epoch: o.Epoch, Round: o.Round})
		case lease.SendHandover:
			e.send(to, o.Address, &LeaseHandover{
				Shard: o.Index, Epoch: o.Epoch, Row: o.Row, Version: o.Version, Sent: now,
			})
		case lease.ShardsChanged:
			changed = true
		case lease.LogEvent:
			e.log("shard", Field{"index", strconv.Itoa(int(o.Index))},
				Field{"epoch", strconv.FormatUint(o.Epoch, 10)}, Field{"change", o.Text})
		}
	}
	if changed {
		e.publishHeldShards(now)
	}
}

func (e *Engine) readLeaseRows(now time.Time) {
	_, zone := e.ownZone()
	id, ok := e.calls.startRead(purposeLeaseRows, now)
	if !ok || zone == nil {
		e.leaseManager.ReadEnded()
		return
	}
	keys := make([]string, zone.Shards)
	for i := range keys {
		keys[i] = lease.Key(e.config.Zone, uint16(i))
	}
	e.emit(ReadRows{ID: id, Keys: keys})
}

func (e *Engine) writeLeaseRow(now time.Time, o lease.Output) {
	id, ok := e.calls.startWrite(o.Index, now)
	if !ok {
		e.leaseManager.WriteNotSent(o.Index, now)
		return
	}
	e.emit(WriteRow{
		ID: id, Key: lease.Key(e.config.Zone, o.Index), IfVersion: o.Version, Value: o.Row.Encode(),
	})
}

func (e *Engine) leaseRowsRead(now time.Time, ended call, a PlatformAnswered) {
	e.leaseManager.ReadEnded()
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
		e.leaseManager.RowRead(uint16(i), *row, a.Rows[i].Version, ended.sent, now)
	}
	e.handleLeaseOutputs(now)
}

func (e *Engine) leaseRowWritten(now time.Time, ended call, a PlatformAnswered) {
	version := uint64(0)
	if len(a.Rows) == 1 {
		version = a.Rows[0].Version
	}
	e.leaseManager.WriteFinished(ended.shard, a.Conflict, a.Err != nil, version, now)
	e.handleLeaseOutputs(now)
}

// takeoverTime returns when a shard was taken from an earlier holder. It is zero
// for the first holder of a shard, since no earlier holder has records that this
// instance lacks.
func takeoverTime(h lease.Held) time.Time {
	if h.Epoch == firstEpoch {
		return time.Time{}
	}
	return h.TakenAt
}

// publishHeldShards notifies the daemon and the peers of the shards that this
// instance holds, if they changed.
func (e *Engine) publishHeldShards(now time.Time) {
	var claims []member.Shard
	for _, c := range e.leaseManager.Claims() {
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
	for _, h := range e.leaseManager.Held() {
		held = append(held, HeldShard{
			Shard: document.ShardID{Zone: id, Index: h.Index}, Epoch: h.Epoch, TakenAt: takeoverTime(h),
		})
	}
	if !slices.Equal(held, e.leases.held) {
		e.leases.held = held
		e.emitHoldShards(now)
	}
}

func (e *Engine) emitHoldShards(now time.Time) {
	e.leases.lastHoldSent = now
	e.emit(HoldShards{Held: slices.Clone(e.leases.held), Until: now.Add(lease.MaxPause)})
}

func (e *Engine) handleLeaseMessage(now time.Time, from *member.Record, message Message) {
	if from.Zone != e.config.Zone {
		return
	}
	id := string(from.ID)
	switch m := message.(type) {
	case *LeaseProbe:
		e.sendToMember(from, &LeaseProbeAnswer{Shard: m.Shard, Epoch: m.Epoch, Used: e.leaseManager.InUse(m.Shard)})
	case *LeaseProbeAnswer:
		e.leaseManager.ProbeAnswered(m.Shard, id, m.Used, now)
	case *LeaseConfirm:
		unchanged := e.leaseManager.AnswerConfirm(m.Shard, m.Epoch, id)
		e.sendToMember(from, &LeaseConfirmAnswer{Shard: m.Shard, Epoch: m.Epoch, Round: m.Round, Unchanged: unchanged})
	case *LeaseConfirmAnswer:
		e.leaseManager.ConfirmAnswered(m.Shard, m.Epoch, m.Round, id, m.Unchanged, now)
	case *LeaseHandover:
		accepted := e.leaseManager.ReceiveHandover(m.Shard, m.Epoch, id, m.Row, m.Version, m.Sent, now)
		e.sendToMember(from, &LeaseHandoverAnswer{Shard: m.Shard, Epoch: m.Epoch, Accepted: accepted})
	case *LeaseHandoverAnswer:
		e.leaseManager.HandoverAnswered(m.Shard, m.Epoch, id, m.Accepted, now)
	}
	e.handleLeaseOutputs(now)
}
