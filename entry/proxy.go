package entry

import (
	"bytes"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/telemetry"
	"pistachioford.example/pistachioford/upstream"
)

// Proxy passes requests of callers and of peers to upstreams.
type Proxy struct {
	self           Self
	steer          *Steer
	view           *atomic.Pointer[View]
	bodyLimit      int64
	activeHandlers atomic.Int64
}

// Active returns the number of requests whose handler is running, including
// those whose body is still arriving.
func (p *Proxy) Active() int { return int(p.activeHandlers.Load()) }

// NewProxy returns a Proxy that reads the published view.
func NewProxy(self Self, steer *Steer, view *atomic.Pointer[View], bodyLimit int64) *Proxy {
	return &Proxy{self: self, steer: steer, view: view, bodyLimit: bodyLimit}
}

// ServeCaller is the handler of the callers' port.
func (p *Proxy) ServeCaller(ctx *fasthttp.RequestCtx) {
	view := p.view.Load()
	homeRegion := view.homeRegion(clientAddr(ctx))
	p.serve(ctx, view, homeRegion, nil)
}

// ServePeer is the handler of the forward port.
func (p *Proxy) ServePeer(ctx *fasthttp.RequestCtx) {
	view := p.view.Load()
	header := &ctx.Request.Header
	homeRegion, fromRegion := -1, 0
	if view.Document != nil {
		homeRegion = regionByName(view.Document, string(header.Peek(headerHomeRegion)))
		fromRegion = max(regionByName(view.Document, string(header.Peek(headerFromRegion))), 0)
	}
	p.serve(ctx, view, homeRegion, &traffic.Forwarded{
		From:         traffic.InstanceID(header.Peek(headerFrom)),
		FromRegion:   document.RegionID(fromRegion),
		ToOwner:      len(header.Peek(headerToOwner)) > 0,
		ShiftCharged: len(header.Peek(headerShiftCharged)) > 0,
		Attempts:     parseAttempts(header.Peek(headerAttempts)),
	})
}

func (p *Proxy) serve(ctx *fasthttp.RequestCtx, view *View, homeRegion int, forwarded *traffic.Forwarded) {
	p.activeHandlers.Add(1)
	defer p.activeHandlers.Add(-1)
	arrived := traffic.RequestArrived{HomeRegion: homeRegion, Forwarded: forwarded}
	request := newRequest(ctx.Conn(), &ctx.Request.Header)
	request.origin = origin{self: &p.self, homeRegion: regionName(view.Document, homeRegion)}
	if view.Document != nil && !p.prepare(ctx, view.Document, request, &arrived) {
		return
	}
	if arrived.Key == "" {
		request.pooledResponse = responsePool.Get().(*upstream.Response)
	}
	p.steer.startRequest(request, arrived)
	reply, released := request.run(p.steer)
	p.writeReply(ctx, reply, request.pooledResponse)
	p.logRequest(view.Document, &arrived, reply)
	if forwarded != nil && reply != nil {
		ctx.Response.Header.Set(headerAttempts, strconv.Itoa(int(reply.Attempts)))
	}
	if request.body.Rest != nil {
		p.finishUpload(ctx, request)
	}
	if p.view.Load().Leaving {
		ctx.SetConnectionClose()
	}
	if released {
		request.recycle()
	}
}

// prepare finds the service of the request and reads the body. It returns false
// if it has already written a response.
func (p *Proxy) prepare(ctx *fasthttp.RequestCtx, doc *document.Compiled, r *request, arrived *traffic.RequestArrived) bool {
	id, found := matchService(doc, hostWithoutPort(ctx), ctx.Path())
	if !found {
		telemetry.Count(traffic.IncrementCounter{Kind: traffic.CountRefusal, Reason: traffic.ReasonNoService})
		p.writeReply(ctx, &traffic.Reply{Outcome: unmatchedOutcome(r.header), Reason: traffic.ReasonNoService}, nil)
		ctx.SetConnectionClose()
		return false
	}
	arrived.Service = id
	arrived.Revision = doc.Revision
	arrived.Deadline = callerDeadline(r.header)
	arrived.Key = string(r.header.Peek(headerIdempotencyKey))
	prepareRequestHeader(r.header)
	body, err := readBody(ctx, p.bodyLimit)
	if err != nil {
		rejectBody(ctx, err)
		return false
	}
	r.body = body
	arrived.BodyBytes = int64(body.Length)
	arrived.Replayable = body.Rest == nil
	arrived.Fingerprint = fingerprint(doc.Services[id].Name, r.header, arrived.Key, body.Buffered)
	return true
}

// unmatchedOutcome returns the outcome of a request that matches no service. It
// is unknown for a request with a key: an earlier attempt with that key may have
// run under another revision of the document.
func unmatchedOutcome(header *fasthttp.RequestHeader) traffic.Outcome {
	if len(header.Peek(headerIdempotencyKey)) > 0 {
		return traffic.Unknown
	}
	return traffic.NotRun
}

// rejectBody refuses a request whose body is truncated or too large. The
// connection is closed, since the rest of the body has not been read from it.
func rejectBody(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if err == errTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	ctx.Error(err.Error(), status)
	ctx.Response.Header.Set(upstream.HeaderOutcome, upstream.OutcomeNotRun)
	ctx.SetConnectionClose()
}

// finishUpload closes the caller's connection unless the upload has been read to
// its end.
func (p *Proxy) finishUpload(ctx *fasthttp.RequestCtx, r *request) {
	var probe [1]byte
	if r.uploadStarted {
		_ = ctx.Conn().SetReadDeadline(pastDeadline)
		if n, err := r.body.Rest.Read(probe[:]); n == 0 && err != nil && isEOF(err) {
			_ = ctx.Conn().SetReadDeadline(noDeadline)
			return
		}
	}
	ctx.SetConnectionClose()
}

func clientAddr(ctx *fasthttp.RequestCtx) netip.Addr {
	tcp, ok := ctx.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// hostWithoutPort returns the host that the request names, without its port.
func hostWithoutPort(ctx *fasthttp.RequestCtx) []byte {
	host := ctx.Host()
	colon := bytes.LastIndexByte(host, ':')
	if colon < 0 || bytes.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

func regionName(doc *document.Compiled, region int) string {
	if doc == nil || region < 0 || region >= len(doc.Regions) {
		return ""
	}
	return doc.Regions[region].Name
}
