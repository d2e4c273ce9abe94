//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is a channel that a client keeps open for many requests.
type clientConn struct {
	net net.Conn
	br  *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// answer is what a client got for a request.
type answer struct {
	status int
	sealed bool
	body   int
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (%v) after %.3f s", a.err, a.took.Seconds())
	}
	by := "the gateway"
	if a.sealed {
		by = "the target"
	}
	return fmt.Sprintf("%d by %s, %d bytes, after %.3f s", a.status, by, a.body, a.took.Seconds())
}

// send writes a request whole and reads its answer until the time budget ends.
func (c *clientConn) send(method, path, id string, body string, budget time.Duration) answer {
	began := time.Now()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n", method, path, host, id, budget.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.net.SetDeadline(began.Add(budget))
	if _, err := io.WriteString(c.net, head+"\r\n"+body); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, sealed: resp.Header.Get("X-Server-Seal") != "", body: len(content), err: err, took: time.Since(began)}
	if err == nil && resp.Header.Get("X-Request-Id") != id {
		a.err = errors.New("the answer has another X-Request-Id")
	}
	if resp.Close {
		_ = c.net.Close()
	}
	return a
}
