package entry

import (
	"net"
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
	attempt *attempt
	reply   *traffic.Reply
	release bool
}

// attempt is one exchange of a request.
type attempt struct {
	number       traffic.Attempt
	deadline     time.Time
	pool         *upstream.Pool
	shedStatuses []int
	// forward is set for an exchange with a peer.
	forward  *traffic.Forward
	exchange upstream.Exchange
}

// origin is what a forwarded request tells the peer.
type origin struct {
	self Self
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
}

// run carries out the steps until the engine has forgotten the request, or
// until a streamed answer has begun. It returns nil if the caller has left.
func (r *request) run(s *Steer) *traffic.Reply {
	var reply *traffic.Reply
	for next := range r.inbox {
		switch {
		case next.attempt != nil:
			r.perform(s, next.attempt)
		case next.reply != nil:
			reply = next.reply
			if streamed(reply) {
				return reply
			}
		case next.release:
			return reply
		}
	}
	return reply
}

func streamed(reply *traffic.Reply) bool {
	answer, ok := reply.Answer.(*upstream.Answer)
	return ok && answer.Stream != nil
}

// perform carries out one attempt and reports its end.
func (r *request) perform(s *Steer, try *attempt) {
	began := time.Now()
	report := traffic.ExchangeEnded{ID: r.id, Attempt: try.number}
	ending := r.exchange(try, func(result traffic.Result) {
		s.Handle(traffic.ExchangeEnded{
			ID: r.id, Attempt: try.number, Result: result, Status: report.Status,
			Latency: time.Since(began), Leaving: report.Leaving,
		})
	})
	report.Result = ending.Result
	report.Latency = time.Since(began)
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
	if report.Result != traffic.Completed {
		ending.Answer.Stream.Cut()
		s.Handle(report)
		return
	}
	s.Handle(traffic.AnswerStarted{ID: r.id, Attempt: try.number, Status: report.Status, Answer: ending.Answer})
}

func (r *request) exchange(try *attempt, onEnd func(traffic.Result)) upstream.Ending {
	if try.pool == nil || r.uploading {
		return upstream.Ending{Result: traffic.NotSent}
	}
	setDeadline(r.header, try.deadline)
	setForwarding(r.header, try.forward, r.origin)
	r.origin.marked = try.forward != nil
	body := r.body
	if body.Rest != nil {
		body.Rest = uploadReader{request: r, rest: body.Rest}
	}
	return try.exchange.Do(try.pool, r.header, body, try.deadline, onEnd)
}

// classify fills in what a whole answer means.
func (r *request) classify(try *attempt, answer *upstream.Answer, report *traffic.ExchangeEnded) {
	report.Status = answer.Header.StatusCode()
	if try.forward == nil {
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
		_ = r.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
