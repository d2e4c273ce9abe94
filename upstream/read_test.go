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
	framingtest.Check(t, func(segments [][]byte, end error) ([]byte, error) {
		br := bufio.NewReaderSize(&framingtest.Connection{Segments: segments, Err: end}, maxHeaderBytes)
		response, rest, err := readResponse(br, false, nil)
		if err != nil || rest == nil {
			return bodyOf(response), err
		}
		return io.ReadAll(rest)
	}, false)
}

func bodyOf(response *Response) []byte {
	if response == nil {
		return nil
	}
	return response.Body
}
