package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// Action is one output of the Engine. The adapter performs the actions in the
// order returned.
type Action interface{ action() }

// Send starts an exchange with an upstream. The adapter must not resend the
// request on its own and must report exactly one ExchangeEnded.
type Send struct {
	ID      RequestID
	Attempt Attempt
	Target  document.TargetID
	// Address is the target's address in the document that the Engine used for
	// the decision; the adapter's own document may already be newer.
	Address  string
	Deadline time.Time
}

// Forward starts an exchange with a peer instance. The adapter must report
// exactly one ExchangeEnded.
type Forward struct {
	ID       RequestID
	Attempt  Attempt
	Peer     InstanceID
	Deadline time.Time
	// ToOwner is set when the peer owns the idempotency key.
	ToOwner bool
	// ShiftCharged is set when this instance counted the request against the
	// shift cap of its region; the peer does not count it again.
	ShiftCharged bool
	// Attempts counts the attempts already made; the peer continues the count.
	Attempts uint8
}

// CancelExchange aborts an exchange; its connection must not be reused. The
// adapter still reports ExchangeEnded.
type CancelExchange struct {
	ID      RequestID
	Attempt Attempt
}

// Reply ends a request. Exactly one is returned for each RequestArrived that
// was not canceled.
type Reply struct {
	ID      RequestID
	Outcome Outcome
	// Reason is the cause of a refusal or an unknown outcome.
	Reason Reason
	// Response is set for Responded; the adapter passes it to the caller.
	Response Response
	// Replayed is set when Response was stored for an idempotency key.
	Replayed bool
	// Attempts counts the attempts made, here and at peers.
	Attempts uint8
	// RetryAfter is the time after which the caller may retry; zero for no
	// hint.
	RetryAfter time.Duration
}

// Release is the last action for a request: the Engine keeps no state of it and
// no exchange is in flight, so the adapter may free the body. Exactly one is
// returned for each RequestArrived, including canceled requests.
type Release struct{ ID RequestID }

// Outcome is the result of a request as reported to its caller.
type Outcome uint8

// Outcomes of a request.
const (
	// Responded passes on the upstream's response.
	Responded Outcome = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// KeyReused means that the idempotency key belongs to another request.
	KeyReused
	// BadKey means that the idempotency key is malformed.
	BadKey
)

// BroadcastID identifies a broadcast that waits for acknowledgements.
type BroadcastID uint64

// BroadcastPoison reports a suspected poison request to all instances of the
// region; the adapter reports BroadcastDone once all have acknowledged or
// Timeout has passed.
type BroadcastPoison struct {
	ID      BroadcastID
	Suspect PoisonSuspected
	Timeout time.Duration
}

// BroadcastLeaving reports to all instances of a zone that one of its upstreams
// is leaving.
type BroadcastLeaving struct{ Leaving TargetLeaving }

// IncrementCounter increments the counter of a reason within its family.
type IncrementCounter struct {
	Kind   CountKind
	Reason Reason
}

// CountKind is a family of counters.
type CountKind uint8

// Families of counters.
const (
	// CountRefusal counts all replies other than Responded, and failure responses
	// that are passed on because a retry was refused.
	CountRefusal CountKind = iota
	CountRetry
	CountEjection
)

func (Send) action()             {}
func (Forward) action()          {}
func (CancelExchange) action()   {}
func (Reply) action()            {}
func (Release) action()          {}
func (BroadcastPoison) action()  {}
func (BroadcastLeaving) action() {}
func (IncrementCounter) action() {}
