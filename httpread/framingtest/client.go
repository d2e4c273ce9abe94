package framingtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pistachioford.example/pistachioford/linger"
)

// CheckClient lets a client call servers that send body in a response. It fails the
// test unless call returns no error for sound responses, and an error for each that
// no server can have meant, that ended early, or whose end is not certain.
func CheckClient(t *testing.T, body string, call func(address string) error) {
	fields := "X-A: b\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	chunks := func(trailer string) string {
		return statusLine("200") + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body) + trailer
	}
	sound := map[string]string{
		"length":        statusLine("200") + fields,
		"chunked":       chunks("\r\n"),
		"trailer":       chunks("X-A: b\r\n\r\n"),
		"after interim": statusLine("103") + "X-A: b\r\n\r\n" + statusLine("200") + fields,
	}
	unsound := map[string]string{
		"status 000":                   statusLine("000") + fields,
		"status 600":                   statusLine("600") + fields,
		"interim status":               statusLine("000") + "\r\n" + statusLine("200") + fields,
		"blank before a name":          statusLine("200") + "X-B: b\r\n " + fields,
		"tab before a name":            statusLine("200") + "X-B: b\r\n\t" + fields,
		"control byte in a name":       statusLine("200") + "X-\x01B: b\r\n" + fields,
		"blank in an interim one":      statusLine("103") + "X-B: b\r\n X-A: b\r\n\r\n" + statusLine("200") + fields,
		"blank in a trailer":           chunks(" X-A: b\r\n\r\n"),
		"control byte in a trailer":    chunks("X-\x01A: b\r\n\r\n"),
		"no length":                    statusLine("200") + "Connection: close\r\n\r\n" + body,
		"in the body":                  (statusLine("200") + fields)[:len(statusLine("200")+fields)-1],
		"before the end of the chunks": chunks(""),
	}
	for _, end := range []clientEnd{regularEnd, resetAtEnd, resetBeforeReading} {
		if end == regularEnd {
			for name, text := range sound {
				if err := call(serve(t, text, end)); err != nil {
					t.Errorf("sound, %s: %v", name, err)
				}
			}
		}
		for name, text := range unsound {
			if err := call(serve(t, text, end)); err == nil {
				t.Errorf("%s, %s: no error", name, end)
			}
		}
	}
}

// clientEnd is how a server ends the connection of a client.
type clientEnd string

const (
	regularEnd clientEnd = "regular end"
	// resetAtEnd resets the connection once the response has been delivered.
	resetAtEnd clientEnd = "reset"
	// resetBeforeReading does so before it has read the request.
	resetBeforeReading clientEnd = "reset before the request is read"
)

// serve responds to each request with a text until the end of the test.
func serve(t *testing.T, text string, end clientEnd) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn.(*net.TCPConn), text, end)
		}
	}()
	return listener.Addr().String()
}

func respond(conn *net.TCPConn, text string, end clientEnd) {
	defer func() { _ = conn.Close() }()
	if end != resetBeforeReading {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, text)
	if end == regularEnd {
		return
	}
	AwaitDelivery(conn)
	_ = conn.SetLinger(0)
}

// AwaitDelivery waits until the other side of a connection has acknowledged what was
// sent.
func AwaitDelivery(conn net.Conn) {
	for deadline := time.Now().Add(5 * time.Second); linger.Unreceived(conn) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}
