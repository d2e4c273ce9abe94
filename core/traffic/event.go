package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// RequestID identifies one request inside one instance.
type RequestID uint64

// Attempt numbers the exchanges of one request, from 1.
type Attempt uint8

// Event is one input of the Engine.
type Event interface{ event() }

// RequestArrived reports a request whose headers have been read. The body may
// still be on its way.
type RequestArrived struct {
	ID      RequestID
	Service document.ServiceID
	// Revision is the document revision that Service refers to; zero for the
	// active one. The Engine maps a service of the previous revision by name.
	Revision uint64
	// Key is the caller's idempotency key, empty if it sent none.
	Key string
	// Fingerprint identifies the content of the request. It serves to detect
	// reused keys and poison requests.
	Fingerprint uint64
	// BodyBytes is the declared length of the body, in bytes; -1 if unknown.
	BodyBytes int64
	// Replayable is set when the body is held in memory and can be sent again.
	Replayable bool
	// Deadline is the time after which the caller no longer needs the response;
	// zero for the deadline of the service.
	Deadline time.Time
	// HomeRegion is the region that the caller's client block belongs to;
	// requests of another region count against the shift cap. Negative if
	// unknown.
	HomeRegion int
	// Forwarded is set for a request that a peer instance forwarded.
	Forwarded *Forwarded
}

// Forwarded describes how a request came from a peer instance.
type Forwarded struct {
	From       InstanceID
	FromRegion document.RegionID
	// ToOwner is set when the peer forwarded the request because this instance
	// owns its idempotency key; only such a request may be forwarded again.
	ToOwner bool
	// ShiftCharged is set when an instance of this region already counted the
	// request against the shift cap; it is copied from Forward.
	ShiftCharged bool
	// Attempts counts the attempts already made, copied from Forward.
	Attempts uint8
}

// RequestCanceled reports that the caller disconnected before it received its
// response.
type RequestCanceled struct{ ID RequestID }

// ExchangeEnded reports the end of one attempt at an upstream or a peer.
type ExchangeEnded struct {
	ID      RequestID
	Attempt Attempt
	Result  Result
	// Status is the HTTP status of a complete response.
	Status int
	// Response is the adapter's opaque handle of the complete response; the Engine
	// keeps it only for replays by idempotency key.
	Response Response
	// Latency is the time from sending to the end of the exchange.
	Latency time.Duration
	// Leaving is set when the upstream announced that it is leaving.
	Leaving bool
	// Reason is the peer's reason, for Shed and UnknownAtPeer.
	Reason Reason
	// Replayed is set when the peer returned a stored response.
	Replayed bool
	// Attempts is the peer's Reply.Attempts; zero ends the request without a
	// retry.
	Attempts uint8
}

// ResponseStarted reports that a response too large to be buffered has begun to
// arrive. The Engine replies at once with the streamed response and makes no
// further attempt; the slot stays busy until ExchangeEnded.
type ResponseStarted struct {
	ID       RequestID
	Attempt  Attempt
	Status   int
	Response Response
}

// Response is a response that the adapter buffers or streams.
type Response interface {
	// Size is the length of the body in bytes.
	Size() int
}

// Result classifies the end of an exchange.
type Result uint8

// Results of an exchange.
const (
	// Completed is a whole response that is not a failure of the upstream.
	Completed Result = iota
	// Failed is a whole response by which the upstream reports a failure of its
	// own (5xx). The request may have run.
	Failed
	// Shed is an explicit refusal by the upstream or the peer: it did not run.
	Shed
	// NotSent means that no byte of the request left this instance.
	NotSent
	// Broken means that the connection closed after sending began and before a
	// complete response. The request may have run; the upstream may have crashed.
	Broken
	// Malformed means that the upstream sent bytes that cannot be its response.
	// The request may have run.
	Malformed
	// TimedOut means that the deadline of the attempt passed.
	TimedOut
	// UnknownAtPeer means that a peer reported an unknown outcome.
	UnknownAtPeer
	// Canceled means that the exchange was canceled before its end.
	Canceled
	// KeyReusedAtPeer means that the key's owner has a record of another request
	// with the key.
	KeyReusedAtPeer
	// BadKeyAtPeer means that the key's owner found the key malformed.
	BadKeyAtPeer
)

// LoadReported is a load report of an upstream. It may be late or wrong.
type LoadReported struct {
	Target document.TargetID
	// Utilization is the reported fraction of busy slots, 0 to 1.
	Utilization float64
	At          time.Time
}

// TargetLeaving is a notice, from any source, that an upstream is leaving.
type TargetLeaving struct {
	Target document.TargetID
	// Seen is the time of the first notice at any instance.
	Seen time.Time
}

// TargetReturned reports that an upstream that was leaving is in service again.
type TargetReturned struct{ Target document.TargetID }

// DocumentChanged activates a compiled document.
type DocumentChanged struct{ Document *document.Compiled }

// ShardsChanged replaces the list of shards of its own zone that this instance
// holds.
type ShardsChanged struct{ Held []HeldShard }

// HeldShard is one shard lease held by this instance.
type HeldShard struct {
	Shard document.ShardID
	// OwnedSince is when this instance became the holder; it has no records of
	// keys created earlier.
	OwnedSince time.Time
}

// InstanceID identifies an entry instance; it is unique per process.
type InstanceID string

// PeerInfo describes a live peer.
type PeerInfo struct {
	ID     InstanceID
	Zone   document.ZoneID
	Shards []document.ShardID
	// Leaving peers get no new forwarded requests.
	Leaving bool
}

// PeersChanged replaces the list of live peers.
type PeersChanged struct{ Peers []PeerInfo }

// PeerLoad is a peer's load hint: its free slots and estimated wait for each
// group. The peer still decides on each forwarded request itself.
type PeerLoad struct {
	Peer InstanceID
	At   time.Time
	// Free holds the free slots by group, indexed by document.GroupID.
	Free []uint16
	// Wait holds the estimated wait for a slot by group.
	Wait []time.Duration
}

// PoisonSuspected is a peer's report of a request during which the connection
// to the upstream broke.
type PoisonSuspected struct {
	Fingerprint uint64
	Target      document.TargetID
	At          time.Time
	// Repeated is set when the exchange began after the peer knew of an earlier
	// crash of the same request, Overlapping when the exchange began before that.
	// Neither is set if the peer knew of no earlier crash.
	Repeated, Overlapping bool
}

// BroadcastDone reports that the peers acknowledged a broadcast or that its
// timeout passed.
type BroadcastDone struct{ ID BroadcastID }

// Draining reports that this instance is leaving: requests in flight continue,
// and Idle reports true once the last one has ended.
type Draining struct{}

func (RequestArrived) event()  {}
func (RequestCanceled) event() {}
func (ExchangeEnded) event()   {}
func (ResponseStarted) event() {}
func (LoadReported) event()    {}
func (TargetLeaving) event()   {}
func (TargetReturned) event()  {}
func (DocumentChanged) event() {}
func (ShardsChanged) event()   {}
func (PeersChanged) event()    {}
func (PeerLoad) event()        {}
func (PoisonSuspected) event() {}
func (BroadcastDone) event()   {}
func (Draining) event()        {}
