package entry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

// inboxSteps is the most steps that can wait for one request: one attempt, one
// reply and one release. A full inbox would block the engine.
const inboxSteps = 4

// step is one thing that the goroutine of a request has to do.
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

// attempt is one exchange of a request.
type attempt struct {
	number       traffic.Attempt
	deadline     time.Time
	pool         *upstream.Pool
	shedStatuses []int
	// forwarded is set for an exchange with a peer, described by forward.
	forwarded bool
	forward   traffic.Forward
	exchange  upstream.Exchange
}

// origin is what a forwarded request tells the peer.
type origin struct {
	self *Self
	// home is the name of the caller's home region, empty if unknown.
	home string
	// marked is set once the header holds fields for a peer.
	marked bool
}

// request is one request of a caller or of a peer. All fields but inbox and
// current belong to its own goroutine.
type request struct {
	id     traffic.RequestID
	inbox  chan step
	conn   net.Conn
	header *fasthttp.RequestHeader
	body   upstream.Body
	// uploading is set once a part of the stream was read, after which the
	// body cannot be sent again.
	uploading bool
	origin    origin
	// current, seen and gone are guarded by the lock of Steer.
	current *attempt
	seen    bool
	gone    bool
	// first is the memory of the first attempt; most requests have one only.
	first     attempt
	firstUsed bool
	// spare is the memory for an answer that the engine does not keep.
	spare *upstream.Answer
	// replied tells that reply is set.
	replied bool
	reply   traffic.Reply
}

// requests and answers recycle memory: without it, a third of the time of a
// small request goes into allocation and collection.
var (
	requests = sync.Pool{New: func() any { return &request{inbox: make(chan step, inboxSteps)} }}
	answers  = sync.Pool{New: func() any { return &upstream.Answer{} }}
)

// maxRecycledBytes keeps large bodies from staying in memory.
const maxRecycledBytes = 64 << 10

// newRequest returns a request; the caller passes it to recycle after the
// engine has released it.
func newRequest(conn net.Conn, header *fasthttp.RequestHeader) *request {
	r := requests.Get().(*request)
	r.conn, r.header = conn, header
	return r
}

// recycle must not be called for a request that the engine still knows.
func (r *request) recycle() {
	spare := r.spare
	r.first.exchange.Reset()
	*r = request{inbox: r.inbox}
	requests.Put(r)
	if spare != nil && spare.Stream == nil && cap(spare.Body) <= maxRecycledBytes {
		spare.Reset()
		answers.Put(spare)
	}
}

// nextAttempt returns the memory of the next attempt. It is called with the
// engine locked.
func (r *request) nextAttempt() *attempt {
	if r.firstUsed {
		return &attempt{}
	}
	r.firstUsed = true
	return &r.first
}

// run carries out the steps until the engine has forgotten the request, or
// until a streamed answer has begun; released tells which. The reply is nil if
// the caller has left.
func (r *request) run(s *Steer) (reply *traffic.Reply, released bool) {
	for {
		next := <-r.inbox
		switch next.kind {
		case stepAttempt:
			r.perform(s, next.attempt)
		case stepReply:
			r.reply, r.replied = next.reply, true
			if streamed(&r.reply) {
				return &r.reply, false
			}
		case stepRelease:
			if r.replied {
				return &r.reply, true
			}
			return nil, true
		}
	}
}

func streamed(reply *traffic.Reply) bool {
	answer, ok := reply.Answer.(*upstream.Answer)
	return ok && answer.Stream != nil
}

// perform carries out one attempt and reports its end.
func (r *request) perform(s *Steer, try *attempt) {
	began := time.Now()
	ending := r.exchange(try)
	report := traffic.ExchangeEnded{
		ID: r.id, Attempt: try.number, Result: ending.Result, Latency: time.Since(began),
	}
	if ending.Answer == nil {
		s.Handle(report)
		return
	}
	r.classify(try, ending.Answer, &report)
	if ending.Answer.Stream == nil {
		report.Answer = ending.Answer
		s.Handle(report)
		return
	}
	r.stream(s, ending.Answer, report, began)
}

// stream passes on an answer that is still arriving, or cuts it if it is one
// that callers do not get.
func (r *request) stream(s *Steer, answer *upstream.Answer, report traffic.ExchangeEnded, began time.Time) {
	if report.Result != traffic.Completed {
		_ = answer.Stream.Close()
		s.Handle(report)
		return
	}
	answer.Stream.OnEnd = func(result traffic.Result) {
		report.Result = result
		report.Latency = time.Since(began)
		s.Handle(report)
	}
	s.Handle(traffic.AnswerStarted{ID: report.ID, Attempt: report.Attempt, Status: report.Status, Answer: answer})
}

func (r *request) exchange(try *attempt) upstream.Ending {
	if try.pool == nil || r.uploading {
		return upstream.Ending{Result: traffic.NotSent}
	}
	setDeadline(r.header, try.deadline)
	setForwarding(r.header, try, &r.origin)
	body := r.body
	if body.Rest != nil {
		body.Rest = uploadReader{request: r, rest: body.Rest}
	}
	return try.exchange.Do(try.pool, r.header, body, try.deadline, r.spare)
}

// classify fills in what a whole answer means.
func (r *request) classify(try *attempt, answer *upstream.Answer, report *traffic.ExchangeEnded) {
	report.Status = answer.Header.StatusCode()
	if !try.forwarded {
		report.Result = upstream.Classify(answer, try.shedStatuses)
		report.Leaving = upstream.Leaving(answer)
		return
	}
	report.Result = upstream.ClassifyPeer(answer)
	report.Reason = reasonByName(answer.Header.Peek(upstream.HeaderReason))
	report.Runs = runsOf(answer.Header.Peek(headerRuns))
	report.Replayed = len(answer.Header.Peek(headerReplayed)) > 0
}

// stopUpload makes a pending read from the caller fail. It is called with the
// engine locked, and never blocks.
func (r *request) stopUpload() {
	if r.body.Rest != nil {
		_ = r.conn.SetReadDeadline(pastTime)
	}
}
