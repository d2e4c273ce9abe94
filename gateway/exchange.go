package gateway

import (
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/httpread"
	"pistachioford.example/pistachioford/platform"
)

// maxInlineBody is the largest body that is written in full before the response
// is read. A target may respond to a larger one before it has read all of it.
const maxInlineBody = 16 << 10

// resetMargin is added to the round trip to a target. A connection that breaks
// within this time after the request was sent was reset before the target did
// any work: work takes longer.
const resetMargin = 25 * time.Millisecond

// exchange is one attempt to get a response from a target. Cancel may be called
// from any goroutine.
type exchange struct {
	mu       sync.Mutex
	conn     net.Conn
	canceled bool
}

// Cancel closes the connection, which makes the target stop its work.
func (x *exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.canceled = true
	if x.conn != nil {
		closeQuietly(x.conn)
	}
}

// bind sets the connection that Cancel closes. It returns false if the exchange
// is already canceled.
func (x *exchange) bind(conn net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.conn = conn
	return true
}

// unbind takes the connection back. It returns false if the exchange was
// canceled, which closed the connection.
func (x *exchange) unbind() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return !x.canceled
}

// outcome is how an exchange ended.
type outcome struct {
	steer.ExchangeReport
	response *response
	err      error
	// dialTime is the time that opening a new connection took, 0 for a reused
	// one.
	dialTime time.Duration
}

// outboundRequest is a request as it is sent to targets.
type outboundRequest struct {
	// commonHead is the request line and the header fields that all attempts
	// share.
	commonHead []byte
	id         []byte
	body       body
	// isHead is set for a HEAD request.
	isHead bool
	// retryable is set if the request may run twice, newConnOnly if it may only
	// be sent on a new connection.
	retryable, newConnOnly bool
	// deadline is when the response must have arrived.
	deadline time.Time
	// turn is the place of the response on its caller's connection.
	turn responseTurn
}

// responseTurn is the place of a response among those of its caller's connection.
type responseTurn interface {
	// ClaimStream reports whether a response may be passed on while it arrives. With
	// force it may, although others depend on its end.
	ClaimStream(force bool) bool
	// AwaitTurn waits until the responses before it were passed on.
	AwaitTurn(timeout time.Duration) bool
}

// maxUnreadTime is how long a response that cannot be held lies unread at its target
// while it waits for its turn. Targets cut it off after some seconds.
const maxUnreadTime = time.Second

// errNoRoom is the error of a response that could not be held until its turn.
var errNoRoom = errors.New("there is no room to hold the response until its turn")

// prepareStream holds a large response as far as others of its connection depend on
// it, and waits for its turn if it cannot be held in full.
func (req *outboundRequest) prepareStream(resp *response) error {
	if req.turn.ClaimStream(false) {
		return nil
	}
	if err := resp.holdMore(maxPipelinedResponse); err != nil || resp.rest == nil {
		return err
	}
	if !req.turn.AwaitTurn(maxUnreadTime) {
		resp.release()
		return errNoRoom
	}
	req.turn.ClaimStream(true)
	return nil
}

// do sends the request to the target that s names and reads the response.
func (x *exchange) do(p *pools, req *outboundRequest, s *steer.Send) outcome {
	began := time.Now()
	var conn *targetConn
	if !req.newConnOnly {
		conn = p.take(time.Now(), s.Target, req.retryable)
	}
	reused := conn != nil
	var out outcome
	if !reused {
		var err error
		conn, out.dialTime, err = p.dial(s.Address, time.Until(req.deadline))
		if err != nil {
			out.Result, out.err = steer.NotSent, err
			return out
		}
	}
	if !x.bind(conn) {
		closeQuietly(conn)
		out.Result = steer.Abandoned
		return out
	}
	sentAt := time.Now()
	resp, sentAll, err := x.roundTrip(conn, req, s, &heldBody{budget: p.budget, owner: s.Target})
	if err == nil && resp.rest != nil {
		err = req.prepareStream(resp)
	}
	if err != nil {
		bound := x.unbind()
		closeQuietly(conn)
		out.Result, out.err = failureResult(err, bound, req.deadline), err
		out.Cause = breakCause(err)
		if out.Result == steer.Broken && out.Cause == steer.ClosedByTarget && conn.br.Buffered() == 0 && time.Since(sentAt) < s.RTT+resetMargin {
			out.Immediate, out.StaleConnection = !reused, reused
		}
		if out.StaleConnection {
			p.recordReset(time.Now(), sentAt.Sub(conn.idleSince))
		}
		return out
	}
	out.response = resp
	out.ExchangeReport, out.err = classify(resp)
	giveBack := func(complete bool) {
		bound := x.unbind()
		idleTimeout := keepAliveTimeout(resp)
		if bound && complete && sentAll && !resp.unframed && !resp.header.ConnectionClose() && conn.br.Buffered() == 0 && idleTimeout > 0 && conn.endSlowReading() {
			p.put(time.Now(), s.Target, conn, idleTimeout)
		} else {
			closeQuietly(conn)
		}
	}
	if resp.rest != nil {
		out.BeganAfter = time.Since(began)
		resp.finish = giveBack
		return out
	}
	giveBack(true)
	return out
}

// isStreamed reports whether the response goes to the caller while the rest of
// it arrives. One that the engine may replace by another target's does not.
func (out *outcome) isStreamed() bool {
	return out.response != nil && out.response.rest != nil && (out.Result == steer.Responded || out.Result == steer.Failed)
}

// claimsNotRun reports whether the status of a response tells the caller that the
// request did not run, though the target does not state that.
func (out *outcome) claimsNotRun() bool {
	if out.response == nil || out.Result.NotRun() {
		return false
	}
	switch out.response.header.StatusCode() {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// release drops a response that does not go to the caller.
func (out *outcome) release() {
	if out.response == nil {
		return
	}
	if out.response.finish != nil {
		out.response.finish(false)
	}
	out.response.release()
}

// failureResult returns the result of an exchange that ended with an error.
// bound is false if the exchange was canceled.
func failureResult(err error, bound bool, deadline time.Time) steer.Result {
	switch {
	case !bound:
		return steer.Abandoned
	case isUploadError(err):
		return steer.Abandoned
	case errors.Is(err, errNoRoom):
		return steer.Discarded
	case !time.Now().Before(deadline):
		// The errors of the header parser do not distinguish a timeout from a
		// broken connection, so the clock decides.
		return steer.TimedOut
	default:
		return steer.Broken
	}
}

// breakCause returns why an exchange ended with an error.
func breakCause(err error) steer.BreakCause {
	switch {
	case !httpread.BrokeOff(err):
		return steer.Malformed
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE):
		return steer.ClosedByTarget
	default:
		return steer.Unacknowledged
	}
}

// roundTrip sends the request and reads the response. sentAll reports whether
// the request was sent in full.
func (x *exchange) roundTrip(conn *targetConn, req *outboundRequest, s *steer.Send, held *heldBody) (resp *response, sentAll bool, err error) {
	if err := conn.SetDeadline(req.deadline); err != nil {
		return nil, false, err
	}
	head := append(make([]byte, 0, len(req.commonHead)+128+min(len(req.body.buffered), maxInlineBody)), req.commonHead...)
	head = append(head, platform.HeaderTimeLeft+": "...)
	head = platform.AppendTimeLeft(head, time.Until(req.deadline))
	head = append(head, "\r\n"+platform.HeaderExpectTarget+": "...)
	head = append(head, s.Target...)
	head = append(head, "\r\n\r\n"...)
	if req.body.rest == nil && len(req.body.buffered) <= maxInlineBody {
		if _, err := conn.Write(append(head, req.body.buffered...)); err != nil {
			return nil, false, err
		}
		resp, err = readResponse(conn.br, req.id, req.isHead, !conn.used, held)
		return resp, true, err
	}
	return x.upload(conn, req, head, held)
}

// upload sends a large body while it waits for the response. A response before
// the end of the body ends the upload and closes the connection. A response whose end
// only looks regular, since the write got the reset, is an error.
func (x *exchange) upload(conn *targetConn, req *outboundRequest, head []byte, held *heldBody) (*response, bool, error) {
	defer conn.allowSlowReading(req.deadline)()
	uploadDone := make(chan error, 1)
	go func() {
		var err error
		if recovered := panics.Try(func() { err = writeUpload(conn, head, &req.body) }); recovered != nil {
			err = recovered.AsError()
		}
		uploadDone <- err
	}()
	resp, err := readResponse(conn.br, req.id, req.isHead, !conn.used, held)
	var sendErr error
	sentAll := false
	select {
	case sendErr = <-uploadDone:
		sentAll = sendErr == nil
	default:
		if err == nil && resp.rest != nil {
			// The rest of the response is still to be read.
			_ = conn.SetWriteDeadline(time.Unix(1, 0))
		} else {
			closeQuietly(conn)
		}
		sendErr = <-uploadDone
	}
	switch {
	case err != nil && isUploadError(sendErr):
		err = sendErr
	case err == nil && resp.unframed && hidesReset(sendErr):
		resp.release()
		return nil, false, sendErr
	}
	return resp, sentAll, err
}

// hidesReset reports whether, after a write that ended with an error, the end of the
// connection looks regular to a reader although it is not. The system reports a
// reset or a timeout to one call only; reads after that call return what has
// arrived, and then the end. EPIPE is no such error: the target had ended the
// connection regularly before, or the reader got the error.
func hidesReset(writeErr error) bool {
	var errno syscall.Errno
	return errors.As(writeErr, &errno) && errno != unix.EPIPE
}

// isUploadError reports whether an upload ended because of its caller.
func isUploadError(err error) bool {
	return errors.Is(err, errIncompleteBody) || errors.Is(err, errUploadTooLarge)
}

func writeUpload(conn net.Conn, head []byte, b *body) error {
	if _, err := conn.Write(head); err != nil {
		return err
	}
	if b.length >= 0 {
		if _, err := conn.Write(b.buffered); err != nil {
			return err
		}
		return copyRest(conn, b)
	}
	chunks := httputil.NewChunkedWriter(conn)
	if _, err := chunks.Write(b.buffered); err != nil {
		return err
	}
	if err := copyRest(chunks, b); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := conn.Write([]byte("\r\n"))
	return err
}

// copyBufferSize is the size of the buffer through which uploads are forwarded.
const copyBufferSize = 32 << 10

// copyRest forwards the part of a body that is not buffered. It returns
// errUploadTooLarge for a body beyond the limit, and errIncompleteBody for any
// other error of reading it.
func copyRest(w io.Writer, b *body) error {
	if b.rest == nil {
		return nil
	}
	left := b.length - len(b.buffered)
	buffer := make([]byte, copyBufferSize)
	for b.length < 0 || left > 0 {
		n, readErr := b.rest.Read(buffer)
		left -= n
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr != nil {
			switch {
			case b.length < 0 && readErr == io.EOF:
				return nil
			case errors.Is(readErr, errTooLarge):
				return errUploadTooLarge
			}
			return errIncompleteBody
		}
	}
	return nil
}

// classify returns the report on an exchange that ended with a complete response,
// and why it must not be forwarded if it is no valid one.
func classify(resp *response) (steer.ExchangeReport, error) {
	report := steer.ExchangeReport{
		ResponseBytes: len(resp.body),
		Load:          platform.ParseLoad(resp.header.Peek(platform.HeaderLoad)),
		ColdRemaining: platform.ParseColdRemaining(resp.header.Peek(platform.HeaderColdRemaining)),
	}
	status := resp.header.StatusCode()
	if status != fasthttp.StatusMisdirectedRequest {
		// Otherwise another target responded.
		report.Notice = noticeOf(resp)
	}
	if status == fasthttp.StatusMisdirectedRequest {
		report.Result = steer.Misdirected
		return report, nil
	}
	if len(resp.header.Peek(platform.HeaderNotRun)) > 0 {
		report.Result = steer.Shed
		return report, nil
	}
	if err := resp.validate(); err != nil {
		report.Result, report.Cause = steer.Broken, steer.Malformed
		return report, err
	}
	if status >= fasthttp.StatusInternalServerError {
		report.Result = steer.Failed
	}
	return report, nil
}

// noticeOf returns what the target states of itself in a response.
func noticeOf(resp *response) *steer.Notice {
	notice := &steer.Notice{
		Leaving: platform.ParseLeaving(resp.header.Peek(platform.HeaderLeaving)),
		Limit:   platform.ParseLimit(resp.header.Peek(platform.HeaderLimit)),
	}
	if resp.header.StatusCode() == fasthttp.StatusServiceUnavailable {
		notice.RetryAfter = platform.ParseRetryAfter(resp.header.Peek(platform.HeaderRetryAfter))
	}
	return notice
}
