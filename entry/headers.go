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

// Header fields of requests. Those between instances are removed from requests
// of callers, so that a caller cannot pass as a peer.
const (
	headerKey          = "Idempotency-Key"
	headerReplayed     = "Idempotency-Replayed"
	headerFrom         = "Pistachioford-From"
	headerFromRegion   = "Pistachioford-From-Region"
	headerHome         = "Pistachioford-Home-Region"
	headerToOwner      = "Pistachioford-To-Owner"
	headerShiftCharged = "Pistachioford-Shift-Charged"
	headerRuns         = "Pistachioford-Runs"
	valueTrue          = "1"
)

// ownFields are those that only this system may set; the deadline is not among
// them, since callers may state one.
var ownFields = []string{
	headerFrom, headerFromRegion, headerHome, headerToOwner, headerShiftCharged, headerRuns,
	upstream.HeaderOutcome, upstream.HeaderReason, upstream.HeaderLeaving, headerReplayed,
}

var betweenInstances = []string{headerFrom, headerFromRegion, headerHome, headerToOwner, headerShiftCharged, headerRuns}

// hopByHop are the fields that belong to one connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect", "Proxy-Authenticate"}

// cleanRequest prepares the header of a request for sending on. It changes the
// header in place: the request belongs to the handler.
func cleanRequest(header *fasthttp.RequestHeader) {
	for name := range header.All() {
		if dropped(name) {
			deleteAll(header.Del)
			break
		}
	}
	header.ResetConnectionClose()
	header.SetProtocol("HTTP/1.1")
	header.SetNoDefaultContentType(true)
}

// cleanAnswer removes what belongs to the connection of the upstream, and what
// only this system may say.
func cleanAnswer(header *fasthttp.ResponseHeader) {
	for name := range header.All() {
		if dropped(name) {
			deleteAll(header.Del)
			break
		}
	}
	header.ResetConnectionClose()
}

func deleteAll(del func(string)) {
	for _, name := range hopByHop {
		del(name)
	}
	for _, name := range ownFields {
		del(name)
	}
}

// dropped tells whether a field in normal form is among those to delete. Most
// headers have none, and one pass is cheaper than a search for each name.
func dropped(name []byte) bool {
	if len(name) == 0 {
		return false
	}
	switch name[0] {
	case 'C', 'K', 'P', 'T', 'U', 'E', 'I':
		return slices.Contains(hopByHop, string(name)) || slices.Contains(ownFields, string(name))
	default:
		return false
	}
}

// deadlineName is in normal form already.
var deadlineName = []byte(upstream.HeaderDeadline)

func setDeadline(header *fasthttp.RequestHeader, deadline time.Time) {
	var buffer [20]byte
	header.SetCanonical(deadlineName, strconv.AppendInt(buffer[:0], deadline.UnixMilli(), 10))
}

// callerDeadline returns the zero time if the caller stated no valid deadline.
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

// setForwarding adds the fields for a peer, or removes those of an earlier
// attempt.
func setForwarding(header *fasthttp.RequestHeader, try *attempt, origin *origin) {
	if !try.forwarded {
		if origin.marked {
			for _, name := range betweenInstances {
				header.Del(name)
			}
		}
		return
	}
	origin.marked = true
	header.Set(headerFrom, origin.self.ID)
	header.Set(headerFromRegion, origin.self.Region)
	setOptional(header, headerHome, origin.home)
	setOptional(header, headerToOwner, flagValue(try.forward.ToOwner))
	setOptional(header, headerShiftCharged, flagValue(try.forward.ShiftCharged))
	header.Set(headerRuns, strconv.Itoa(int(try.forward.Runs)))
}

func setOptional(header *fasthttp.RequestHeader, name, value string) {
	if value == "" {
		header.Del(name)
		return
	}
	header.Set(name, value)
}

// runsOf returns the number of attempts that a peer states, 0 if none.
func runsOf(value []byte) uint8 {
	runs, err := strconv.ParseUint(string(value), 10, 8)
	if err != nil {
		return 0
	}
	return uint8(runs)
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

// reasonByName returns ReasonNone for an unknown name, which a newer peer may
// send.
func reasonByName(name []byte) traffic.Reason { return reasonsByName[string(name)] }
