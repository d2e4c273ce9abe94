package entry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

// inboxCapacity exceeds the number of steps that can wait for one request, which
// are one attempt, one reply and one release. A full inbox would block the
// engine.
const inboxCapacity = 4

// step is an instruction of the engine to the goroutine of a request.
type step struct {
	kind    stepKind
	attempt *attempt
	reply   traffic.Reply
}

type stepKind uint8

const (
	stepAttempt stepKind = iota
	stepReply
	stepRelease
)

// attempt is one exchange with an upstream or a peer on behalf of a request.
type attempt struct {
	number       traffic.Attempt
	deadline     time.Time
	pool         *upstream.Pool
	shedStatuses []int
	// forwarded is set for an exchange with a peer, which forward describes.
	forwarded bool
	forward   traffic.Forward
	exchange  upstream.Exchange
}

// origin holds what a forwarded request states to the peer about its origin.
type origin struct {
	self *Self
	// homeRegion is the caller's home region, empty if unknown.
	homeRegion string
	// hasPeerFields is set once the header contains fields for a peer.
	hasPeerFields bool
}

// request is one request of a caller or of a peer. Its fields belong to its own
// goroutine, apart from inbox and those that are guarded by the lock of Steer.
type request struct {
	id     traffic.RequestID
	inbox  chan step
	conn   net.Conn
	header *fasthttp.RequestHeader
	body   upstream.Body
	// uploadStarted is set once the body stream has been read from; after that
	// the body cannot be sent again.
	uploadStarted bool
	origin        origin
	// currentAttempt, seenByWatch and callerDisconnected are guarded by the lock
	// of Steer.
	currentAttempt     *attempt
	seenByWatch        bool
	callerDisconnected bool
	// firstAttempt saves an allocation: most requests need only one attempt.
	firstAttempt     attempt
	firstAttemptUsed bool
	// pooledResponse is memory for a response that the engine does not keep.
	pooledResponse *upstream.Response
	// hasReply is set together with reply.
	hasReply bool
	reply    traffic.Reply
}

// requestPool and responsePool recycle memory: without them, allocation and
// garbage collection take a third of the time of a small request.
var (
	requestPool  = sync.Pool{New: func() any { return &request{inbox: make(chan step, inboxCapacity)} }}
	responsePool = sync.Pool{New: func() any { return &upstream.Response{} }}
)

// maxRecycledBytes is the largest buffer of a response body that is kept for
// reuse. Larger ones would stay in memory.
const maxRecycledBytes = 64 << 10

// newRequest returns a request, which is to be passed to recycle once the engine
// has released it.
func newRequest(conn net.Conn, header *fasthttp.RequestHeader) *request {
	r := requestPool.Get().(*request)
	r.conn, r.header = conn, header
	return r
}

// recycle makes the memory of the request available to newRequest. It must not
// be called before the engine has released the request.
func (r *request) recycle() {
	pooled := r.pooledResponse
	r.firstAttempt.exchange.Reset()
	*r = request{inbox: r.inbox}
	requestPool.Put(r)
	if pooled != nil && pooled.Stream == nil && cap(pooled.Body) <= maxRecycledBytes {
		pooled.Reset()
		responsePool.Put(pooled)
	}
}

// nextAttempt returns memory for the next attempt. It must be called with the
// engine locked.
func (r *request) nextAttempt() *attempt {
	if r.firstAttemptUsed {
		return &attempt{}
	}
	r.firstAttemptUsed = true
	return &r.firstAttempt
}

// run carries out steps until the engine releases the request or a streamed
// response begins; released reports whether the engine released it. The reply is
// nil if the caller has closed its connection.
func (r *request) run(s *Steer) (reply *traffic.Reply, released bool) {
	for {
		next := <-r.inbox
		switch next.kind {
		case stepAttempt:
			r.runAttempt(s, next.attempt)
		case stepReply:
			r.reply, r.hasReply = next.reply, true
			if isStreamed(&r.reply) {
				return &r.reply, false
			}
		case stepRelease:
			if r.hasReply {
				return &r.reply, true
			}
			return nil, true
		}
	}
}

func isStreamed(reply *traffic.Reply) bool {
	response, ok := reply.Response.(*upstream.Response)
	return ok && response.Stream != nil
}

// runAttempt carries out one attempt and reports its end to the engine, or the
// start of a streamed response.
func (r *request) runAttempt(s *Steer, try *attempt) {
	began := time.Now()
	result := r.sendAttempt(try)
	report := traffic.ExchangeEnded{
		ID: r.id, Attempt: try.number, Result: result.Result, Latency: time.Since(began),
	}
	if result.Response == nil {
		s.Handle(report)
		return
	}
	r.classifyResponse(try, result.Response, &report)
	if result.Response.Stream == nil {
		report.Response = result.Response
		s.Handle(report)
		return
	}
	r.streamResponse(s, result.Response, report, began)
}

// streamResponse reports the start of a response whose body is still arriving,
// and its end once the stream is closed. A response that is not passed on to the
// caller is closed at once.
func (r *request) streamResponse(s *Steer, response *upstream.Response, report traffic.ExchangeEnded, began time.Time) {
	if report.Result != traffic.Completed {
		_ = response.Stream.Close()
		s.Handle(report)
		return
	}
	response.Stream.OnClose = func(result traffic.Result) {
		report.Result = result
		report.Latency = time.Since(began)
		s.Handle(report)
	}
	s.Handle(traffic.ResponseStarted{ID: report.ID, Attempt: report.Attempt, Status: report.Status, Response: response})
}

func (r *request) sendAttempt(try *attempt) upstream.ExchangeResult {
	if try.pool == nil || r.uploadStarted {
		return upstream.ExchangeResult{Result: traffic.NotSent}
	}
	setDeadline(r.header, try.deadline)
	setPeerFields(r.header, try, &r.origin)
	body := r.body
	if body.Rest != nil {
		body.Rest = uploadReader{request: r, rest: body.Rest}
	}
	return try.exchange.Do(try.pool, r.header, body, try.deadline, r.pooledResponse)
}

// classifyResponse sets the fields of report that depend on the response.
func (r *request) classifyResponse(try *attempt, response *upstream.Response, report *traffic.ExchangeEnded) {
	report.Status = response.Header.StatusCode()
	if !try.forwarded {
		report.Result = upstream.Classify(response, try.shedStatuses)
		report.Leaving = upstream.Leaving(response)
		return
	}
	report.Result = upstream.ClassifyPeer(response)
	report.Reason = reasonByName(response.Header.Peek(upstream.HeaderReason))
	report.Attempts = parseAttempts(response.Header.Peek(headerAttempts))
	report.Replayed = len(response.Header.Peek(headerReplayed)) > 0
}

// abortUpload makes a pending read from the caller fail. It must be called with
// the engine locked, and it never blocks.
func (r *request) abortUpload() {
	if r.body.Rest != nil {
		_ = r.conn.SetReadDeadline(pastDeadline)
	}
}
