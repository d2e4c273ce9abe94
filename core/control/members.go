package control

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/member"
)

// Intervals of joining.
const (
	joinInterval = 1 * time.Second
	seedsAtOnce  = 3
	// pageSize bounds the records in one MembersAnswer.
	pageSize = 64
)

// header returns the shared part of a message to an instance.
func (e *Engine) header(to InstanceID) Header {
	return Header{
		Sender:   e.members.Self(),
		Revision: e.thin.active,
		ZoneHash: e.members.ZoneHash(),
		Updates:  e.members.Updates(to, MaxUpdates),
	}
}

func (e *Engine) send(to InstanceID, address string, m Message) {
	*m.message() = e.header(to)
	e.do(SendMessage{To: to, Address: address, Message: m})
}

// reply answers the sender of a message.
func (e *Engine) reply(to *member.Record, m Message) {
	e.send(to.ID, to.Address, m)
}

func (e *Engine) tickMembers(now time.Time) {
	for _, o := range e.members.Tick(now) {
		e.carryOut(o)
	}
	e.join(now)
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

// join pings seeds until an instance is known.
func (e *Engine) join(now time.Time) {
	seeds := e.config.Seeds
	if len(seeds) == 0 || e.members.LiveCount() > 1 || now.Sub(e.joined) < joinInterval {
		return
	}
	e.joined = now
	start := e.random.IntN(len(seeds))
	for k := 0; k < len(seeds) && k < seedsAtOnce; k++ {
		if address := seeds[(start+k)%len(seeds)]; address != e.config.Address {
			e.send("", address, &Ping{})
		}
	}
}

// showPeers shows the live peers when they changed.
func (e *Engine) showPeers() {
	if e.showed && e.shown == e.members.Version() {
		return
	}
	e.showed = true
	e.shown = e.members.Version()
	var peers []Peer
	e.members.Live(func(r *member.Record) {
		peers = append(peers, Peer{
			ID: r.ID, Zone: r.Zone, Region: r.Region, Address: r.Address, Caller: r.Caller, Forward: r.Forward,
			Shards:      e.shardIDs(r),
			Leaving:     r.State == member.Leaving,
			Unreachable: e.members.Unreachable(r.Zone),
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

// receive takes a message from a peer.
func (e *Engine) receive(now time.Time, r MessageReceived) {
	h := r.Message.message()
	e.members.Heard(h.Sender, now)
	e.members.Merge(h.Updates, now)
	switch m := r.Message.(type) {
	case *Ping:
		e.reply(&h.Sender, &Ack{Sequence: m.Sequence})
	case *Ack:
		e.members.Acked(h.Sender.ID, m.Sequence)
	}
}
