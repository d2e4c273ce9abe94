package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/telemetry"
	"pistachioford.example/pistachioford/upstream"
)

// Header fields of requests and responses. Those between instances are removed
// from requests of callers, so that a caller cannot pose as a peer.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
	headerFrom           = "Pistachioford-From"
	headerFromRegion     = "Pistachioford-From-Region"
	headerHomeRegion     = "Pistachioford-Home-Region"
	headerToOwner        = "Pistachioford-To-Owner"
	headerShiftCharged   = "Pistachioford-Shift-Charged"
	headerAttempts       = "Pistachioford-Runs"
	valueTrue            = "1"
)

// reservedFields are removed from requests and responses that are passed on,
// since only instances may set them or, as with HeaderLeaving, read them.
// HeaderDeadline is not among them, since callers may set a deadline.
var reservedFields = []string{
	headerFrom, headerFromRegion, headerHomeRegion, headerToOwner, headerShiftCharged, headerAttempts,
	upstream.HeaderOutcome, upstream.HeaderReason, upstream.HeaderLeaving, headerReplayed,
}

// peerFields are the fields that setPeerFields adds to a forwarded request.
var peerFields = []string{headerFrom, headerFromRegion, headerHomeRegion, headerToOwner, headerShiftCharged, headerAttempts}

// hopByHopFields apply to a single connection and are not passed on.
var hopByHopFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect", "Proxy-Authenticate"}

// prepareRequestHeader removes the hop-by-hop and reserved fields and sets
// HTTP/1.1. It changes the header in place: the request belongs to the handler.
func prepareRequestHeader(header *fasthttp.RequestHeader) {
	for name := range header.All() {
		if isStripped(name) {
			deleteStrippedFields(header.Del)
			break
		}
	}
	header.ResetConnectionClose()
	header.SetProtocol("HTTP/1.1")
	header.SetNoDefaultContentType(true)
}

// stripResponseHeader removes the hop-by-hop and reserved fields of a response.
func stripResponseHeader(header *fasthttp.ResponseHeader) {
	for name := range header.All() {
		if isStripped(name) {
			deleteStrippedFields(header.Del)
			break
		}
	}
	header.ResetConnectionClose()
}

func deleteStrippedFields(del func(string)) {
	for _, name := range hopByHopFields {
		del(name)
	}
	for _, name := range reservedFields {
		del(name)
	}
}

// isStripped reports whether a field name in canonical form is hop-by-hop or
// reserved. Most headers contain no such field, and one pass over the header is
// cheaper than a search for each name.
func isStripped(name []byte) bool {
	if len(name) == 0 {
		return false
	}
	switch name[0] {
	case 'C', 'K', 'P', 'T', 'U', 'E', 'I':
		return slices.Contains(hopByHopFields, string(name)) || slices.Contains(reservedFields, string(name))
	default:
		return false
	}
}

// canonicalDeadlineName is HeaderDeadline, which is in canonical form already.
var canonicalDeadlineName = []byte(upstream.HeaderDeadline)

func setDeadline(header *fasthttp.RequestHeader, deadline time.Time) {
	var buffer [20]byte
	header.SetCanonical(canonicalDeadlineName, strconv.AppendInt(buffer[:0], deadline.UnixMilli(), 10))
}

// callerDeadline returns the deadline that the caller set, or the zero time if
// there is none or it is invalid.
func callerDeadline(header *fasthttp.RequestHeader) time.Time {
	value := header.Peek(upstream.HeaderDeadline)
	if len(value) == 0 {
		return time.Time{}
	}
	millis, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || millis <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// setPeerFields adds the fields for a peer if the attempt is forwarded.
// Otherwise it removes the fields that an earlier attempt added.
func setPeerFields(header *fasthttp.RequestHeader, try *attempt, origin *origin) {
	if !try.forwarded {
		if origin.hasPeerFields {
			for _, name := range peerFields {
				header.Del(name)
			}
		}
		return
	}
	origin.hasPeerFields = true
	header.Set(headerFrom, origin.self.ID)
	header.Set(headerFromRegion, origin.self.Region)
	setOrDelete(header, headerHomeRegion, origin.homeRegion)
	setOrDelete(header, headerToOwner, flagValue(try.forward.ToOwner))
	setOrDelete(header, headerShiftCharged, flagValue(try.forward.ShiftCharged))
	header.Set(headerAttempts, strconv.Itoa(int(try.forward.Attempts)))
}

func setOrDelete(header *fasthttp.RequestHeader, name, value string) {
	if value == "" {
		header.Del(name)
		return
	}
	header.Set(name, value)
}

// parseAttempts returns the number of attempts that a peer states, or 0 if the
// value is missing or invalid.
func parseAttempts(value []byte) uint8 {
	attempts, err := strconv.ParseUint(string(value), 10, 8)
	if err != nil {
		return 0
	}
	return uint8(attempts)
}

func flagValue(set bool) string {
	if set {
		return valueTrue
	}
	return ""
}

var reasonsByName = func() map[string]traffic.Reason {
	names := map[string]traffic.Reason{}
	for _, reason := range telemetry.Reasons() {
		names[reason.String()] = reason
	}
	return names
}()

// reasonByName returns ReasonNone for an unknown name; a newer peer may send
// one.
func reasonByName(name []byte) traffic.Reason { return reasonsByName[string(name)] }
