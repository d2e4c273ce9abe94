package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/httpread/framingtest"
)

// Guards against a response with one wrong byte in its framing that reaches the
// caller as a complete one with another body.
func TestChangedFramingNeverYieldsAnotherBody(t *testing.T) {
	framingtest.Check(t, readWholeResponse, true)
}

// Guards against a response that reaches the caller although its status does not
// exist, or with a line whose name holds a blank or a control byte.
func TestDamagedHeadsAreRefused(t *testing.T) {
	framingtest.CheckHeads(t, readWholeResponse)
}

// readWholeResponse reads a response as an exchange does, with the rest of a body
// that is not held. It returns an error unless the response may go to the caller.
func readWholeResponse(segments [][]byte, end error) (body []byte, err error) {
	held := &heldBody{budget: newMemoryBudget(0), owner: "i-1"}
	br := bufio.NewReaderSize(&framingtest.Connection{Segments: segments, Err: end}, targetBufferSize)
	resp, err := readResponse(br, []byte(framingtest.RequestID), false, false, held)
	if err != nil {
		return nil, err
	}
	defer resp.release()
	if err := resp.validate(); err != nil {
		return nil, err
	}
	body = bytes.Clone(resp.body)
	if resp.rest != nil {
		rest, err := io.ReadAll(resp.rest)
		if err != nil {
			return nil, err
		}
		body = append(body, rest...)
	}
	return body, nil
}

// Guards against a target that is out of use after one damaged response, as if it
// closed connections at once.
func TestOneDamagedResponseDoesNotEjectTheTarget(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	damaged := true
	s.startTarget("i-1", func(conn net.Conn, r *receivedRequest) bool {
		if !damaged {
			return respondOK(conn, r)
		}
		damaged = false
		_, err := io.WriteString(conn, successHead(r)+"Transfer-Encoding: chunked\r\n\r\n2\r\nokXY")
		return err == nil
	})
	g := s.startInstance("g")
	s.waitForTargets(g, 1)
	c := s.connect(g)
	is.Equal(c.do("POST", "/order/1", "one pallet").status, 502)
	is.Equal(c.do("POST", "/order/2", "one pallet").status, 200)
}
