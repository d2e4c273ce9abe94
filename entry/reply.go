package entry

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

const (
	// statusClientClosedRequest is set for a caller that has closed its
	// connection and normally does not read the response.
	statusClientClosedRequest = 499
	// defaultRetryAfter applies to a refusal that states no delay.
	defaultRetryAfter = time.Second
)

var (
	noDeadline   time.Time
	pastDeadline = time.Unix(1, 0)
)

func isEOF(err error) bool { return err == io.EOF }

// writeReply writes the outcome of a request. A nil reply means that the caller
// has closed its connection. pooled is a response that only this request refers
// to; it may be nil.
func (p *Proxy) writeReply(ctx *fasthttp.RequestCtx, reply *traffic.Reply, pooled *upstream.Response) {
	if reply == nil {
		ctx.SetStatusCode(statusClientClosedRequest)
		ctx.SetConnectionClose()
		return
	}
	switch reply.Outcome {
	case traffic.Responded:
		writeResponse(ctx, reply, pooled)
	case traffic.NotRun:
		writeRefusal(ctx, fasthttp.StatusServiceUnavailable, upstream.OutcomeNotRun, reply.Reason)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatRetryAfter(reply.RetryAfter))
	case traffic.Unknown:
		writeRefusal(ctx, fasthttp.StatusGatewayTimeout, upstream.OutcomeUnknown, reply.Reason)
		if reply.RetryAfter > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatRetryAfter(reply.RetryAfter))
		}
	case traffic.KeyReused:
		writeRefusal(ctx, fasthttp.StatusUnprocessableEntity, upstream.OutcomeKeyReused, traffic.ReasonKeyReused)
	case traffic.BadKey:
		writeRefusal(ctx, fasthttp.StatusBadRequest, upstream.OutcomeBadKey, traffic.ReasonBadKey)
	}
}

// writeResponse passes on the response of an upstream.
func writeResponse(ctx *fasthttp.RequestCtx, reply *traffic.Reply, pooled *upstream.Response) {
	response, ok := reply.Response.(*upstream.Response)
	if !ok {
		writeRefusal(ctx, fasthttp.StatusGatewayTimeout, upstream.OutcomeUnknown, traffic.ReasonBroken)
		return
	}
	response.Header.CopyTo(&ctx.Response.Header)
	stripResponseHeader(&ctx.Response.Header)
	ctx.Response.Header.SetNoDefaultContentType(true)
	if reply.Replayed {
		ctx.Response.Header.Set(headerReplayed, "true")
	}
	switch {
	case response.Stream != nil:
		ctx.Response.SetBodyStream(response.Stream, response.Length)
	case ctx.IsHead():
		ctx.Response.SkipBody = true
		ctx.Response.Header.SetContentLength(response.Length)
	default:
		ctx.Response.Header.Del(fasthttp.HeaderTransferEncoding)
		setBody(ctx, response, response == pooled)
	}
}

// setBody sets the body without copying it. A pooled response, which nothing
// else refers to, gets the previous buffer of the context in exchange.
func setBody(ctx *fasthttp.RequestCtx, response *upstream.Response, isPooled bool) {
	if isPooled {
		response.Body = ctx.Response.SwapBody(response.Body)
		return
	}
	ctx.Response.SetBodyRaw(response.Body)
}

// writeRefusal writes an outcome that is not the response of an upstream.
func writeRefusal(ctx *fasthttp.RequestCtx, status int, outcome string, reason traffic.Reason) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(upstream.HeaderOutcome, outcome)
	ctx.Response.Header.Set(upstream.HeaderReason, reason.String())
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(outcome + ": " + reason.String() + "\n")
}

// formatRetryAfter returns the delay in whole seconds, rounded up.
func formatRetryAfter(hint time.Duration) string {
	if hint <= 0 {
		hint = defaultRetryAfter
	}
	return strconv.Itoa(int((hint + time.Second - 1) / time.Second))
}
