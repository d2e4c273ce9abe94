package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/callers"
	"pistachioford.example/pistachioford/linger"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// defaultMaxHeaderBytes limits a request header until a document sets the
	// limit.
	defaultMaxHeaderBytes = 16 << 10
	// defaultIdleTimeout and defaultHeaderTimeout apply to a connection until a
	// document sets the timeouts.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	// bodyReadTimeout limits the time from the start of a request to the end of
	// its body, if the caller does not state how long it waits.
	bodyReadTimeout = 30 * time.Second
	// maxConcurrency and minConcurrency are the numbers of requests of one
	// connection that run at the same time, without overload and under it: a
	// connection with many outstanding requests must not take more of the room
	// than others.
	maxConcurrency = 16
	minConcurrency = 2
)

// concurrencyFor returns the number of requests of one connection that run at the
// same time, from an overload of 0 to 1.
func concurrencyFor(overload float64) int {
	return maxConcurrency - int(overload*(maxConcurrency-minConcurrency)+0.5)
}

const (
	// endingDivisor is the part of the descriptors that connections may take on
	// which nothing further is written, and endingMemoryDivisor the part of the
	// memory that their unread responses may take.
	endingDivisor       = 8
	endingMemoryDivisor = 32
	// defaultEnding applies if the limit on descriptors is not known, and
	// minEndingBytes to small machines.
	defaultEnding  = 512
	minEndingBytes = 4 << 20
)

// endingLimits bounds the connections whose callers still receive the last
// responses.
func endingLimits(maxDescriptors, memoryMB int) linger.Limits {
	limits := linger.Limits{Connections: defaultEnding, Bytes: max(memoryMB<<20/endingMemoryDivisor, minEndingBytes)}
	if maxDescriptors > 0 {
		limits.Connections = max(maxDescriptors/endingDivisor, 1)
	}
	return limits
}

// firstRequestWait is how long a drain leaves a new connection open for its first
// request.
const firstRequestWait = callers.FirstRequestWait

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// callerHandler serves the requests of callers' connections.
type callerHandler struct{ g *Gateway }

var _ callers.Handler = callerHandler{}

func (h callerHandler) Limits() callers.Limits {
	limits := h.g.limits()
	return callers.Limits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

func (h callerHandler) Leaving() bool { return h.g.leaving.Load() }

func (h callerHandler) Concurrency() int { return int(h.g.concurrency.Load()) }

func (h callerHandler) Admit(header *fasthttp.RequestHeader, arrived time.Time) (callers.Request, callers.Reply) {
	r := &callerRequest{newRequest(header, arrived), h.g}
	if refused := h.g.admitHeaderGuarded(&r.request); refused != nil {
		return nil, callerReply(&r.request, refused)
	}
	return r, nil
}

func (h callerHandler) RefuseHeader(status int, err error) callers.Reply {
	return h.refuseUnread(nil, status, err)
}

// RefuseBody responds to a request whose body is too large or has conflicting
// framing. After any other error the body cannot be completed.
func (h callerHandler) RefuseBody(r callers.Request, err error) callers.Reply {
	id := r.(*callerRequest).id
	switch {
	case errors.Is(err, errTooLarge):
		return h.refuseUnread(id, fasthttp.StatusRequestEntityTooLarge, err)
	case errors.Is(err, errConflictingFraming):
		return h.refuseUnread(id, fasthttp.StatusBadRequest, err)
	}
	return nil
}

// refuseUnread responds to a request that was not read in full.
func (h callerHandler) refuseUnread(id []byte, status int, err error) callers.Reply {
	r := &request{id: id}
	h.g.logRefused(r, status, err.Error())
	return callerReply(r, gatewayReply(status, err.Error(), 0))
}

func (h callerHandler) Charge(n int) bool { return h.g.pools.budget.charge(n) }

func (h callerHandler) Discharge(n int) { h.g.pools.budget.release("", n) }

func (h callerHandler) Guard(f func()) bool { return h.g.guard("connection", f) }

func (h callerHandler) Begun(outstanding int) { h.g.connMetrics.recordOutstanding(outstanding) }

func (h callerHandler) Closed(outcome linger.Outcome, unreceived int) {
	h.g.connMetrics.countOutcome(outcome)
	if unreceived > 0 {
		telemetry.Routine("responses_unreceived", telemetry.F("outcome", outcome), telemetry.F("unreceived_bytes", unreceived))
	}
}

func (h callerHandler) Ended(reason callers.Reason) { h.g.connMetrics.countEnd(reason) }

// callerRequest is a request of a caller's connection.
type callerRequest struct {
	request
	g *Gateway
}

func (r *callerRequest) BodyTimeout() time.Duration {
	if left, found := platform.ParseTimeLeft(r.header.Peek(platform.HeaderTimeLeft)); found {
		return left
	}
	return bodyReadTimeout
}

func (r *callerRequest) ReadBody(br *bufio.Reader) error {
	b, err := readBody(br, r.header, r.g.limits().BodyBytes, r.g.pools.budget)
	if err == nil {
		r.setBody(b)
	}
	return err
}

func (r *callerRequest) Streams() bool { return r.body.rest != nil }

// Concurrent reports whether the route was found and its requests are idempotent.
// A path without a route may get one of another kind until the request runs.
func (r *callerRequest) Concurrent() bool {
	return r.Route != nil && r.Route.Kind.Retryable() && r.body.rest == nil
}

func (r *callerRequest) HeldBytes() (held, unbudgeted int) {
	if r.body.held == nil {
		return 0, 0
	}
	held = cap(r.body.held.bytes)
	return held, max(held-r.body.held.reserved, 0)
}

func (r *callerRequest) Expires() time.Time {
	if r.Route == nil {
		return time.Time{}
	}
	return r.deadlineOf(r.Route)
}

func (r *callerRequest) Serve(call *callers.Call) callers.Reply {
	reply := r.g.handleGuarded(&r.request, call)
	if reply.callerDisconnected {
		return nil
	}
	return callerReply(&r.request, reply)
}

// reasonExpired is logged for a request whose deadline passed while it waited for
// those before it on its connection. It did not run.
const reasonExpired = "expired_behind_others"

func (r *callerRequest) RefuseExpired() callers.Reply {
	r.Drop()
	r.g.logRefused(&r.request, fasthttp.StatusServiceUnavailable, reasonExpired)
	return callerReply(&r.request, gatewayReply(fasthttp.StatusServiceUnavailable, reasonExpired, 0))
}

func (r *callerRequest) Drop() {
	r.body.release()
	r.g.settleToken(&r.request)
}

// callerReply returns a reply to a request as the connection writes it.
func callerReply(r *request, p *reply) callers.Reply {
	p.request = r
	return p
}

// AppendHead encodes the reply, but for the body of a target's response.
func (p *reply) AppendHead(dst []byte, closing bool) []byte {
	return p.appendTo(dst, p.request, closing)
}

func (p *reply) Body() []byte {
	if p.response == nil || p.request.isHead() {
		return nil
	}
	return p.response.body
}

func (p *reply) Rest() (rest io.Reader, chunked bool) {
	if p.streamed == nil {
		return nil, false
	}
	return p.response.rest, p.responseLength(p.request) < 0
}

func (p *reply) ReleaseBody() { p.response.release() }

func (p *reply) WaitingBytes() (held, unbudgeted int) {
	if p.response == nil || p.response.held == nil {
		return len(p.text), len(p.text)
	}
	held = cap(p.response.held.bytes)
	return held, max(held-p.response.held.reserved, 0)
}

func (p *reply) End(err error) {
	if p.streamed != nil {
		p.streamed(err)
	}
	if p.response != nil {
		p.response.release()
	}
}
