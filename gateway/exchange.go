package gateway

import (
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
)

// inlineBytes is the largest body that is written before the answer is read.
// A target may answer a longer one before it has read all of it.
const inlineBytes = 16 << 10

// resetSlack is added to the trip to a target for a break that comes at once:
// work takes longer.
const resetSlack = 25 * time.Millisecond

// exchange is one attempt at a target. cancel may be called by any goroutine.
type exchange struct {
	mu       sync.Mutex
	conn     net.Conn
	canceled bool
}

// cancel closes the connection, which ends the target's work.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.canceled = true
	if x.conn != nil {
		closeQuietly(x.conn)
	}
}

// bind returns false if the exchange is canceled already.
func (x *exchange) bind(conn net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.conn = conn
	return true
}

// unbind returns false if the connection was closed by cancel.
func (x *exchange) unbind() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return !x.canceled
}

// outcome is how an exchange ended.
type outcome struct {
	steer.Ended
	answer *answer
	err    error
	// opened is the time that a new connection took, 0 for a kept one.
	opened time.Duration
}

// job is what a request sends to targets.
type job struct {
	common []byte
	id     []byte
	body   body
	head   bool
	// repeatable says that the request may run twice, fresh that it is sent on
	// a new connection only.
	repeatable, fresh bool
	// deadline is when the answer must be there.
	deadline time.Time
}

// do carries out one attempt.
func (x *exchange) do(p *pools, j *job, s *steer.Send) outcome {
	var conn *targetConn
	if !j.fresh {
		conn = p.take(time.Now(), s.Target, j.repeatable)
	}
	kept := conn != nil
	var out outcome
	if !kept {
		var err error
		conn, out.opened, err = p.dial(s.Address, time.Until(j.deadline))
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
	sent := time.Now()
	a, whole, err := x.roundTrip(conn, j, s)
	alive := x.unbind()
	if err != nil {
		closeQuietly(conn)
		out.Result, out.err = failure(err, alive, j.deadline), err
		if out.Result == steer.Broken && conn.br.Buffered() == 0 && time.Since(sent) < s.Trip+resetSlack {
			out.AtOnce, out.Forgotten = !kept, kept
		}
		if out.Forgotten {
			p.forgotten(time.Now(), sent.Sub(conn.idleSince))
		}
		return out
	}
	out.answer = a
	out.Ended = classify(a, s)
	keep := keepFor(a)
	if alive && whole && !a.unframed && !a.header.ConnectionClose() && conn.br.Buffered() == 0 && keep > 0 {
		p.put(time.Now(), s.Target, conn, keep)
	} else {
		closeQuietly(conn)
	}
	return out
}

func failure(err error, alive bool, deadline time.Time) steer.Result {
	switch {
	case !alive:
		return steer.Abandoned
	case errors.Is(err, errCallerCut):
		return steer.Abandoned
	case !time.Now().Before(deadline):
		// Errors of the header parser do not tell a timeout from a break.
		return steer.TimedOut
	default:
		return steer.Broken
	}
}

// roundTrip sends the request and reads the answer. whole tells whether the
// request was sent in full.
func (x *exchange) roundTrip(conn *targetConn, j *job, s *steer.Send) (a *answer, whole bool, err error) {
	if err := conn.SetDeadline(j.deadline); err != nil {
		return nil, false, err
	}
	head := append(make([]byte, 0, len(j.common)+128+min(len(j.body.held), inlineBytes)), j.common...)
	head = append(head, platform.HeaderTimeLeft+": "...)
	head = platform.AppendTimeLeft(head, time.Until(j.deadline))
	head = append(head, "\r\n"+platform.HeaderExpectTarget+": "...)
	head = append(head, s.Target...)
	head = append(head, "\r\n\r\n"...)
	if j.body.rest == nil && len(j.body.held) <= inlineBytes {
		if _, err := conn.Write(append(head, j.body.held...)); err != nil {
			return nil, false, err
		}
		a, err = readAnswer(conn.br, j.id, j.head, !conn.used)
		return a, true, err
	}
	return x.upload(conn, j, head)
}

// upload sends a long body while the answer is awaited. An answer before the
// end of the body ends the upload.
func (x *exchange) upload(conn *targetConn, j *job, head []byte) (*answer, bool, error) {
	sent := make(chan error, 1)
	go func() { sent <- writeUpload(conn, head, &j.body) }()
	a, err := readAnswer(conn.br, j.id, j.head, !conn.used)
	select {
	case sendErr := <-sent:
		if err != nil && errors.Is(sendErr, errCallerCut) {
			err = sendErr
		}
		return a, sendErr == nil, err
	default:
	}
	closeQuietly(conn)
	sendErr := <-sent
	if err != nil && errors.Is(sendErr, errCallerCut) {
		err = sendErr
	}
	return a, false, err
}

func writeUpload(conn net.Conn, head []byte, b *body) error {
	if _, err := conn.Write(head); err != nil {
		return err
	}
	if b.length >= 0 {
		if _, err := conn.Write(b.held); err != nil {
			return err
		}
		return copyRest(conn, b)
	}
	chunks := httputil.NewChunkedWriter(conn)
	if _, err := chunks.Write(b.held); err != nil {
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

// copyBytes is the size of the pieces in which an upload is passed on.
const copyBytes = 32 << 10

func copyRest(w io.Writer, b *body) error {
	if b.rest == nil {
		return nil
	}
	left := b.length - len(b.held)
	buffer := make([]byte, copyBytes)
	for b.length < 0 || left > 0 {
		n, readErr := b.rest.Read(buffer)
		left -= n
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr != nil {
			if b.length < 0 && readErr == io.EOF {
				return nil
			}
			return errCallerCut
		}
	}
	return nil
}

// classify tells what a whole answer means.
func classify(a *answer, s *steer.Send) steer.Ended {
	ended := steer.Ended{
		AnswerBytes: len(a.body),
		Load:        platform.ParseLoad(a.header.Peek(platform.HeaderLoad)),
		ColdFor:     platform.ParseColdFor(a.header.Peek(platform.HeaderColdFor)),
	}
	status := a.header.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		ended.Result = steer.Misdirected
	case len(a.header.Peek(platform.HeaderNotRun)) > 0:
		ended.Result = steer.Shed
	case a.check() != nil:
		ended.Result = steer.Broken
	case status >= fasthttp.StatusInternalServerError:
		ended.Result = steer.Failed
	}
	return ended
}
