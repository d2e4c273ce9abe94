package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// Action is one output of the Engine, to be carried out by the adapter in the
// order returned.
type Action interface{ action() }

// Send starts an exchange with an upstream. The adapter must not resend it by
// itself and must report exactly one ExchangeEnded.
type Send struct {
	ID      RequestID
	Attempt Attempt
	Target  document.TargetID
	// Address is the target's address in the document by which the Engine
	// decided; the adapter's own document may already be a newer one.
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
	// Runs is the number of attempts already made; the peer goes on counting.
	Runs uint8
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
	// Reason tells why, for refusals and unknown outcomes.
	Reason Reason
	// Answer is set for Answered; the adapter passes it to the caller.
	Answer Answer
	// Replayed is set when Answer was kept for an idempotency key.
	Replayed bool
	// Runs is the number of attempts made, here and at peers.
	Runs uint8
	// RetryAfter is a hint for the caller, zero if none.
	RetryAfter time.Duration
}

// Release is the last action for a request: the Engine has forgotten it and no
// exchange of it is in flight, so that the adapter may free the body. Exactly
// one is returned for each RequestArrived, canceled ones included.
type Release struct{ ID RequestID }

// Outcome is what a caller is told.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered passes the upstream's answer on.
	Answered Outcome = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// KeyReused means that the key belongs to another request.
	KeyReused
	// BadKey means that the key is malformed.
	BadKey
)

// BroadcastID identifies a broadcast that waits for acknowledgements.
type BroadcastID uint64

// BroadcastPoison reports a suspected poison request to all instances of the
// region; the adapter answers with BroadcastDone after all acknowledged or
// after Timeout.
type BroadcastPoison struct {
	ID      BroadcastID
	Suspect PoisonSuspected
	Timeout time.Duration
}

// BroadcastLeaving reports a leaving upstream to all instances of its zone.
type BroadcastLeaving struct{ Leaving TargetLeaving }

// Count raises the counter of a refusal or retry reason by one.
type Count struct {
	Kind   CountKind
	Reason Reason
}

// CountKind separates the families of counters.
type CountKind uint8

// Families of counters.
const (
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
func (Count) action()            {}
