package peer

import (
	"fmt"

	"pistachioford.example/core/control"
	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/peer/wire"
)

// Encode returns the protobuf form of a control message.
func Encode(m control.Message) (*wire.ControlMessage, error) {
	out := &wire.ControlMessage{Header: encodeHeader(control.HeaderOf(m))}
	if encodeMembership(m, out) || encodeDocument(m, out) || encodeLease(m, out) {
		return out, nil
	}
	return nil, fmt.Errorf("no protobuf form of %T", m)
}

// encodeMembership sets the body of out and returns true if m is a membership
// message. encodeDocument and encodeLease do the same for their messages.
func encodeMembership(m control.Message, out *wire.ControlMessage) bool {
	switch m := m.(type) {
	case *control.Ping:
		out.Body = &wire.ControlMessage_Ping{Ping: &wire.Ping{Sequence: m.Sequence}}
	case *control.Ack:
		out.Body = &wire.ControlMessage_Ack{Ack: &wire.Ack{Sequence: m.Sequence, Target: string(m.Target)}}
	case *control.PingRequest:
		out.Body = &wire.ControlMessage_PingRequest{PingRequest: &wire.PingRequest{
			Sequence: m.Sequence, Target: string(m.Target), Address: m.Address,
		}}
	case *control.Gossip:
		out.Body = &wire.ControlMessage_Gossip{Gossip: &wire.Empty{}}
	case *control.Digest:
		out.Body = &wire.ControlMessage_Digest{Digest: encodeDigest(m)}
	case *control.MembersFetch:
		out.Body = &wire.ControlMessage_MembersFetch{MembersFetch: &wire.MembersFetch{
			Zone: m.Zone, After: string(m.After), Round: m.Round,
		}}
	case *control.MembersAnswer:
		out.Body = &wire.ControlMessage_MembersAnswer{MembersAnswer: &wire.MembersAnswer{
			Zone: m.Zone, After: string(m.After), Members: encodeRecords(m.Members), More: m.More, Round: m.Round,
		}}
	default:
		return false
	}
	return true
}

func encodeDocument(m control.Message, out *wire.ControlMessage) bool {
	switch m := m.(type) {
	case *control.HeadFetch:
		out.Body = &wire.ControlMessage_HeadFetch{HeadFetch: &wire.Empty{}}
	case *control.HeadAnswer:
		out.Body = &wire.ControlMessage_HeadAnswer{HeadAnswer: &wire.HeadAnswer{
			Head: encodeHead(m.Head), Synced: m.Synced,
		}}
	case *control.Offer:
		out.Body = &wire.ControlMessage_Offer{Offer: &wire.Offer{Head: encodeHead(&m.Head), Round: m.Round}}
	case *control.Acknowledgement:
		out.Body = &wire.ControlMessage_Acknowledgement{Acknowledgement: &wire.Acknowledgement{
			Revision: m.Revision, Digest: m.Digest, Held: m.Held, Synced: m.Synced,
			Starting: encodeRecords(m.Starting), Round: m.Round,
		}}
	case *control.SectionFetch:
		out.Body = &wire.ControlMessage_SectionFetch{SectionFetch: &wire.DataFetch{Hash: m.Hash, Offset: m.Offset}}
	case *control.SectionAnswer:
		out.Body = &wire.ControlMessage_SectionAnswer{SectionAnswer: &wire.DataAnswer{
			Hash: m.Hash, Offset: m.Offset, Size: m.Size, Data: m.Data,
		}}
	case *control.BlockFetch:
		out.Body = &wire.ControlMessage_BlockFetch{BlockFetch: &wire.DataFetch{Hash: m.Hash, Offset: m.Offset}}
	case *control.BlockAnswer:
		out.Body = &wire.ControlMessage_BlockAnswer{BlockAnswer: &wire.DataAnswer{
			Hash: m.Hash, Offset: m.Offset, Size: m.Size, Data: m.Data,
		}}
	default:
		return false
	}
	return true
}

func encodeLease(m control.Message, out *wire.ControlMessage) bool {
	switch m := m.(type) {
	case *control.LeaseProbe:
		out.Body = &wire.ControlMessage_LeaseProbe{LeaseProbe: &wire.LeaseProbe{
			Shard: uint32(m.Shard), Epoch: m.Epoch,
		}}
	case *control.LeaseProbeAnswer:
		out.Body = &wire.ControlMessage_LeaseProbeAnswer{LeaseProbeAnswer: &wire.LeaseProbeAnswer{
			Shard: uint32(m.Shard), Epoch: m.Epoch, Used: m.Used,
		}}
	case *control.LeaseConfirm:
		out.Body = &wire.ControlMessage_LeaseConfirm{LeaseConfirm: &wire.LeaseConfirm{
			Shard: uint32(m.Shard), Epoch: m.Epoch, Round: m.Round,
		}}
	case *control.LeaseConfirmAnswer:
		out.Body = &wire.ControlMessage_LeaseConfirmAnswer{LeaseConfirmAnswer: &wire.LeaseConfirmAnswer{
			Shard: uint32(m.Shard), Epoch: m.Epoch, Round: m.Round, Unchanged: m.Unchanged,
			Zone: encodeRecords(m.Zone),
		}}
	case *control.LeaseHandover:
		out.Body = &wire.ControlMessage_LeaseHandover{LeaseHandover: &wire.LeaseHandover{
			Shard: uint32(m.Shard), Epoch: m.Epoch, Row: encodeRow(&m.Row), Version: m.Version,
			SentUnixNs: m.Sent.UnixNano(),
		}}
	case *control.LeaseHandoverAnswer:
		out.Body = &wire.ControlMessage_LeaseHandoverAnswer{LeaseHandoverAnswer: &wire.LeaseHandoverAnswer{
			Shard: uint32(m.Shard), Epoch: m.Epoch, Accepted: m.Accepted,
		}}
	default:
		return false
	}
	return true
}

func encodeHeader(h *control.Header) *wire.Header {
	return &wire.Header{
		Sender:   encodeRecord(&h.Sender),
		Revision: h.Revision,
		ZoneHash: h.ZoneHash,
		Updates:  encodeRecords(h.Updates),
	}
}

func encodeRecords(records []member.Record) []*wire.Record {
	out := make([]*wire.Record, len(records))
	for i := range records {
		out[i] = encodeRecord(&records[i])
	}
	return out
}

func encodeRecord(r *member.Record) *wire.Record {
	out := &wire.Record{
		Id: string(r.ID), Zone: r.Zone, Region: r.Region,
		Address: r.Address, Caller: r.CallerAddress, Forward: r.ForwardAddress,
		Incarnation: r.Incarnation, State: uint32(r.State),
	}
	for _, s := range r.Shards {
		out.Shards = append(out.Shards, &wire.Shard{Index: uint32(s.Index), Epoch: s.Epoch})
	}
	return out
}

func encodeDigest(m *control.Digest) *wire.Digest {
	out := &wire.Digest{Answer: m.Answer}
	for _, z := range m.Zones {
		out.Zones = append(out.Zones, &wire.ZoneDigest{Zone: z.Zone, Members: z.Members, Hash: z.Hash})
	}
	return out
}

func encodeHead(h *revision.Head) *wire.Head {
	if h == nil {
		return nil
	}
	out := &wire.Head{Revision: h.Revision}
	for _, s := range h.Sections {
		out.Sections = append(out.Sections, &wire.HeadSection{
			Name: s.Name, Version: s.Version, Hash: s.Hash, Team: s.Team,
		})
	}
	return out
}

func encodeRow(r *lease.Row) *wire.LeaseRow {
	return &wire.LeaseRow{
		Holder: r.Holder, Address: r.Address, Epoch: r.Epoch,
		ExpiryMs: r.ExpiryMillis, Released: r.Released,
	}
}
