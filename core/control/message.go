package control

import (
	"time"

	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
)

// Message is one message between two instances. The daemon encodes it in
// protobuf; see the package peer. Messages are immutable once sent.
type Message interface {
	// header returns the header that is part of each message.
	header() *Header
}

// MaxUpdates bounds the updates in one message, so that the traffic of an
// instance does not grow with the fleet.
const MaxUpdates = 8

// MaxDataBytes bounds the data in one SectionAnswer or BlockAnswer; a peer
// message may have 1 MiB.
const MaxDataBytes = 256 << 10

// Header is part of each message.
type Header struct {
	// Sender describes the sending instance.
	Sender member.Record
	// Revision is the revision that the sender has active, 0 for none.
	Revision uint64
	// ZoneHash is the hash of the sender's view of its own zone. Instances of
	// one zone compare it to detect that their views differ.
	ZoneHash uint64
	// Updates are at most MaxUpdates records of other instances.
	Updates []member.Record
}

func (h *Header) header() *Header { return h }

// HeaderOf returns the header of a message.
func HeaderOf(m Message) *Header { return m.header() }

// Ping asks for an Ack with the same sequence.
type Ping struct {
	Header
	Sequence uint64
}

// Ack answers a Ping or, on behalf of Target, a PingRequest.
type Ack struct {
	Header
	Sequence uint64
	// Target is set in the response to a PingRequest.
	Target InstanceID
}

// PingRequest asks the receiver to ping Target and to pass its Ack on.
type PingRequest struct {
	Header
	Sequence uint64
	Target   InstanceID
	Address  string
}

// Gossip carries only the header. It passes on what should not wait for the
// next ping: changed records of members, a newly active revision, a departure.
type Gossip struct{ Header }

// Digest summarizes the sender's view of each zone, so that two instances of
// different zones can compare their views.
type Digest struct {
	Header
	Zones []member.ZoneDigest
	// Answer is set in the response to a Digest, which itself is not answered.
	Answer bool
}

// MembersFetch asks for the records of one zone, or of all zones if Zone is
// empty.
type MembersFetch struct {
	Header
	Zone string
	// Round matches a response to its request.
	Round uint64
	// After is the last identifier of the previous page; it is empty for the
	// first page.
	After InstanceID
}

// MembersAnswer is a page of records ordered by identifier.
type MembersAnswer struct {
	Header
	Zone    string
	Round   uint64
	After   InstanceID
	Members []member.Record
	// More is set when another page follows.
	More bool
}

// HeadFetch asks for the head of the highest revision that the receiver holds.
type HeadFetch struct{ Header }

// HeadAnswer answers a HeadFetch.
type HeadAnswer struct {
	Header
	// Head is nil if the sender holds no document.
	Head *revision.Head
	// Synced reports whether the sender may be a source for a starting instance.
	Synced bool
}

// Offer asks the receiver to hold a revision before it becomes active.
type Offer struct {
	Header
	Head revision.Head
	// Round matches an acknowledgement to its offer.
	Round uint64
}

// Acknowledgement answers an Offer: it reports that the sender holds a revision.
type Acknowledgement struct {
	Header
	Round    uint64
	Revision uint64
	// Digest is the digest of the head of that revision.
	Digest string
	// Held is the highest revision that the sender holds.
	Held uint64
	// Synced reports whether the sender may be a source for a starting instance.
	Synced bool
	// Starting are instances that recently offered a revision to the sender and
	// may become active with it; the receiver waits for them too.
	Starting []member.Record
}

// SectionFetch asks for the text of a section by its content hash.
type SectionFetch struct {
	Header
	Hash string
	// Offset is the position of the first byte wanted.
	Offset uint64
}

// SectionAnswer answers a SectionFetch with at most MaxDataBytes bytes.
type SectionAnswer struct {
	Header
	Hash   string
	Offset uint64
	// Size is the size of the whole text; 0 if the sender does not have it.
	Size uint64
	Data []byte
}

// LeaseProbe asks whether the receiver uses a shard of the sender's zone or is
// taking it.
type LeaseProbe struct {
	Header
	Shard uint16
	// Epoch is the epoch in the row that the sender read.
	Epoch uint64
}

// LeaseProbeAnswer answers a LeaseProbe.
type LeaseProbeAnswer struct {
	Header
	Shard uint16
	Epoch uint64
	// Used is set when the sender uses the shard or may still come to use it.
	Used bool
}

// LeaseConfirm asks an instance of the zone whether the row of a shard may have
// changed since the sender last held the shard, before a pause.
type LeaseConfirm struct {
	Header
	Shard uint16
	Epoch uint64
	// Round matches a response to its request.
	Round uint64
}

// LeaseConfirmAnswer answers a LeaseConfirm.
type LeaseConfirmAnswer struct {
	Header
	Shard uint16
	Epoch uint64
	Round uint64
	// Unchanged is set when the sender has taken no step to take the shard and
	// knows of neither another holder nor a higher epoch.
	Unchanged bool
	// Zone is meant for the instances of the zone that the sender knows and
	// that may have taken the shard, each of which has to confirm. The Engine
	// neither sets nor reads it.
	Zone []member.Record
}

// LeaseHandover passes a shard to an instance of the same zone. The sender has
// stopped using it.
type LeaseHandover struct {
	Header
	Shard uint16
	// Epoch is the epoch of the receiver, one above that of the sender.
	Epoch uint64
	// Row and Version are the row and its version as the sender last knew them.
	Row     lease.Row
	Version uint64
	// Sent is when the handover was sent, by the clock of the sender. An old
	// handover is refused, because the sender may have given up waiting for the
	// response.
	Sent time.Time
}

// LeaseHandoverAnswer answers a LeaseHandover.
type LeaseHandoverAnswer struct {
	Header
	Shard    uint16
	Epoch    uint64
	Accepted bool
}

// BlockFetch asks for a chunk of client blocks, or their manifest, by its
// content hash.
type BlockFetch struct {
	Header
	Hash   string
	Offset uint64
}

// BlockAnswer answers a BlockFetch with at most MaxDataBytes bytes.
type BlockAnswer struct {
	Header
	Hash   string
	Offset uint64
	// Size is the size of the whole object; 0 if the sender does not have it.
	Size uint64
	Data []byte
}
