package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowCallers keep a connection each.
	slowCallers = 700
	// largeResponse is the largest response of the site file.
	largeResponse = 30000
	// readRate is what a slow caller reads per second, readBuffer the receive buffer
	// of its socket.
	readRate   = 25000
	readBuffer = 4096
	// timeBudget is the largest time budget of the site file.
	timeBudget = 1500 * time.Millisecond
)

const slowDocument = `{"version":"r1","resources":[
{"resource_kind":"routes","metadata":{"name":"read"},"spec":{"host":"h.example","prefix":"/read/","kind":"idempotent","timeout":"1500ms","aim":"250ms","priority":0,"service":"s","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_conns":390,"warmup":"0ms","cold_per_s":100}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`

// slowReaders lets callers that read slowly use their open connections shortly
// after the daemon got SIGTERM.
func slowReaders(binary, record string, trouble bool) (bool, error) {
	w, err := newWorld(binary, record, map[string]string{"za": "ra", "zb": "ra"})
	if err != nil {
		return false, err
	}
	defer w.close()
	w.store.Put("op", "config", []byte(slowDocument))
	for i := range 40 {
		if _, err := w.addTarget(targetName("za", i), "s", "za", 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	d, err := w.addDaemon("front-za-1", "za", true)
	if err != nil {
		return false, err
	}
	if _, err := w.addDaemon("front-zb-1", "zb", true); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	callers := make([]*slowCaller, slowCallers)
	for i := range callers {
		if callers[i], err = w.newSlowCaller(d, i); err != nil {
			return false, err
		}
		// The first, small response makes it a kept connection.
		if outcome := callers[i].call("small", 100, readRate*100); outcome != "complete" {
			return false, fmt.Errorf("first request: %s", outcome)
		}
	}
	if trouble {
		d.signal(syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	var lost atomic.Int64
	var wait sync.WaitGroup
	for _, c := range callers {
		time.Sleep(500 * time.Microsecond)
		wait.Go(func() {
			if outcome := c.call("large", largeResponse, readRate); outcome == "cut" {
				lost.Add(1)
			}
			_ = c.conn.Close()
		})
	}
	time.Sleep(timeBudget / 4)
	d.recordUse()
	wait.Wait()
	w.record.line("%d responses were cut off", lost.Load())
	return lost.Load() > 0, nil
}

// slowCaller is a caller with one connection.
type slowCaller struct {
	world *world
	name  string
	conn  net.Conn
	br    *bufio.Reader
	calls int
}

func (w *world) newSlowCaller(d *daemon, i int) (*slowCaller, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		if err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
		}); err != nil {
			return err
		}
		return sockErr
	}}
	conn, err := dialer.Dial("tcp4", d.requestAddress())
	if err != nil {
		return nil, err
	}
	return &slowCaller{world: w, name: fmt.Sprintf("caller-%d", i), conn: conn, br: bufio.NewReaderSize(conn, 1024)}, nil
}

// call sends a request and reads the response at a rate in bytes per second. It
// returns "complete" for a whole response, "refused" for one of the daemon itself,
// "late" if the time budget passes, "unread" if the connection ended before the
// request ran, and "cut" if it ended after that.
func (c *slowCaller) call(path string, size, rate int) (outcome string) {
	c.calls++
	id := fmt.Sprintf("%s-%d", c.name, c.calls)
	began := time.Now()
	defer func() {
		c.world.record.line("request %s: %s after %v", id, outcome, time.Since(began).Round(time.Millisecond))
	}()
	_ = c.conn.SetDeadline(began.Add(timeBudget))
	_, err := fmt.Fprintf(c.conn, "GET /read/%s?bytes=%d HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n",
		path, size, id, timeBudget.Milliseconds())
	if err != nil {
		return c.ended(id, err)
	}
	status, length := "", 0
	for {
		line, err := c.br.ReadString('\n')
		if err != nil {
			return c.ended(id, err)
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		if status == "" {
			status = line
		}
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	const piece = 800
	for left := length; left > 0; {
		n, err := io.CopyN(io.Discard, c.br, int64(min(left, piece)))
		left -= int(n)
		if err != nil {
			return c.ended(id, err)
		}
		time.Sleep(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
	}
	if !strings.Contains(status, " 200 ") {
		return "refused"
	}
	return "complete"
}

// ended returns the outcome of a request whose connection ended.
func (c *slowCaller) ended(id string, err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "late"
	case len(c.world.runsOf(id)) == 0:
		return "unread"
	default:
		return "cut"
	}
}
