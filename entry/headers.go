package entry

import (
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

var betweenInstances = []string{headerFrom, headerFromRegion, headerHome, headerToOwner, headerShiftCharged, headerRuns}

// hopByHop are the fields that belong to one connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect", "Proxy-Authenticate"}

// cleanRequest prepares the header of a request for sending on. It changes the
// header in place: the request belongs to the handler.
func cleanRequest(header *fasthttp.RequestHeader) {
	for _, name := range hopByHop {
		header.Del(name)
	}
	for _, name := range betweenInstances {
		header.Del(name)
	}
	header.ResetConnectionClose()
	header.SetProtocol("HTTP/1.1")
	header.SetNoDefaultContentType(true)
}

// cleanAnswer removes what belongs to the connection of the upstream, and what
// only this system may say.
func cleanAnswer(header *fasthttp.ResponseHeader) {
	for _, name := range hopByHop {
		header.Del(name)
	}
	header.Del(upstream.HeaderOutcome)
	header.Del(upstream.HeaderReason)
	header.Del(upstream.HeaderLeaving)
	header.Del(headerReplayed)
	header.Del(headerRuns)
	header.ResetConnectionClose()
}

func setDeadline(header *fasthttp.RequestHeader, deadline time.Time) {
	var buffer [20]byte
	header.SetBytesV(upstream.HeaderDeadline, strconv.AppendInt(buffer[:0], deadline.UnixMilli(), 10))
}

// callerDeadline returns the zero time if the caller stated no valid deadline.
func callerDeadline(header *fasthttp.RequestHeader) time.Time {
	millis, err := strconv.ParseInt(string(header.Peek(upstream.HeaderDeadline)), 10, 64)
	if err != nil || millis <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// setForwarding adds the fields for a peer, or removes those of an earlier
// attempt.
func setForwarding(header *fasthttp.RequestHeader, forward *traffic.Forward, origin origin) {
	if forward == nil {
		if origin.marked {
			for _, name := range betweenInstances {
				header.Del(name)
			}
		}
		return
	}
	header.Set(headerFrom, origin.self.ID)
	header.Set(headerFromRegion, origin.self.Region)
	setOptional(header, headerHome, origin.home)
	setOptional(header, headerToOwner, flagValue(forward.ToOwner))
	setOptional(header, headerShiftCharged, flagValue(forward.ShiftCharged))
	header.Set(headerRuns, strconv.Itoa(int(forward.Runs)))
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
