package control

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/member"
)

// relay is a ping on behalf of another instance.
type relay struct {
	sequence uint64
	origin   member.Record
	theirs   uint64
	target   InstanceID
	sent     time.Time
}

const (
	// relayLife is how long the answer to a relayed ping is passed on.
	relayLife = 1 * time.Second
	maxRelays = 256
	// relayBit keeps the sequences of relayed pings apart from those of the
	// detector.
	relayBit = 1 << 63
)

func (e *Engine) tickMembers(now time.Time) {
	for _, o := range e.members.Tick(now) {
		e.carryOut(o)
	}
}

func (e *Engine) carryOut(o member.Output) {
	switch o.Kind {
	case member.SendPing:
		e.send(o.To, o.Address, &Ping{Sequence: o.Sequence})
	case member.SendPingRequest:
		e.send(o.To, o.Address, &PingRequest{
			Sequence: o.Sequence, Target: o.Target, Address: o.TargetAddress,
		})
	case member.SendDigest:
		e.send(o.To, o.Address, &Digest{Zones: e.members.Digests()})
	case member.SendGossip:
		e.send(o.To, o.Address, &Gossip{})
	}
}

func (e *Engine) receiveMember(now time.Time, from *member.Record, message Message) {
	switch m := message.(type) {
	case *Ping:
		e.reply(from, &Ack{Sequence: m.Sequence})
	case *Ack:
		e.acked(now, from, m)
	case *PingRequest:
		e.relayPing(now, from, m)
	case *Digest:
		e.compareDigests(now, from, m)
	case *MembersFetch:
		page, more := e.members.Page(m.Zone, m.After, pageSize)
		e.reply(from, &MembersAnswer{Zone: m.Zone, Round: m.Round, After: m.After, Members: page, More: more})
	case *MembersAnswer:
		e.pageReceived(now, from, m)
	}
}

func (e *Engine) acked(now time.Time, from *member.Record, m *Ack) {
	if m.Target != "" {
		e.members.Acked(m.Target, m.Sequence)
		return
	}
	if m.Sequence&relayBit == 0 {
		e.members.Acked(from.ID, m.Sequence)
		return
	}
	relays := e.join.relays
	for i := range relays {
		r := &relays[i]
		if r.sequence == m.Sequence && r.target == from.ID && now.Sub(r.sent) < relayLife {
			e.reply(&r.origin, &Ack{Sequence: r.theirs, Target: r.target})
			return
		}
	}
}

// relayPing pings the target of a request.
func (e *Engine) relayPing(now time.Time, from *member.Record, m *PingRequest) {
	kept := e.join.relays[:0]
	for _, r := range e.join.relays {
		if now.Sub(r.sent) < relayLife {
			kept = append(kept, r)
		}
	}
	e.join.relays = kept
	if len(kept) >= maxRelays {
		return
	}
	e.join.sequence++
	sequence := e.join.sequence | relayBit
	e.join.relays = append(kept, relay{
		sequence: sequence, origin: *from, theirs: m.Sequence, target: m.Target, sent: now,
	})
	e.send(m.Target, m.Address, &Ping{Sequence: sequence})
}

// showPeers shows the live peers when they changed.
func (e *Engine) showPeers() {
	s := &e.shown
	if s.once && s.version == e.members.Version() {
		return
	}
	s.once = true
	s.version = e.members.Version()
	for id := range s.active {
		if _, known := e.members.Get(id); !known {
			delete(s.active, id)
		}
	}
	var peers []Peer
	e.members.Live(func(r *member.Record) {
		peers = append(peers, Peer{
			ID: r.ID, Zone: r.Zone, Region: r.Region, Address: r.Address, Caller: r.Caller, Forward: r.Forward,
			Shards:      e.shardIDs(r),
			Leaving:     r.State == member.Leaving,
			Unreachable: e.members.Unreachable(r.Zone),
			Revision:    s.active[r.ID],
		})
	})
	e.do(ShowPeers{Peers: peers})
}

func (e *Engine) shardIDs(r *member.Record) []document.ShardID {
	zone, ok := e.zoneID(r.Zone)
	if !ok {
		return nil
	}
	var ids []document.ShardID
	for _, s := range r.Shards {
		ids = append(ids, document.ShardID{Zone: zone, Index: s.Index})
	}
	return ids
}
