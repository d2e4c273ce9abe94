package gateway

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/account"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/callers"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const headerRequestID = platform.HeaderRequestID

// request is a caller's request while it is served.
type request struct {
	header  *fasthttp.RequestHeader
	body    body
	id      []byte
	arrived time.Time
	// accounts are those of the document by which the request was matched, nil if
	// callers need no keys.
	accounts *account.Directory
	// holdsToken is set while the request holds a token of its account's cap.
	holdsToken bool
	// delayed is how long the request waited here for room at its target.
	delayed time.Duration
	steer.Request
}

// reply is the final response to a request: a target's, or one of the gateway
// itself.
type reply struct {
	// request is the request that the reply is for, once a connection has it.
	request  *request
	response *response
	// callerDisconnected is set if the caller disconnected; nothing is written.
	callerDisconnected bool
	status             int
	text               string
	retryAfter         time.Duration
	// challenge is set if the reply names the scheme of keys that callers need.
	challenge bool
	// streamed is called once with the end of a response that is passed on in
	// pieces; it is nil for all others.
	streamed func(error)
}

// gatewayReply returns a reply that does not come from a target.
func gatewayReply(status int, text string, retryAfter time.Duration) *reply {
	return &reply{status: status, text: text, retryAfter: retryAfter}
}

// appendTo encodes the reply, but for the body of a target's response. closeConn
// announces that the connection closes.
func (p *reply) appendTo(dst []byte, r *request, closeConn bool) []byte {
	if p.response != nil {
		return p.response.appendHead(dst, framing{p.responseLength(r), closeConn})
	}
	dst = appendStatusLine(dst, p.status)
	if len(r.id) > 0 {
		dst = appendField(dst, []byte(headerRequestID), r.id)
	}
	if p.retryAfter > 0 {
		dst = append(dst, "Retry-After: "...)
		dst = strconv.AppendFloat(dst, p.retryAfter.Seconds(), 'f', 3, 64)
		dst = append(dst, "\r\n"...)
	}
	if p.challenge {
		dst = append(dst, "WWW-Authenticate: Bearer\r\n"...)
	}
	dst = append(dst, "Content-Type: text/plain; charset=utf-8\r\n"...)
	dst = framing{len(p.text) + 1, closeConn}.appendTo(dst)
	if r.isHead() {
		return dst
	}
	return append(append(dst, p.text...), '\n')
}

// responseLength returns the length that is declared for the body of a target's
// response, or -1 if it is not known yet.
func (p *reply) responseLength(r *request) int {
	declared := p.response.header.ContentLength()
	switch {
	case r.isHead():
		return max(declared, 0)
	case p.response.rest == nil:
		return len(p.response.body)
	default:
		return max(declared, -1)
	}
}

func (r *request) isHead() bool { return r.header != nil && r.header.IsHead() }

func newRequest(header *fasthttp.RequestHeader, arrived time.Time) request {
	return request{header: header, arrived: arrived, id: append([]byte(nil), header.Peek(headerRequestID)...)}
}

func (r *request) setBody(b body) {
	r.body = b
	r.BodyBytes = b.size()
}

// deadlineOf returns when the response is due: after the timeout of the route, or
// earlier if the caller states so.
func (r *request) deadlineOf(route *steer.Route) time.Time {
	deadline := r.arrived.Add(route.Timeout)
	if left, found := platform.ParseTimeLeft(r.header.Peek(platform.HeaderTimeLeft)); found {
		if callerDeadline := r.arrived.Add(left); callerDeadline.Before(deadline) {
			return callerDeadline
		}
	}
	return deadline
}

// prepare sets the route and the other inputs of the engine's decisions.
func (r *request) prepare(route *steer.Route) {
	r.Route = route
	r.Deadline = r.deadlineOf(route)
	object := r.header.Cookie(platform.CookieAffinityKey)
	if route.Affinity && len(object) > 0 {
		r.Object = hashParts([]byte(route.Name), object)
	}
	parts := [][]byte{r.header.Method(), r.header.Host(), r.header.RequestURI(), object, r.body.buffered}
	if r.Account != nil {
		parts = append(parts, []byte(r.Account.Name))
	}
	r.Fingerprint = hashParts(parts...)
	r.Streaming = r.body.rest != nil
}

// hashParts hashes each part after its length, so that equal bytes that are
// split differently have different hashes.
func hashParts(parts ...[]byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var length [8]byte
	for _, part := range parts {
		_, _ = digest.Write(strconv.AppendInt(length[:0], int64(len(part)), 36))
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// requestHost returns the lower-case host without its port.
func requestHost(header *fasthttp.RequestHeader) string {
	host := bytes.ToLower(header.Host())
	if colon := bytes.LastIndexByte(host, ':'); colon >= 0 && bytes.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return string(host)
}

func requestPath(header *fasthttp.RequestHeader) string {
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	return string(path)
}

// handleGuarded responds with status 502 to a request whose handling panicked:
// it may have run.
func (g *Gateway) handleGuarded(r *request, call *callers.Call) (p *reply) {
	if !g.guard("request", func() { p = g.handleRequest(r, call) }) {
		call.Cancel()
		g.logRefused(r, fasthttp.StatusBadGateway, reasonPanic)
		p = gatewayReply(fasthttp.StatusBadGateway, "internal error", 0)
	}
	return p
}

// admitHeaderGuarded responds with status 502 to a request whose check panicked.
func (g *Gateway) admitHeaderGuarded(r *request) (refused *reply) {
	if !g.guard("account", func() { refused = g.admitHeader(r) }) {
		g.logRefused(r, fasthttp.StatusBadGateway, reasonPanic)
		return gatewayReply(fasthttp.StatusBadGateway, "internal error", 0)
	}
	return refused
}

// reasonDraining is the reason why an instance refuses a request that it may have
// to cut off at the end of its planned stop. The caller may try another instance
// at once.
const reasonDraining = "draining"

// reasonPanic is logged for a request whose handling panicked.
const reasonPanic = "panic"

// handleRequest sends a request to targets until one response is final or the
// request is refused, and returns the reply.
func (g *Gateway) handleRequest(r *request, call *callers.Call) *reply {
	defer r.body.release()
	defer g.settleToken(r)
	if refused := g.matchRoute(r); refused != nil {
		return refused
	}
	r.prepare(r.Route)
	if plan := g.drain.Load(); plan != nil && !plan.Accepts(time.Now(), r.Deadline) {
		g.logRefused(r, fasthttp.StatusServiceUnavailable, reasonDraining)
		return gatewayReply(fasthttp.StatusServiceUnavailable, reasonDraining, 0)
	}
	send, refusal, delayed := g.chooseTarget(r)
	if delayed != nil {
		send, refusal = g.awaitRoom(r, call, delayed)
		g.admissions.count(r, refusal)
	}
	if refusal != nil {
		return g.refuse(r, refusal)
	}
	req := &outboundRequest{
		commonHead: r.appendCommonHead(make([]byte, 0, 512)),
		id:         r.id, body: r.body, isHead: r.header.IsHead(), deadline: r.Deadline,
		retryable: r.Route.Kind.Retryable(), turn: call,
	}
	g.connMetrics.recordFirstSend(time.Since(r.arrived))
	for {
		x := &exchange{}
		if !call.Attach(x) {
			x.Cancel()
		}
		out := x.do(g.pools, req, &send)
		unproven := !req.retryable && out.claimsNotRun()
		if out.isStreamed() && !unproven {
			return g.streamedReply(r, call, &send, &out)
		}
		call.Detach()
		if out.Result == steer.Discarded {
			// The caller could not receive another response sooner.
			if !call.AwaitTurn(time.Until(r.Deadline)) && call.Aborted() {
				out.Result = steer.Abandoned
			}
		}
		next, refusal := g.finishExchange(r, &send, &out)
		if refusal == nil && next == nil {
			if unproven {
				return g.refuseUnproven(r, &out)
			}
			g.logServed(r, &send, out.response.header.StatusCode())
			return &reply{response: out.response}
		}
		out.release()
		if errors.Is(out.err, errUploadTooLarge) {
			g.logRefused(r, fasthttp.StatusRequestEntityTooLarge, out.err.Error())
			return gatewayReply(fasthttp.StatusRequestEntityTooLarge, out.err.Error(), 0)
		}
		if refusal != nil {
			return g.refuse(r, refusal)
		}
		send, req.newConnOnly = *next, out.StaleConnection
	}
}

// reasonUnproven is logged for a target's response whose status says that the
// request did not run, which the target does not state.
const reasonUnproven = "unproven_not_run"

// refuseUnproven responds to a request that must not run twice in place of a
// target whose status would make the caller send it again.
func (g *Gateway) refuseUnproven(r *request, out *outcome) *reply {
	status := out.response.header.StatusCode()
	out.release()
	g.logRefused(r, fasthttp.StatusBadGateway, reasonUnproven, telemetry.F("target_status", status))
	return gatewayReply(fasthttp.StatusBadGateway, reasonUnproven, 0)
}

// admitHeader finds the route of a request before its body is read, and decides on
// the request in deployments with client accounts. It returns a reply if the
// request is refused.
func (g *Gateway) admitHeader(r *request) *reply {
	doc := g.document.Load()
	if doc == nil {
		return nil
	}
	r.accounts = doc.Accounts
	r.Route = doc.Match(requestHost(r.header), requestPath(r.header))
	if r.Route == nil || doc.Accounts == nil {
		// matchRoute decides on a path without a route, with the newest document.
		return nil
	}
	return g.admitAccount(r, doc.Accounts)
}

// matchRoute finds the route of a request that admitHeader did not match, and
// decides on its account. The document may have come, or its first accounts, while
// the body was read: a key must not go to a target then. A path without a route
// gets the final status 404 only while the document is known to be current.
func (g *Gateway) matchRoute(r *request) *reply {
	doc := g.document.Load()
	if doc == nil {
		g.logRefused(r, fasthttp.StatusServiceUnavailable, "no_document")
		return gatewayReply(fasthttp.StatusServiceUnavailable, "no document yet", noDocumentRetryAfter)
	}
	if r.Route != nil && (r.accounts != nil || doc.Accounts == nil) {
		return nil
	}
	r.accounts = doc.Accounts
	r.Route = doc.Match(requestHost(r.header), requestPath(r.header))
	switch {
	case r.Route != nil && doc.Accounts == nil:
		return nil
	case r.Route != nil:
		return g.admitAccount(r, doc.Accounts)
	case !g.storeState.isCurrent(time.Now()):
		g.logRefused(r, fasthttp.StatusServiceUnavailable, "document_may_be_old")
		return gatewayReply(fasthttp.StatusServiceUnavailable, "no route, and the document may be old", noDocumentRetryAfter)
	}
	g.logRefused(r, fasthttp.StatusNotFound, "no_route")
	return gatewayReply(fasthttp.StatusNotFound, "no route", 0)
}

// noDocumentRetryAfter is the Retry-After while there is no document, or it may
// be outdated.
const noDocumentRetryAfter = 300 * time.Millisecond

// chooseTarget returns the decision on a new request, or its delay.
func (g *Gateway) chooseTarget(r *request) (send steer.Send, refusal *steer.Refusal, delayed *delay) {
	g.withEngine(func(e *steer.Engine) {
		send, refusal = e.Arrive(time.Now(), &r.Request)
		if refusal != nil && refusal.Reason == steer.ReasonDelayed {
			delayed = g.addDelay(r)
		}
	})
	g.admissions.count(r, refusal)
	return send, refusal, delayed
}

func (g *Gateway) finishExchange(r *request, s *steer.Send, out *outcome) (next *steer.Send, refusal *steer.Refusal) {
	g.withEngine(func(e *steer.Engine) {
		if out.dialTime > 0 {
			e.ObserveRTT(s.Zone, out.dialTime)
		}
		now := time.Now()
		next, refusal = e.Finish(now, &r.Request, s, out.ExchangeReport)
		g.resumeDelayed(e, now)
	})
	g.metrics.countExchange(r.Service, out.Result)
	if out.Result != steer.Responded {
		g.logExchange(r, s, out, next != nil)
	}
	return next, refusal
}

// refuse converts a refusal into a reply. Status 503 says that the request did
// not run; it is used only if that is certain.
func (g *Gateway) refuse(r *request, refusal *steer.Refusal) *reply {
	if refusal.Reason == steer.ReasonCallerDisconnected {
		g.logRefused(r, statusCallerDisconnected, refusal.Reason.String())
		return &reply{callerDisconnected: true}
	}
	status := fasthttp.StatusServiceUnavailable
	switch {
	case refusal.Reason == steer.ReasonTimeout:
		status = fasthttp.StatusGatewayTimeout
	case r.MayHaveRun():
		status = fasthttp.StatusBadGateway
	}
	g.logRefused(r, status, refusal.Reason.String(), refusalFields(refusal)...)
	if status != fasthttp.StatusServiceUnavailable {
		return gatewayReply(status, refusal.Reason.String(), 0)
	}
	return gatewayReply(status, refusal.Reason.String(), refusal.RetryAfter)
}

// statusCallerDisconnected is logged for a caller that disconnected; it is
// never sent.
const statusCallerDisconnected = 499
