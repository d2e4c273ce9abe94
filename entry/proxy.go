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
	self      Self
	steer     *Steer
	view      *atomic.Pointer[View]
	bodyLimit int64
	active    atomic.Int64
}

// Active returns the number of requests whose handler runs, those with a body
// still on its way included.
func (p *Proxy) Active() int { return int(p.active.Load()) }

// NewProxy returns a Proxy that reads the published view.
func NewProxy(self Self, steer *Steer, view *atomic.Pointer[View], bodyLimit int64) *Proxy {
	return &Proxy{self: self, steer: steer, view: view, bodyLimit: bodyLimit}
}

// ServeCaller is the handler of the callers' port.
func (p *Proxy) ServeCaller(ctx *fasthttp.RequestCtx) {
	view := p.view.Load()
	home := view.homeRegion(clientOf(ctx))
	p.serve(ctx, view, home, nil)
}

// ServePeer is the handler of the forward port.
func (p *Proxy) ServePeer(ctx *fasthttp.RequestCtx) {
	view := p.view.Load()
	header := &ctx.Request.Header
	home, from := -1, 0
	if view.Document != nil {
		home = regionByName(view.Document, string(header.Peek(headerHome)))
		from = max(regionByName(view.Document, string(header.Peek(headerFromRegion))), 0)
	}
	p.serve(ctx, view, home, &traffic.Forwarded{
		From:         traffic.InstanceID(header.Peek(headerFrom)),
		FromRegion:   document.RegionID(from),
		ToOwner:      len(header.Peek(headerToOwner)) > 0,
		ShiftCharged: len(header.Peek(headerShiftCharged)) > 0,
		Runs:         runsOf(header.Peek(headerRuns)),
	})
}

func (p *Proxy) serve(ctx *fasthttp.RequestCtx, view *View, home int, forwarded *traffic.Forwarded) {
	p.active.Add(1)
	defer p.active.Add(-1)
	arrived := traffic.RequestArrived{HomeRegion: home, Forwarded: forwarded}
	request := newRequest(ctx.Conn(), &ctx.Request.Header)
	request.origin = origin{self: &p.self, home: regionName(view.Document, home)}
	if view.Document != nil && !p.prepare(ctx, view.Document, request, &arrived) {
		return
	}
	if arrived.Key == "" {
		request.spare = answers.Get().(*upstream.Answer)
	}
	p.steer.arrive(request, arrived)
	reply, released := request.run(p.steer)
	p.answer(ctx, reply, request.spare)
	p.log(view.Document, &arrived, reply)
	if forwarded != nil && reply != nil {
		ctx.Response.Header.Set(headerRuns, strconv.Itoa(int(reply.Runs)))
	}
	if request.body.Rest != nil {
		p.endUpload(ctx, request)
	}
	if p.view.Load().Leaving {
		ctx.SetConnectionClose()
	}
	if released {
		request.recycle()
	}
}

// prepare matches the request and reads its body. It returns false if it has
// answered by itself.
func (p *Proxy) prepare(ctx *fasthttp.RequestCtx, doc *document.Compiled, r *request, arrived *traffic.RequestArrived) bool {
	id, found := match(doc, hostOf(ctx), ctx.Path())
	if !found {
		telemetry.Count(traffic.Count{Kind: traffic.CountRefusal, Reason: traffic.ReasonNoService})
		p.answer(ctx, &traffic.Reply{Outcome: unmatchedOutcome(r.header), Reason: traffic.ReasonNoService}, nil)
		ctx.SetConnectionClose()
		return false
	}
	arrived.Service = id
	arrived.Revision = doc.Revision
	arrived.Deadline = callerDeadline(r.header)
	arrived.Key = string(r.header.Peek(headerKey))
	cleanRequest(r.header)
	body, err := readBody(ctx, p.bodyLimit)
	if err != nil {
		refuseBody(ctx, err)
		return false
	}
	r.body = body
	arrived.BodyBytes = int64(body.Length)
	arrived.Replayable = body.Rest == nil
	arrived.Fingerprint = fingerprint(doc.Services[id].Name, r.header, arrived.Key, body.Held)
	return true
}

// unmatchedOutcome is that of a request without a service. An earlier attempt
// with its key may have run under another revision of the document.
func unmatchedOutcome(header *fasthttp.RequestHeader) traffic.Outcome {
	if len(header.Peek(headerKey)) > 0 {
		return traffic.Unknown
	}
	return traffic.NotRun
}

// refuseBody answers a request whose body cannot be taken. The connection is
// closed, since the rest of the body is still on it.
func refuseBody(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if err == errTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	ctx.Error(err.Error(), status)
	ctx.Response.Header.Set(upstream.HeaderOutcome, upstream.OutcomeNotRun)
	ctx.SetConnectionClose()
}

// endUpload closes the caller's connection unless the upload was read in full.
func (p *Proxy) endUpload(ctx *fasthttp.RequestCtx, r *request) {
	var probe [1]byte
	if r.uploading {
		_ = ctx.Conn().SetReadDeadline(pastTime)
		if n, err := r.body.Rest.Read(probe[:]); n == 0 && err != nil && isEnd(err) {
			_ = ctx.Conn().SetReadDeadline(noTime)
			return
		}
	}
	ctx.SetConnectionClose()
}

func clientOf(ctx *fasthttp.RequestCtx) netip.Addr {
	tcp, ok := ctx.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// hostOf returns the host without its port.
func hostOf(ctx *fasthttp.RequestCtx) []byte {
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
