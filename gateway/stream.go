package gateway

import (
	"errors"
	"time"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/callers"
)

// streamedReply returns a reply whose body is passed on while it arrives. The
// exchange ends when the body does, and cannot be retried.
func (g *Gateway) streamedReply(r *request, call *callers.Call, send *steer.Send, out *outcome) *reply {
	r.ResponseStarted = true
	if out.Notice != nil {
		// The end of the response may be far off.
		g.withEngine(func(e *steer.Engine) { e.RecordNotice(time.Now(), send, *out.Notice) })
		out.Notice = nil
	}
	return &reply{response: out.response, streamed: func(err error) {
		call.Detach()
		out.response.finish(err == nil)
		if err != nil {
			out.Result, out.err, out.Cause = g.streamResult(r, call, err), err, breakCause(err)
		}
		_, _ = g.finishExchange(r, send, out)
		if err == nil {
			g.logServed(r, send, out.response.header.StatusCode())
			return
		}
		g.logRefused(r, out.response.header.StatusCode(), reasonCutShort)
	}}
}

// reasonCutShort is logged for a response that ended after a part of it went to
// the caller.
const reasonCutShort = "cut_short"

func (g *Gateway) streamResult(r *request, call *callers.Call, err error) steer.Result {
	if errors.Is(err, callers.ErrWrite) || errors.Is(err, callers.ErrUndelimited) || call.Aborted() {
		return steer.Abandoned
	}
	return failureResult(err, true, r.Deadline)
}
