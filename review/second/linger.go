//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reading-clients"] = slowReadingClients }

const (
	// outstanding is the number of requests that a client keeps unanswered.
	outstanding = 4
	// splitBytes is the largest answer of the site, splitWork the work for it, and
	// splitBudget the clients' time budget.
	splitBytes  = 9000
	splitWork   = 50 * time.Millisecond
	splitBudget = 4 * time.Second
	// readPiece is what a slow client reads each readEvery: 25 KB/s. Its receive
	// buffer has clientWindow bytes.
	readPiece    = 2000
	readEvery    = 80 * time.Millisecond
	clientWindow = 4096
	// slowClients is the number of clients, each with a kept channel to the machine
	// that stops. They begin startSpread apart. playTime is how long they send.
	slowClients = 8
	startSpread = 70 * time.Millisecond
	playTime    = 8 * time.Second
)

// slowReader reads at most readPiece bytes each readEvery.
type slowReader struct{ src io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(readEvery)
	return r.src.Read(p[:min(len(p), readPiece)])
}

// dialSlow opens a channel with a small receive buffer.
func dialSlow(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientWindow)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	return dialer.Dial("tcp4", address)
}

// slowReadingClients has clients that keep four reads outstanding and read the
// answers slowly. With trouble, their machine is stopped with SIGTERM meanwhile.
func slowReadingClients(rec *record, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.putConfig(1, []route{{"r-splits", "/timing/", "idempotent", "timing", "4000ms", "600ms", 2}})
	var mu sync.Mutex
	answered := map[string]bool{}
	serve := func(in *inbound) bool {
		time.Sleep(splitWork)
		_, err := io.WriteString(in.conn, answerHead(in, "200 OK", splitBytes)+repeat(splitBytes))
		mu.Lock()
		answered[in.id] = err == nil
		mu.Unlock()
		rec.add("target: ran and answered %s", in.id)
		return err == nil
	}
	for i := range 4 {
		if _, err := c.startTarget(fmt.Sprintf("i-%d", i+1), "timing", serve); err != nil {
			return false, err
		}
	}
	for n := range 2 {
		if _, err := c.startInstance(n + 1); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// Longer than `stable`: the machines are in touch.
	time.Sleep(5 * time.Second)

	stopping := c.instances[0]
	var clients sync.WaitGroup
	var got, lost int
	endAt := time.Now().Add(playTime)
	for i := range slowClients {
		conn, err := dialSlow(stopping.requests())
		if err != nil {
			return false, err
		}
		clients.Go(func() {
			defer func() { _ = conn.Close() }()
			time.Sleep(time.Duration(i) * startSpread)
			n, unanswered, err := readSplits(rec, conn, endAt)
			mu.Lock()
			defer mu.Unlock()
			got += n
			for _, r := range unanswered {
				if age := time.Since(r.sent); answered[r.id] && age < splitBudget {
					lost++
					rec.add("client: %s has no complete answer %.3f s after it was sent (%v), though its target has answered", r.id, age.Seconds(), err)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.add("platform: SIGTERM to %s", stopping.name)
		stopping.signal(syscall.SIGTERM)
	}
	clients.Wait()
	rec.add("%d requests answered, %d without a complete answer that their targets had answered", got, lost)
	return lost > 0, nil
}

// sentRequest is a request that a client has sent.
type sentRequest struct {
	id   string
	sent time.Time
}

// readSplits keeps requests outstanding on a channel until a time, or until an
// answer closes the channel. It returns the number of complete answers, and the
// requests that were sent and have none.
func readSplits(rec *record, conn net.Conn, until time.Time) (got int, unanswered []sentRequest, err error) {
	br := bufio.NewReaderSize(slowReader{conn}, readPiece)
	send := func() error {
		r := sentRequest{newID(), time.Now()}
		unanswered = append(unanswered, r)
		_, err := fmt.Fprintf(conn, "GET /timing/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", host, r.id, splitBudget.Milliseconds())
		return err
	}
	for range outstanding {
		if err := send(); err != nil {
			return got, unanswered, err
		}
	}
	for len(unanswered) > 0 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return got, unanswered, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		switch {
		case err != nil:
			return got, unanswered, err
		case resp.Header.Get("X-Request-Id") != unanswered[0].id:
			return got, unanswered, fmt.Errorf("the answer to %q came for %q", resp.Header.Get("X-Request-Id"), unanswered[0].id)
		}
		rec.add("client: %s answered with %d, last on its channel: %t", unanswered[0].id, resp.StatusCode, resp.Close)
		got, unanswered = got+1, unanswered[1:]
		if resp.Close {
			// What was sent behind it counts as not read.
			return got, nil, nil
		}
		if time.Now().Before(until) {
			if err := send(); err != nil {
				rec.add("client: the next request could not be sent: %v", err)
			}
		}
	}
	return got, nil, nil
}
