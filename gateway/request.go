package gateway

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
)

const headerRequestID = platform.HeaderRequestID

// request is one request of a caller on its way.
type request struct {
	header  *fasthttp.RequestHeader
	body    body
	id      []byte
	arrived time.Time
	steer.Request
}

// reply is the final answer to a request.
type reply struct {
	answer *answer
	// gone is set if the caller left; nothing is written.
	gone       bool
	status     int
	text       string
	retryAfter time.Duration
}

func ownReply(status int, text string, retryAfter time.Duration) *reply {
	return &reply{status: status, text: text, retryAfter: retryAfter}
}

// appendTo encodes the reply. last announces that the connection closes.
func (p *reply) appendTo(dst []byte, r *request, last bool) []byte {
	head := r.header != nil && r.header.IsHead()
	if p.answer != nil {
		return p.answer.appendTo(dst, head, last)
	}
	dst = appendStatus(dst, p.status)
	if len(r.id) > 0 {
		dst = appendField(dst, []byte(headerRequestID), r.id)
	}
	if p.retryAfter > 0 {
		dst = append(dst, "Retry-After: "...)
		dst = strconv.AppendFloat(dst, p.retryAfter.Seconds(), 'f', 3, 64)
		dst = append(dst, "\r\n"...)
	}
	dst = append(dst, "Content-Type: text/plain; charset=utf-8\r\n"...)
	dst = appendLength(dst, len(p.text)+1, last)
	if head {
		return dst
	}
	return append(append(dst, p.text...), '\n')
}

func (g *Gateway) newRequest(header *fasthttp.RequestHeader, b body, arrived time.Time) *request {
	r := &request{header: header, body: b, arrived: arrived}
	r.id = append([]byte(nil), header.Peek(headerRequestID)...)
	r.BodyBytes = b.size()
	return r
}

// prepare finds the route and fills in what decisions need.
func (r *request) prepare(route *steer.Route) {
	r.Route = route
	r.Deadline = r.arrived.Add(route.Timeout)
	if left, found := platform.ParseTimeLeft(r.header.Peek(platform.HeaderTimeLeft)); found {
		if own := r.arrived.Add(left); own.Before(r.Deadline) {
			r.Deadline = own
		}
	}
	object := r.header.Cookie(platform.CookieObject)
	if route.Affinity && len(object) > 0 {
		r.Object = hashOf([]byte(route.Name), object)
	}
	r.Fingerprint = hashOf(r.header.Method(), r.header.Host(), r.header.RequestURI(), object, r.body.held)
	r.Streaming = r.body.rest != nil
}

// hashOf hashes parts with their lengths, so that the ends of the parts count.
func hashOf(parts ...[]byte) uint64 {
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

// hostOf returns the lower-case host without its port.
func hostOf(header *fasthttp.RequestHeader) string {
	host := bytes.ToLower(header.Host())
	if colon := bytes.LastIndexByte(host, ':'); colon >= 0 && bytes.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return string(host)
}

func pathOf(header *fasthttp.RequestHeader) string {
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	return string(path)
}

// run serves a request and returns its reply.
func (g *Gateway) run(r *request, c *callerConn) *reply {
	route, refused := g.match(r)
	if refused != nil {
		return refused
	}
	r.prepare(route)
	send, refusal := g.arrive(r)
	if refusal != nil {
		return g.refuse(r, refusal)
	}
	j := &job{
		common: appendCommonFields(make([]byte, 0, 512), r.header, r.body.length),
		id:     r.id, body: r.body, head: r.header.IsHead(), deadline: r.Deadline,
		repeatable: route.Kind.Repeatable(),
	}
	for {
		x := &exchange{}
		if !c.attach(x) {
			x.cancel()
		}
		out := x.do(g.pools, j, &send)
		c.detach()
		next, refusal := g.finish(r, &send, &out)
		if refusal != nil {
			return g.refuse(r, refusal)
		}
		if next == nil {
			g.logServed(r, &send, out.answer.header.StatusCode())
			return &reply{answer: out.answer}
		}
		send, j.fresh = *next, out.Forgotten
	}
}

// match finds the route. A path without one is refused for good only while the
// document is known to be new.
func (g *Gateway) match(r *request) (*steer.Route, *reply) {
	doc := g.document.Load()
	if doc == nil {
		g.logRefused(r, fasthttp.StatusServiceUnavailable, "no_document")
		return nil, ownReply(fasthttp.StatusServiceUnavailable, "no document yet", noDocumentRetry)
	}
	route := doc.Match(hostOf(r.header), pathOf(r.header))
	if route != nil {
		return route, nil
	}
	if !g.store.current(time.Now()) {
		g.logRefused(r, fasthttp.StatusServiceUnavailable, "document_may_be_old")
		return nil, ownReply(fasthttp.StatusServiceUnavailable, "no route, and the document may be old", noDocumentRetry)
	}
	g.logRefused(r, fasthttp.StatusNotFound, "no_route")
	return nil, ownReply(fasthttp.StatusNotFound, "no route", 0)
}

// noDocumentRetry is the hint while an instance starts.
const noDocumentRetry = 300 * time.Millisecond

func (g *Gateway) arrive(r *request) (steer.Send, *steer.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engine.Arrive(time.Now(), &r.Request)
}

func (g *Gateway) finish(r *request, s *steer.Send, out *outcome) (*steer.Send, *steer.Refusal) {
	g.mu.Lock()
	if out.opened > 0 {
		g.engine.ObserveTrip(s.Zone, out.opened)
	}
	next, refusal := g.engine.Finish(time.Now(), &r.Request, s, out.Ended)
	g.mu.Unlock()
	g.metrics.exchange(r.Service, out.Result)
	if out.Result != steer.Answered {
		g.logExchange(r, s, out, next != nil)
	}
	return next, refusal
}

// refuse translates a refusal into a reply. "Not run" is said only if it is
// certain.
func (g *Gateway) refuse(r *request, refusal *steer.Refusal) *reply {
	if refusal.Reason == steer.ReasonCallerGone {
		g.logRefused(r, statusCallerGone, refusal.Reason.String())
		return &reply{gone: true}
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
		return ownReply(status, refusal.Reason.String(), 0)
	}
	return ownReply(status, refusal.Reason.String(), refusal.RetryAfter)
}

// statusCallerGone is logged for a caller that left.
const statusCallerGone = 499
