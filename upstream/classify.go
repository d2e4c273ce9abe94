package upstream

import (
	"slices"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
)

// Header fields exchanged between instances, callers and upstreams.
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

// Classify derives the result of an exchange from the status of the upstream's
// response.
func Classify(response *Response, shedStatuses []int) traffic.Result {
	status := response.Header.StatusCode()
	switch {
	case slices.Contains(shedStatuses, status):
		return traffic.Shed
	case status >= fasthttp.StatusInternalServerError:
		return traffic.Failed
	default:
		return traffic.Completed
	}
}

// ClassifyPeer derives the result of an exchange from the outcome that another
// instance states in its response.
func ClassifyPeer(response *Response) traffic.Result {
	switch string(response.Header.Peek(HeaderOutcome)) {
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

// Leaving reports whether the upstream announced in its response that it is
// leaving.
func Leaving(response *Response) bool {
	return response.Header.ConnectionClose() && len(response.Header.Peek(HeaderLeaving)) > 0
}
