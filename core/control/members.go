package control

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/member"
)

// relayedPing is a ping that was sent on behalf of another instance.
type relayedPing struct {
	sequence uint64
	// origin asked for the ping with a PingRequest, which had the sequence
	// originSequence.
	origin         member.Record
	originSequence uint64
	target         InstanceID
	sent           time.Time
}

const (
	// relayTimeout is how long a response to a relayed ping is passed on.
	relayTimeout = 1 * time.Second
	maxRelays    = 256
	// relayBit is set in the sequences of relayed pings, to distinguish them
	// from the sequences of the failure detector.
	relayBit = 1 << 63
)

func (e *Engine) tickMembers(now time.Time) {
	for _, o := range e.members.Tick(now) {
		e.handleDetectorOutput(o)
	}
}

func (e *Engine) handleDetectorOutput(o member.Output) {
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

func (e *Engine) handleMemberMessage(now time.Time, from *member.Record, message Message) {
	switch m := message.(type) {
	case *Ping:
		e.sendToMember(from, &Ack{Sequence: m.Sequence})
	case *Ack:
		e.ackReceived(now, from, m)
	case *PingRequest:
		e.relayPing(now, from, m)
	case *Digest:
		e.compareDigests(now, from, m)
	case *MembersFetch:
		page, more := e.members.Page(m.Zone, m.After, pageSize)
		e.sendToMember(from, &MembersAnswer{Zone: m.Zone, Round: m.Round, After: m.After, Members: page, More: more})
	case *MembersAnswer:
		e.pageReceived(now, from, m)
	}
}

func (e *Engine) ackReceived(now time.Time, from *member.Record, m *Ack) {
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
		if r.sequence == m.Sequence && r.target == from.ID && now.Sub(r.sent) < relayTimeout {
			e.sendToMember(&r.origin, &Ack{Sequence: r.originSequence, Target: r.target})
			return
		}
	}
}

// relayPing pings the target of a request on behalf of its sender.
func (e *Engine) relayPing(now time.Time, from *member.Record, m *PingRequest) {
	kept := e.join.relays[:0]
	for _, r := range e.join.relays {
		if now.Sub(r.sent) < relayTimeout {
			kept = append(kept, r)
		}
	}
	e.join.relays = kept
	if len(kept) >= maxRelays {
		return
	}
	e.join.sequence++
	sequence := e.join.sequence | relayBit
	e.join.relays = append(kept, relayedPing{
		sequence: sequence, origin: *from, originSequence: m.Sequence, target: m.Target, sent: now,
	})
	e.send(m.Target, m.Address, &Ping{Sequence: sequence})
}

// publishPeers hands the list of live peers to the daemon when it changed.
func (e *Engine) publishPeers() {
	s := &e.published
	if s.upToDate && s.version == e.members.Version() {
		return
	}
	s.upToDate = true
	s.version = e.members.Version()
	for id := range s.revisions {
		if _, known := e.members.Get(id); !known {
			delete(s.revisions, id)
		}
	}
	var peers []Peer
	e.members.ForEachLive(func(r *member.Record) {
		peers = append(peers, Peer{
			ID: r.ID, Zone: r.Zone, Region: r.Region, Address: r.Address, CallerAddress: r.CallerAddress, ForwardAddress: r.ForwardAddress,
			Shards:      e.shardIDs(r),
			Leaving:     r.State == member.Leaving,
			Unreachable: e.members.Unreachable(r.Zone),
			Revision:    s.revisions[r.ID],
		})
	})
	e.emit(PublishPeers{Peers: peers})
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
