package framingtest

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"pistachioford.example/pistachioford/httpread"
)

// CheckHeads damages the status, or the name of a field, of sound responses, and
// fails the test unless read refuses the results as malformed. The responses are
// successes and failures, with and without an interim response or a trailer.
func CheckHeads(t *testing.T, read Reader) {
	for name, r := range soundHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if body, err := read([][]byte{[]byte(r.text(r.status))}, io.EOF); err != nil || string(body) != r.body {
				t.Fatalf("unchanged: body %q, %v", body, err)
			}
			for _, status := range unknownStatuses {
				checkRefused(t, read, r.text(status))
				checkRefused(t, read, statusLine(status)+"\r\n"+r.text(r.status))
			}
			for _, text := range damagedNames(r.text(r.status)) {
				checkRefused(t, read, text)
			}
		})
	}
}

// headCase is a response that closes its connection, so that a reader which overlooks
// the length still finds an end.
type headCase struct {
	// interim is what precedes the status line.
	interim, status string
	// fields are those that frame the body.
	fields, body string
	// trailer follows the last chunk of a body in chunks, and is empty for others.
	trailer string
}

var soundHeads = map[string]headCase{
	"success":       {status: "200", fields: "Content-Length: 2\r\n", body: "ok"},
	"failure":       {status: "404", fields: "Content-Length: 2\r\n", body: "ok"},
	"after interim": {interim: "HTTP/1.1 103 X\r\nLink: a\r\nX-Hint: a\r\n\r\n", status: "200", fields: "Content-Length: 2\r\n", body: "ok"},
	"chunked": {status: "200", fields: "Trailer: X-Sum, X-Hint\r\nTransfer-Encoding: chunked\r\n", body: "ok",
		trailer: "X-Hint: a\r\nX-Sum: a\r\n\r\n"},
}

func statusLine(status string) string { return "HTTP/1.1 " + status + " X\r\n" }

func (r headCase) text(status string) string {
	body := r.body
	if r.trailer != "" {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n%s", len(r.body), r.body, r.trailer)
	}
	return r.interim + statusLine(status) + identity + "Content-Type: text/plain\r\nConnection: close\r\n" + r.fields + "\r\n" + body
}

// unknownStatuses are texts in place of a status that no response has.
var unknownStatuses = []string{
	"000", "001", "009", "010", "020", "099", "600", "666", "999", "", "2", "20", "00", "2000", "0200", "1200",
	"+20", "-20", "2.0", "2x0", "x00", "0x1", " 200", "200 \x00", "\t200", "2 0", "20 ", "2\x000", "\x00200", "20\x7f",
}

// damagedNames returns the text with a byte that no name has, over each byte of the
// names of its fields, and in front of and behind each of them.
func damagedNames(text string) (damaged []string) {
	start := 0
	for _, line := range strings.SplitAfter(text, "\r\n") {
		if name, _, isField := strings.Cut(line, ": "); isField {
			for _, c := range []string{" ", "\t", "\x00", "\x01", "\x0b", "\x1f", "\x7f"} {
				for i := start; i <= start+len(name); i++ {
					damaged = append(damaged, text[:i]+c+text[i:])
					if i < start+len(name) {
						damaged = append(damaged, text[:i]+c+text[i+1:])
					}
				}
			}
		}
		start += len(line)
	}
	return damaged
}

// checkRefused fails the test unless the response is refused because of a byte that
// cannot be part of it, though its connection ends regularly.
func checkRefused(t *testing.T, read Reader, text string) {
	t.Helper()
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
		if body, err := read([][]byte{[]byte(text)}, end); err == nil || httpread.BrokeOff(err) {
			t.Errorf("%q: body %q, error %v", text, body, err)
		}
	}
}
