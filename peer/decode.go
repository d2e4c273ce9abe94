package peer

import (
	"errors"
	"fmt"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/peer/wire"
)

var errHeader = errors.New("message without a header or sender")

// Decode returns the control message of its protobuf form. It validates all
// input from peers, so that the engine receives only well-formed messages.
func Decode(in *wire.ControlMessage) (control.Message, error) {
	if in.GetHeader().GetSender().GetId() == "" {
		return nil, errHeader
	}
	if len(in.Header.Updates) > control.MaxUpdates {
		return nil, fmt.Errorf("%d updates in one message", len(in.Header.Updates))
	}
	header, err := decodeHeader(in.Header)
	if err != nil {
		return nil, err
	}
	if m, found, err := decodeMembership(in, header); found {
		return m, err
	}
	if m, found, err := decodeDocument(in, header); found {
		return m, err
	}
	if m, found, err := decodeLease(in, header); found {
		return m, err
	}
	return nil, fmt.Errorf("unknown message %T", in.Body)
}

// decodeMembership reports in its second result whether in is a membership
// message. decodeDocument and decodeLease do the same for their messages.
func decodeMembership(in *wire.ControlMessage, h control.Header) (control.Message, bool, error) {
	switch body := in.Body.(type) {
	case *wire.ControlMessage_Ping:
		return &control.Ping{Header: h, Sequence: body.Ping.GetSequence()}, true, nil
	case *wire.ControlMessage_Ack:
		return &control.Ack{
			Header: h, Sequence: body.Ack.GetSequence(), Target: control.InstanceID(body.Ack.GetTarget()),
		}, true, nil
	case *wire.ControlMessage_PingRequest:
		b := body.PingRequest
		return &control.PingRequest{
			Header: h, Sequence: b.GetSequence(), Target: control.InstanceID(b.GetTarget()), Address: b.GetAddress(),
		}, true, nil
	case *wire.ControlMessage_Gossip:
		return &control.Gossip{Header: h}, true, nil
	case *wire.ControlMessage_Digest:
		return decodeDigest(body.Digest, h), true, nil
	case *wire.ControlMessage_MembersFetch:
		b := body.MembersFetch
		return &control.MembersFetch{
			Header: h, Zone: b.GetZone(), After: control.InstanceID(b.GetAfter()), Round: b.GetRound(),
		}, true, nil
	case *wire.ControlMessage_MembersAnswer:
		b := body.MembersAnswer
		members, err := decodeRecords(b.GetMembers())
		return &control.MembersAnswer{
			Header: h, Zone: b.GetZone(), After: control.InstanceID(b.GetAfter()),
			Members: members, More: b.GetMore(), Round: b.GetRound(),
		}, true, err
	}
	return nil, false, nil
}

func decodeDocument(in *wire.ControlMessage, h control.Header) (control.Message, bool, error) {
	switch body := in.Body.(type) {
	case *wire.ControlMessage_HeadFetch:
		return &control.HeadFetch{Header: h}, true, nil
	case *wire.ControlMessage_HeadAnswer:
		b := body.HeadAnswer
		return &control.HeadAnswer{Header: h, Head: decodeHead(b.GetHead()), Synced: b.GetSynced()}, true, nil
	case *wire.ControlMessage_Offer:
		head := decodeHead(body.Offer.GetHead())
		if head == nil {
			return nil, true, errors.New("offer without a head")
		}
		return &control.Offer{Header: h, Head: *head, Round: body.Offer.GetRound()}, true, nil
	case *wire.ControlMessage_Acknowledgement:
		b := body.Acknowledgement
		starting, err := decodeRecords(b.GetStarting())
		return &control.Acknowledgement{
			Header: h, Revision: b.GetRevision(), Digest: b.GetDigest(),
			Held: b.GetHeld(), Synced: b.GetSynced(), Starting: starting, Round: b.GetRound(),
		}, true, err
	case *wire.ControlMessage_SectionFetch:
		b := body.SectionFetch
		return &control.SectionFetch{Header: h, Hash: b.GetHash(), Offset: b.GetOffset()}, true, nil
	case *wire.ControlMessage_SectionAnswer:
		b := body.SectionAnswer
		return &control.SectionAnswer{
			Header: h, Hash: b.GetHash(), Offset: b.GetOffset(), Size: b.GetSize(), Data: b.GetData(),
		}, true, nil
	case *wire.ControlMessage_BlockFetch:
		b := body.BlockFetch
		return &control.BlockFetch{Header: h, Hash: b.GetHash(), Offset: b.GetOffset()}, true, nil
	case *wire.ControlMessage_BlockAnswer:
		b := body.BlockAnswer
		return &control.BlockAnswer{
			Header: h, Hash: b.GetHash(), Offset: b.GetOffset(), Size: b.GetSize(), Data: b.GetData(),
		}, true, nil
	}
	return nil, false, nil
}

func decodeLease(in *wire.ControlMessage, h control.Header) (control.Message, bool, error) {
	switch body := in.Body.(type) {
	case *wire.ControlMessage_LeaseProbe:
		b := body.LeaseProbe
		shard, err := decodeIndex(b.GetShard())
		return &control.LeaseProbe{Header: h, Shard: shard, Epoch: b.GetEpoch()}, true, err
	case *wire.ControlMessage_LeaseProbeAnswer:
		b := body.LeaseProbeAnswer
		shard, err := decodeIndex(b.GetShard())
		return &control.LeaseProbeAnswer{Header: h, Shard: shard, Epoch: b.GetEpoch(), Used: b.GetUsed()}, true, err
	case *wire.ControlMessage_LeaseConfirm:
		b := body.LeaseConfirm
		shard, err := decodeIndex(b.GetShard())
		return &control.LeaseConfirm{Header: h, Shard: shard, Epoch: b.GetEpoch(), Round: b.GetRound()}, true, err
	case *wire.ControlMessage_LeaseConfirmAnswer:
		return decodeConfirmAnswer(body.LeaseConfirmAnswer, h)
	case *wire.ControlMessage_LeaseHandover:
		b := body.LeaseHandover
		shard, err := decodeIndex(b.GetShard())
		return &control.LeaseHandover{
			Header: h, Shard: shard, Epoch: b.GetEpoch(), Row: decodeRow(b.GetRow()), Version: b.GetVersion(),
			Sent: time.Unix(0, b.GetSentUnixNs()),
		}, true, err
	case *wire.ControlMessage_LeaseHandoverAnswer:
		b := body.LeaseHandoverAnswer
		shard, err := decodeIndex(b.GetShard())
		return &control.LeaseHandoverAnswer{
			Header: h, Shard: shard, Epoch: b.GetEpoch(), Accepted: b.GetAccepted(),
		}, true, err
	}
	return nil, false, nil
}

func decodeConfirmAnswer(b *wire.LeaseConfirmAnswer, h control.Header) (control.Message, bool, error) {
	shard, err := decodeIndex(b.GetShard())
	if err != nil {
		return nil, true, err
	}
	zone, err := decodeRecords(b.GetZone())
	return &control.LeaseConfirmAnswer{
		Header: h, Shard: shard, Epoch: b.GetEpoch(), Round: b.GetRound(),
		Unchanged: b.GetUnchanged(), Zone: zone,
	}, true, err
}

func decodeHeader(h *wire.Header) (control.Header, error) {
	sender, err := decodeRecord(h.Sender)
	if err != nil {
		return control.Header{}, err
	}
	updates, err := decodeRecords(h.Updates)
	return control.Header{Sender: sender, Revision: h.Revision, ZoneHash: h.ZoneHash, Updates: updates}, err
}

func decodeRecords(records []*wire.Record) ([]member.Record, error) {
	if len(records) == 0 {
		return nil, nil
	}
	out := make([]member.Record, len(records))
	for i, r := range records {
		decoded, err := decodeRecord(r)
		if err != nil {
			return nil, err
		}
		out[i] = decoded
	}
	return out, nil
}

func decodeRecord(r *wire.Record) (member.Record, error) {
	if r.GetId() == "" {
		return member.Record{}, errors.New("record without an instance")
	}
	if r.State > uint32(member.Left) {
		return member.Record{}, fmt.Errorf("record with state %d", r.State)
	}
	out := member.Record{
		ID: member.ID(r.Id), Zone: r.Zone, Region: r.Region,
		Address: r.Address, CallerAddress: r.Caller, ForwardAddress: r.Forward,
		Incarnation: r.Incarnation, State: member.State(r.State),
	}
	for _, s := range r.Shards {
		index, err := decodeIndex(s.GetIndex())
		if err != nil {
			return member.Record{}, err
		}
		out.Shards = append(out.Shards, member.Shard{Index: index, Epoch: s.GetEpoch()})
	}
	return out, nil
}

func decodeIndex(index uint32) (uint16, error) {
	if index > 1<<16-1 {
		return 0, fmt.Errorf("shard index %d", index)
	}
	return uint16(index), nil
}

func decodeDigest(in *wire.Digest, h control.Header) *control.Digest {
	out := &control.Digest{Header: h, Answer: in.GetAnswer()}
	for _, z := range in.GetZones() {
		out.Zones = append(out.Zones, member.ZoneDigest{
			Zone: z.GetZone(), Members: z.GetMembers(), Hash: z.GetHash(),
		})
	}
	return out
}

func decodeHead(in *wire.Head) *revision.Head {
	if in == nil {
		return nil
	}
	out := &revision.Head{Revision: in.Revision}
	for _, s := range in.Sections {
		out.Sections = append(out.Sections, revision.HeadSection{
			Name: s.GetName(), Version: s.GetVersion(), Hash: s.GetHash(), Team: s.GetTeam(),
		})
	}
	return out
}

func decodeRow(in *wire.LeaseRow) lease.Row {
	return lease.Row{
		Holder: in.GetHolder(), Address: in.GetAddress(), Epoch: in.GetEpoch(),
		ExpiryMillis: in.GetExpiryMs(), Released: in.GetReleased(),
	}
}
