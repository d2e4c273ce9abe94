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
	// statusGone is logged for a caller that left; nobody reads it.
	statusGone = 499
	// defaultRetryAfter is the hint of a refusal without one of its own.
	defaultRetryAfter = time.Second
)

var (
	noTime   time.Time
	pastTime = time.Unix(1, 0)
)

func isEnd(err error) bool { return err == io.EOF }

// answer writes the outcome of a request; spare is the answer that only this
// request refers to.
func (p *Proxy) answer(ctx *fasthttp.RequestCtx, reply *traffic.Reply, spare *upstream.Answer) {
	if reply == nil {
		ctx.SetStatusCode(statusGone)
		ctx.SetConnectionClose()
		return
	}
	switch reply.Outcome {
	case traffic.Answered:
		passOn(ctx, reply, spare)
	case traffic.NotRun:
		refuse(ctx, fasthttp.StatusServiceUnavailable, upstream.OutcomeNotRun, reply.Reason)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(reply.RetryAfter))
	case traffic.Unknown:
		refuse(ctx, fasthttp.StatusGatewayTimeout, upstream.OutcomeUnknown, reply.Reason)
		if reply.RetryAfter > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(reply.RetryAfter))
		}
	case traffic.KeyReused:
		refuse(ctx, fasthttp.StatusUnprocessableEntity, upstream.OutcomeKeyReused, traffic.ReasonKeyReused)
	case traffic.BadKey:
		refuse(ctx, fasthttp.StatusBadRequest, upstream.OutcomeBadKey, traffic.ReasonBadKey)
	}
}

// passOn writes an upstream's answer.
func passOn(ctx *fasthttp.RequestCtx, reply *traffic.Reply, spare *upstream.Answer) {
	answer, ok := reply.Answer.(*upstream.Answer)
	if !ok {
		refuse(ctx, fasthttp.StatusGatewayTimeout, upstream.OutcomeUnknown, traffic.ReasonBroken)
		return
	}
	answer.Header.CopyTo(&ctx.Response.Header)
	cleanAnswer(&ctx.Response.Header)
	ctx.Response.Header.SetNoDefaultContentType(true)
	if reply.Replayed {
		ctx.Response.Header.Set(headerReplayed, "true")
	}
	switch {
	case answer.Stream != nil:
		ctx.Response.SetBodyStream(answer.Stream, answer.Length)
	case ctx.IsHead():
		ctx.Response.SkipBody = true
		ctx.Response.Header.SetContentLength(answer.Length)
	default:
		ctx.Response.Header.Del(fasthttp.HeaderTransferEncoding)
		setBody(ctx, answer, answer == spare)
	}
}

// setBody gives the body of an answer that nobody else refers to away, and
// refers to another one.
func setBody(ctx *fasthttp.RequestCtx, answer *upstream.Answer, recycled bool) {
	if recycled {
		answer.Body = ctx.Response.SwapBody(answer.Body)
		return
	}
	ctx.Response.SetBodyRaw(answer.Body)
}

// refuse writes an outcome that is not an upstream's answer.
func refuse(ctx *fasthttp.RequestCtx, status int, outcome string, reason traffic.Reason) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(upstream.HeaderOutcome, outcome)
	ctx.Response.Header.Set(upstream.HeaderReason, reason.String())
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(outcome + ": " + reason.String() + "\n")
}

// retryAfter is in whole seconds, rounded up.
func retryAfter(hint time.Duration) string {
	if hint <= 0 {
		hint = defaultRetryAfter
	}
	return strconv.Itoa(int((hint + time.Second - 1) / time.Second))
}
