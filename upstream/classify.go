package upstream

import (
	"slices"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
)

// Header fields between instances, callers and upstreams.
const (
	HeaderDeadline = "Pistachioford-Deadline"
	HeaderOutcome  = "Pistachioford-Outcome"
	HeaderReason   = "Pistachioford-Reason"
	HeaderLeaving  = "Pistachioford-Leaving"
	// Values of HeaderOutcome.
	OutcomeNotRun    = "not-run"
	OutcomeUnknown   = "unknown"
	OutcomeKeyReused = "key-reused"
	OutcomeBadKey    = "bad-key"
)

// Classify returns the result of a whole answer of an upstream.
func Classify(answer *Answer, shedStatuses []int) traffic.Result {
	status := answer.Header.StatusCode()
	switch {
	case slices.Contains(shedStatuses, status):
		return traffic.Shed
	case status >= fasthttp.StatusInternalServerError:
		return traffic.Failed
	default:
		return traffic.Completed
	}
}

// ClassifyPeer returns the result of a whole answer of another instance.
func ClassifyPeer(answer *Answer) traffic.Result {
	switch string(answer.Header.Peek(HeaderOutcome)) {
	case OutcomeNotRun:
		return traffic.Shed
	case OutcomeUnknown:
		return traffic.UnknownAtPeer
	case OutcomeKeyReused:
		return traffic.KeyReusedAtPeer
	case OutcomeBadKey:
		return traffic.BadKeyAtPeer
	default:
		return traffic.Completed
	}
}

// Leaving tells whether the upstream announced in its answer that it leaves.
func Leaving(answer *Answer) bool {
	return answer.Header.ConnectionClose() && len(answer.Header.Peek(HeaderLeaving)) > 0
}
