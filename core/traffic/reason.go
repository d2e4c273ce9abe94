package traffic

// Reason is the cause of a refusal, an unknown outcome, a retry or an ejection.
// Each has an expvar counter in the daemon.
type Reason uint8

// Reasons of refusals, unknown outcomes, retries and ejections.
const (
	ReasonNone Reason = iota
	// Refusals.
	ReasonNoDocument
	ReasonNoService
	ReasonDeadline
	ReasonQueueFull
	ReasonNoTarget
	ReasonNoShard
	ReasonOwnerUnreachable
	ReasonKeyMemoryFull
	ReasonKeyExpired
	ReasonKeyBeforeTakeover
	ReasonKeyReused
	ReasonBadKey
	ReasonPoison
	ReasonLinkBudget
	ReasonShiftCap
	ReasonShed
	ReasonRetryBudget
	ReasonAttempts
	// Causes of unknown outcomes and of retries.
	ReasonBroken
	ReasonMalformed
	ReasonTimeout
	ReasonNotSent
	ReasonUpstreamError
	ReasonPeerUnknown
	// ReasonKeyUnknown means that an earlier request with the key may have run and
	// that its response is not stored.
	ReasonKeyUnknown
	// ReasonPreempted means that a background exchange was preempted to free its
	// slot for urgent work.
	ReasonPreempted
	// Causes of ejections.
	ReasonErrors
	ReasonLatency
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:              "none",
	ReasonNoDocument:        "no_document",
	ReasonNoService:         "no_service",
	ReasonDeadline:          "deadline",
	ReasonQueueFull:         "queue_full",
	ReasonNoTarget:          "no_target",
	ReasonNoShard:           "no_shard",
	ReasonOwnerUnreachable:  "owner_unreachable",
	ReasonKeyMemoryFull:     "key_memory_full",
	ReasonKeyExpired:        "key_expired",
	ReasonKeyBeforeTakeover: "key_before_takeover",
	ReasonKeyReused:         "key_reused",
	ReasonBadKey:            "bad_key",
	ReasonPoison:            "poison",
	ReasonLinkBudget:        "link_budget",
	ReasonShiftCap:          "shift_cap",
	ReasonShed:              "shed",
	ReasonRetryBudget:       "retry_budget",
	ReasonAttempts:          "attempts",
	ReasonBroken:            "broken",
	ReasonMalformed:         "malformed",
	ReasonTimeout:           "timeout",
	ReasonNotSent:           "not_sent",
	ReasonUpstreamError:     "upstream_error",
	ReasonPeerUnknown:       "peer_unknown",
	ReasonKeyUnknown:        "key_unknown",
	ReasonPreempted:         "recalled",
	ReasonErrors:            "errors",
	ReasonLatency:           "latency",
}

// String returns the name of the reason's counter.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
