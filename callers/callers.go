// Package callers serves the connections of callers over HTTP/1.1. It reads the
// requests of a connection ahead, runs them concurrently as far as the handler
// permits, and writes the responses in the order of the requests.
package callers

import (
	"bufio"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/linger"
)

const (
	// MaxOutstanding and readAheadBytes bound the unanswered requests of a
	// connection and the bytes of their headers and bodies. Nothing further is
	// read beyond; one request may exceed the bytes.
	MaxOutstanding = 64
	readAheadBytes = 128 << 10
	// maxWaitingReplies bounds the bytes of the replies of a connection that wait
	// for those before them. No further request is begun beyond; the ones that
	// run already may exceed it.
	maxWaitingReplies = 256 << 10
	// headerMargin is added to the limit on headers for the empty line and the
	// first bytes of the body.
	headerMargin = 1 << 10
	// initialReadBuffer is the size of a connection's read buffer until a longer
	// header arrives, maxRetainedReadBuffer the largest that is kept for the next
	// request. Both are lower if the limit on headers is. An idle connection needs
	// none, and a request without large cookies fits into the first.
	initialReadBuffer     = 2 << 10
	maxRetainedReadBuffer = 8 << 10
	// maxRetainedBuffer is the largest write buffer that is used again.
	maxRetainedBuffer = 16 << 10
	// maxDiscardedBody is the largest body that is read and dropped after a
	// refusal, so that the connection stays open.
	maxDiscardedBody = 16 << 10
	// writeCheckInterval is how often a write that does not end checks whether the
	// caller still receives what was written before.
	writeCheckInterval = time.Second
	// peerPollInterval is how often the state of the connection is checked while
	// nothing is read from it. A caller's disconnect must be noticed within 0.5 s.
	peerPollInterval = 100 * time.Millisecond
	// FirstRequestWait is how long a drain leaves a new connection open for its
	// first request. A caller sends it after a round trip.
	FirstRequestWait = time.Second
)

var (
	// ErrWrite reports that a response could not be written to its caller.
	ErrWrite = errors.New("the caller does not read the response")
	// ErrUndelimited reports a caller for which the end of a body of unknown
	// length could not be marked.
	ErrUndelimited = errors.New("the caller's protocol version has no chunked bodies")
	// ErrDropped reports a reply that was not written because the connection ended
	// before its turn.
	ErrDropped = errors.New("the connection ended before the response was written")

	errMalformedHeader = errors.New("the request header is malformed")
	errHeaderTooLarge  = errors.New("the request header is larger than the limit")
	errHeaderTimeout   = errors.New("the request header did not arrive in time")
)

// Limits bounds what callers send and how long they take.
type Limits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler decides on requests and serves them. It is safe for concurrent use.
// Limits, Leaving, Concurrency, Charge, Discharge, Begun, Closed and Ended must not
// block, panic or call methods of a Call.
type Handler interface {
	// Limits returns the limits in force.
	Limits() Limits
	// Leaving reports whether connections must close after the next response.
	Leaving() bool
	// Concurrency returns how many requests of one connection may run at the same
	// time. It is called at each start; values below 1 count as 1.
	Concurrency() int
	// Admit decides on a request by its header, before its body is read. Requests
	// of a connection are admitted in order of arrival. A non-nil reply refuses
	// the request.
	Admit(header *fasthttp.RequestHeader, arrived time.Time) (Request, Reply)
	// RefuseHeader returns the reply to a request whose header could not be read.
	RefuseHeader(status int, err error) Reply
	// RefuseBody returns the reply to a request whose ReadBody failed, or nil if
	// the connection must close without one.
	RefuseBody(r Request, err error) Reply
	// Charge counts n bytes that wait on a connection towards the memory budget
	// of the process, and returns false if that exceeds the budget. Discharge
	// returns them.
	Charge(n int) bool
	Discharge(n int)
	// Guard runs f and returns false if it panicked.
	Guard(f func()) bool
	// Begun records that a request was begun while a number of requests of its
	// connection, including itself, were outstanding.
	Begun(outstanding int)
	// Closed records how the end of a connection was completed, and how many bytes
	// of its responses the caller has not received. It is not called if the caller
	// had disconnected before.
	Closed(outcome linger.Outcome, unreceived int)
	// Ended records why a connection ended.
	Ended(reason Reason)
}

// Request is a request that was admitted. Exactly one of Serve, RefuseExpired and
// Drop is called, after ReadBody if that is called at all.
type Request interface {
	// BodyTimeout limits the time for reading the body.
	BodyTimeout() time.Duration
	// ReadBody reads the body, or the first part of one that is not held in
	// memory.
	ReadBody(br *bufio.Reader) error
	// Streams reports whether Serve reads the rest of the body from the
	// connection.
	Streams() bool
	// Concurrent reports whether the request may run beside others of its
	// connection. It is called after ReadBody.
	Concurrent() bool
	// HeldBytes returns the bytes of the body in memory, and how many of them the
	// memory budget does not include yet.
	HeldBytes() (held, unbudgeted int)
	// Expires returns when the caller stops waiting, or the zero time.
	Expires() time.Time
	// Serve runs the request. It returns nil if the connection must close without
	// a response.
	Serve(call *Call) Reply
	// RefuseExpired returns the reply to a request that expired before it ran.
	RefuseExpired() Reply
	// Drop releases a request that is not served.
	Drop()
}

// Reply is a response. End is called exactly once.
type Reply interface {
	// AppendHead encodes the head; closing announces that the connection closes.
	AppendHead(dst []byte, closing bool) []byte
	// Body returns the part of the body that is held in memory.
	Body() []byte
	// Rest returns a reader of what follows Body, or nil if nothing does. The body
	// is sent in chunks if chunked is set.
	Rest() (rest io.Reader, chunked bool)
	// ReleaseBody releases the bytes of Body before Rest is passed on.
	ReleaseBody()
	// WaitingBytes returns the bytes that the reply takes while it waits, and how
	// many of them the memory budget does not include yet.
	WaitingBytes() (held, unbudgeted int)
	// End releases the reply after it was written, or with an error if it was
	// not, or only in part.
	End(err error)
}

// Reason is why a connection ended.
type Reason string

// Reasons of ends.
const (
	ReasonIdle           Reason = "idle"
	ReasonCallerClosed   Reason = "caller_closed"
	ReasonCloseRequested Reason = "close_requested"
	ReasonLeaving        Reason = "leaving"
	ReasonHeaderRefused  Reason = "header_refused"
	ReasonBodyRefused    Reason = "body_refused"
	ReasonBodyUnread     Reason = "body_unread"
	ReasonStreamedUpload Reason = "streamed_upload"
	ReasonWriteFailed    Reason = "write_failed"
	ReasonCutShort       Reason = "cut_short"
	ReasonPanic          Reason = "panic"
)
