package upstream

import (
	"bufio"
	"io"
	"testing"

	"pistachioford.example/pistachioford/httpread/framingtest"
)

// Guards against a response with one wrong byte in its framing that is taken for
// a complete one with another body.
func TestChangedFramingNeverYieldsAnotherBody(t *testing.T) {
	framingtest.Check(t, readWholeResponse, false)
}

// Guards against a response whose status does not exist, or with a line whose name
// holds a blank or a control byte, that is taken for a sound one.
func TestDamagedHeadsAreRefused(t *testing.T) {
	framingtest.CheckHeads(t, readWholeResponse)
}

func readWholeResponse(segments [][]byte, end error) ([]byte, error) {
	br := bufio.NewReaderSize(&framingtest.Connection{Segments: segments, Err: end}, maxHeaderBytes)
	response, rest, err := readResponse(br, false, nil)
	if err != nil || rest == nil {
		return bodyOf(response), err
	}
	return io.ReadAll(rest)
}

func bodyOf(response *Response) []byte {
	if response == nil {
		return nil
	}
	return response.Body
}
